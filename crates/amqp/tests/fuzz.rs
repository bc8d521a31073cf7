//! Fuzz tests with structured random input, for each layer of the library. Whatever a peer sends in any state, the
//! library answers, reports a fault or waits for more input. It never panics and stays within the limits of its
//! settings.
//!
//! CI runs 256 cases of each test. To run more:
//! `PROPTEST_CASES=1000000 cargo test --release -p sparbank-amqp --test fuzz`.

use proptest::prelude::*;
use sparbank_amqp::{
    condition, decode, encode, read_frame, write_frame, Attach, Begin, Close, Connection, Detach, DetachMode,
    Disposition, End, Error, Event, Flow, Head, Mechanism, Message, Open, OutgoingDelivery, Performative,
    Role, SaslInit, SaslRequest, SaslResponse, Settings, Source, State, Symbol, Tag, Target, Terminus,
    Transfer, Value, AMQP, SASL,
};
use sparbank_time::MonotonicTime;

/// The time at which frames are received, after the start of the connection.
const RECEIVE_TIME: MonotonicTime = MonotonicTime::from_nanos(1);

/// Settings with limits that the random input reaches often.
fn small_limits() -> Settings {
    Settings {
        channel_max: 2,
        handle_max: 4,
        max_links: 5,
        incoming_window: 8,
        max_unsettled: 6,
        max_message_size: 2000,
        max_frame_size: 1024,
        ..Settings::default()
    }
}

fn number() -> impl Strategy<Value = Option<u32>> {
    prop_oneof![Just(None), (0u32..6).prop_map(Some), any::<u32>().prop_map(Some), Just(Some(u32::MAX)),]
}

fn flag() -> impl Strategy<Value = Option<bool>> {
    prop_oneof![Just(None), any::<bool>().prop_map(Some)]
}

fn state() -> impl Strategy<Value = Option<State>> {
    prop_oneof![
        Just(None),
        Just(Some(State::Accepted)),
        Just(Some(State::Released)),
        Just(Some(State::Rejected(None))),
        (any::<u32>(), any::<u64>()).prop_map(|(section, offset)| Some(State::Received { section, offset })),
        Just(Some(State::Other(Box::new(Value::composite(0x34, Vec::new()))))),
    ]
}

fn text() -> impl Strategy<Value = Option<String>> {
    prop_oneof![Just(None), "[ab]".prop_map(Some), "\\PC{0,40}".prop_map(Some)]
}

fn tag() -> impl Strategy<Value = Option<Tag>> {
    prop::collection::vec(any::<u8>(), 0..3).prop_map(|bytes| Tag::new(&bytes))
}

fn attach_body() -> impl Strategy<Value = Performative> {
    let target = text().prop_map(|address| Some(Terminus::Target(Target { address, ..Target::default() })));
    let target = prop_oneof![Just(None), Just(Some(Terminus::Coordinator)), target];
    (text(), number(), flag(), target, number(), flag()).prop_map(
        |(name, handle, role, target, count, source)| {
            Attach {
                name,
                handle,
                role,
                target,
                source: source.map(|dynamic| Source { dynamic: Some(dynamic), ..Source::default() }),
                initial_delivery_count: count,
                ..Attach::default()
            }
            .into()
        },
    )
}

fn open_body() -> impl Strategy<Value = Performative> {
    (text(), number()).prop_map(|(container_id, max_frame_size)| {
        Open { container_id, max_frame_size, ..Open::default() }.into()
    })
}

fn begin_body() -> impl Strategy<Value = Performative> {
    (number(), number(), number(), number()).prop_map(|(channel, next, incoming, handle_max)| {
        Begin {
            remote_channel: channel.map(|channel| channel as u16),
            next_outgoing_id: next,
            incoming_window: incoming,
            outgoing_window: Some(1),
            handle_max,
            ..Begin::default()
        }
        .into()
    })
}

fn flow_body() -> impl Strategy<Value = Performative> {
    (number(), number(), number(), number(), number(), flag(), flag()).prop_map(
        |(next_incoming_id, incoming_window, handle, delivery_count, link_credit, drain, echo)| {
            Flow {
                next_incoming_id,
                incoming_window,
                next_outgoing_id: Some(0),
                outgoing_window: Some(1),
                handle,
                delivery_count,
                link_credit,
                drain,
                echo,
                ..Flow::default()
            }
            .into()
        },
    )
}

fn transfer_body() -> impl Strategy<Value = Performative> {
    (number(), number(), tag(), flag(), flag(), flag(), flag()).prop_map(
        |(handle, delivery_id, delivery_tag, settled, more, resume, aborted)| {
            Transfer {
                handle,
                delivery_id,
                delivery_tag,
                settled,
                more,
                resume,
                aborted,
                ..Transfer::default()
            }
            .into()
        },
    )
}

fn disposition_body() -> impl Strategy<Value = Performative> {
    (flag(), number(), number(), flag(), state()).prop_map(|(role, first, last, settled, state)| {
        Disposition { role, first, last, settled, state, batchable: None }.into()
    })
}

fn detach_body() -> impl Strategy<Value = Performative> {
    (number(), flag()).prop_map(|(handle, closed)| Detach { handle, closed, error: None }.into())
}

fn body() -> impl Strategy<Value = Performative> {
    prop_oneof![
        1 => open_body(),
        2 => begin_body(),
        4 => attach_body(),
        4 => flow_body(),
        6 => transfer_body(),
        4 => disposition_body(),
        3 => detach_body(),
        1 => Just(End::default().into()),
        1 => Just(Close::default().into()),
    ]
}

/// How the application answers an event.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Accept,
    Refuse,
    Ignore,
}

/// Answers an event as an application might.
fn respond(conn: &mut Connection, event: Event<'_>, answer: Answer) {
    match (event, answer) {
        (Event::AttachRequested { link, .. }, Answer::Accept) => {
            conn.accept_link(link, Attach::default());
            conn.set_credit(link, 3);
        }
        (Event::AttachRequested { link, .. }, Answer::Refuse) => {
            conn.refuse_link(link, Error::new(condition::NOT_FOUND, "no"));
        }
        (Event::Transfer { link, transfer }, Answer::Accept) => {
            conn.settle(link.channel, transfer.id, State::Accepted);
            conn.set_credit(link, 3);
        }
        (Event::Credit { link }, Answer::Accept) => {
            let delivery = OutgoingDelivery { key: 1, tag: 1.into(), settled: false };
            conn.send(link, delivery, &[1; 700], true, 10_000);
            conn.return_credit(link);
        }
        (Event::Credit { link }, Answer::Refuse) => conn.abort(link),
        (Event::Detached { link, .. }, Answer::Refuse) => conn.detach(link, DetachMode::Closed, None),
        (Event::Began { channel }, Answer::Accept) => {
            conn.attach(channel, "ours", Role::Sender, Attach::default());
        }
        (Event::Began { channel }, Answer::Refuse) => conn.end_session(channel, None),
        _ => {}
    }
}

/// Checks that the connection is within the limits of its settings.
fn check_limits(conn: &Connection, settings: &Settings) {
    assert!(conn.links().len() <= settings.max_links, "{} links", conn.links().len());
    assert!(conn.channels().len() <= settings.channel_max as usize + 1);
    for link in conn.links() {
        assert!(conn.unsettled(link) <= settings.max_unsettled + 1, "{}", conn.unsettled(link));
    }
}

/// Passes frames to a connection, answers its events and checks its limits after each event.
fn process_frames(mut conn: Connection, frames: Vec<(u16, Performative, usize)>, answers: &[Answer]) {
    let settings = small_limits();
    let mut event_count = 0;
    for (channel, body, size) in frames {
        let mut bytes = Vec::new();
        write_frame(&mut bytes, AMQP, channel % 4, Some(&body), &vec![7; size]);
        let mut input = &bytes[..];
        loop {
            let event = match conn.next_event(RECEIVE_TIME, &mut input) {
                Ok(Some(event)) => event,
                Ok(None) => break,
                Err(fault) => {
                    conn.close(Some(Box::new(fault.into())));
                    conn.take_output(RECEIVE_TIME);
                    assert!(conn.is_closed());
                    return;
                }
            };
            event_count += 1;
            let answer = answers[event_count % answers.len()];
            respond(&mut conn, event, answer);
            check_limits(&conn, &settings);
        }
        conn.take_output(RECEIVE_TIME);
    }
    assert!(conn.abandon().iter().all(|delivery| delivery.key <= 1));
}

fn answers() -> impl Strategy<Value = Vec<Answer>> {
    let answer = prop_oneof![4 => Just(Answer::Accept), 1 => Just(Answer::Refuse), 1 => Just(Answer::Ignore)];
    prop::collection::vec(answer, 1..20)
}

fn frames() -> impl Strategy<Value = Vec<(u16, Performative, usize)>> {
    prop::collection::vec((0u16..4, body(), 0usize..900), 1..60)
}

/// Creates an open connection with one session, as the client or the server end.
fn open_connection(is_client: bool) -> Connection {
    let mut conn = if is_client {
        Connection::dial(MonotonicTime::ZERO, small_limits(), None)
    } else {
        Connection::accept(MonotonicTime::ZERO, small_limits(), None)
    };
    let mut bytes = b"AMQP\x00\x01\x00\x00".to_vec();
    let open = Open { container_id: Some("c".into()), max_frame_size: Some(512), ..Open::default() };
    write_frame(&mut bytes, AMQP, 0, Some(&open.into()), &[]);
    let window = Some(100);
    let begin = Begin {
        next_outgoing_id: Some(u32::MAX - 1),
        incoming_window: window,
        outgoing_window: window,
        ..Begin::default()
    };
    write_frame(&mut bytes, AMQP, 0, Some(&begin.into()), &[]);
    let mut input = &bytes[..];
    while conn.next_event(MonotonicTime::ZERO, &mut input).expect("valid input").is_some() {}
    assert!(conn.is_open() && conn.channels().len() == 1);
    conn.take_output(MonotonicTime::ZERO);
    conn
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_open_connection_handles_any_sequence_of_frames(
        is_client in any::<bool>(),
        frames in frames(),
        answers in answers(),
    ) {
        process_frames(open_connection(is_client), frames, &answers);
    }

    #[test]
    fn a_new_connection_handles_any_sequence_of_frames(frames in frames(), answers in answers()) {
        let mut conn = Connection::accept(MonotonicTime::ZERO, small_limits(), None);
        let mut header = &b"AMQP\x00\x01\x00\x00"[..];
        conn.next_event(MonotonicTime::ZERO, &mut header).expect("the protocol header is accepted");
        process_frames(conn, frames, &answers);
    }

    #[test]
    fn a_sasl_server_handles_any_frame_bodies(
        bodies in prop::collection::vec((0usize..5, prop::collection::vec(any::<u8>(), 0..200)), 1..6),
        is_authorized in any::<bool>(),
    ) {
        let offered = Mechanism::ALL.to_vec();
        let mut conn = Connection::accept(MonotonicTime::ZERO, small_limits(), Some(offered));
        let mut header = &b"AMQP\x03\x01\x00\x00"[..];
        conn.next_event(MonotonicTime::ZERO, &mut header).expect("the protocol header is accepted");
        for (kind, bytes) in bodies {
            let name = Some(Symbol(Mechanism::ALL[kind % 4].name().into()));
            let body: Performative = match kind {
                4 => SaslResponse { response: Some(bytes) }.into(),
                _ => SaslInit { mechanism: name, initial_response: Some(bytes), hostname: None }.into(),
            };
            let mut frame = Vec::new();
            write_frame(&mut frame, SASL, 0, Some(&body), &[]);
            let mut input = &frame[..];
            loop {
                match conn.next_event(MonotonicTime::ZERO, &mut input) {
                    Ok(Some(Event::SaslRequest(SaslRequest::ScramKeys { .. }))) => conn.provide_scram_keys(None, b"salt", "nonce"),
                    Ok(Some(Event::SaslRequest(request))) => {
                        let is_proven = matches!(request, SaslRequest::ScramProof { is_valid: true, .. });
                        prop_assert!(!is_proven, "a proof for an unknown user was accepted");
                        conn.finish_sasl(is_authorized);
                    }
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) => return Ok(()),
                }
            }
        }
    }

    #[test]
    fn decoding_handles_any_octets(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let mut input = &bytes[..];
        while let Ok(Some(frame)) = read_frame(&mut input, 1024) {
            // Encoding a decoded frame and decoding it again gives the same body.
            let mut encoded = Vec::new();
            write_frame(&mut encoded, frame.frame_type, frame.channel, frame.body.as_ref(), frame.payload);
            let decoded = read_frame(&mut &encoded[..], u32::MAX).expect("a valid frame");
            let decoded = decoded.expect("a complete frame");
            prop_assert_eq!(decoded.body, frame.body);
        }
        let mut input = &bytes[..];
        if let Ok(value) = decode(&mut input) {
            let mut encoded = Vec::new();
            encode(&value, &mut encoded);
            prop_assert!(decode(&mut &encoded[..]).is_ok());
        }
    }

    #[test]
    fn the_head_of_a_message_prefix_equals_that_of_the_complete_message(
        ttl in any::<u32>(),
        key in "\\PC{0,30}",
        body in prop::collection::vec(any::<u8>(), 0..300),
        prefix_size in 0usize..400,
    ) {
        let mut bytes = Vec::new();
        encode(&Value::composite(0x70, vec![Value::Null, Value::Null, Value::Uint(ttl)]), &mut bytes);
        encode(&Value::described(0x74, Value::Map(vec![(Value::text("key"), Value::text(&key))])), &mut bytes);
        encode(&Value::described(0x75, Value::Binary(body)), &mut bytes);
        let complete = Message::decode(&bytes).expect("a valid message");
        prop_assert_eq!(complete.head.ttl, Some(ttl));
        prop_assert_eq!(complete.application_property_text("key"), Some(key.clone()));
        let prefix_size = prefix_size.min(bytes.len());
        if let Some(head) = Head::read(&bytes[..prefix_size]).expect("a valid prefix") {
            prop_assert_eq!(&head, &complete.head);
        }
        let encoded = complete.encode(7);
        let forwarded = Message::decode(&encoded).expect("a valid message");
        prop_assert_eq!(forwarded.head.ttl, Some(7));
        prop_assert_eq!(&encoded[forwarded.head.after_header()..], &bytes[complete.head.after_header()..]);
    }
}

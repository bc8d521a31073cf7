//! Tests of two connections that are linked in memory: credit and windows are respected and every delivery is settled
//! once, in whatever order and pieces the octets arrive.

#[path = "pair/delivery_model.rs"]
mod delivery_model;
#[path = "pair/pair.rs"]
mod pair;

use delivery_model::{step, DeliveryModel};
use pair::{outgoing, Pair};
use proptest::prelude::*;
use rstest::rstest;
use sparbank_amqp::{
    condition, read_frame, write_frame, Attach, Connection, Credentials, DetachMode, Error, Event, LinkId,
    Mechanism, Pbkdf2, Performative, Role, SaltedKeys, SaslRequest, Settings, State, Tag, Transfer, AMQP,
};
use sparbank_time::MonotonicTime;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Uses small frames, small windows, and ids that start at 0, at half of the range or shortly before the
    /// wrap-around.
    #[test]
    fn every_delivery_ends_once_whatever_the_order(
        steps in prop::collection::vec(step(), 1..120),
        initial_id in prop_oneof![Just(0u32), Just(u32::MAX - 2), Just(u32::MAX / 2)],
        window in 1u32..5,
    ) {
        let client = Settings { initial_id, max_frame_size: 512, ..Settings::default() };
        let server = Settings {
            incoming_window: window,
            max_frame_size: 512,
            initial_id: initial_id.wrapping_add(9),
            ..Settings::default()
        };
        let mut model = DeliveryModel::new(client, server);
        for step in steps {
            model.apply(step)?;
        }
        model.finish()?;
    }

    /// Random octets after any prefix of a valid exchange cause a fault or are kept as incomplete input. They never
    /// cause a panic.
    #[test]
    fn random_input_in_any_state_never_panics(
        rounds in 0usize..6,
        octets in prop::collection::vec(any::<u8>(), 0..300),
        is_frame in any::<bool>(),
    ) {
        let mut pair = Pair::new(Settings::default(), Settings::default());
        for _ in 0..rounds {
            pair.forward(0, usize::MAX).expect("the server accepts the input");
            pair.forward(1, usize::MAX).expect("the client accepts the input");
            if pair.ends[0].is_open() && pair.ends[0].channels().is_empty() {
                let channel = pair.ends[0].begin().expect("a free channel");
                pair.ends[0].attach(channel, "l", Role::Sender, Attach::default());
            }
        }
        let mut bytes = octets;
        if is_frame {
            // Wraps the octets in a frame of the right size on channel 0.
            let size = (bytes.len() as u32 + 8).to_be_bytes();
            bytes.splice(0..0, [size[0], size[1], size[2], size[3], 2, 0, 0, 0]);
        }
        let mut input = &bytes[..];
        while let Ok(Some(_)) = pair.ends[1].next_event(MonotonicTime::ZERO, &mut input) {}
    }

    /// One changed octet in a valid exchange causes a fault or is decoded differently. It never causes a panic.
    #[test]
    fn a_changed_octet_never_panics(index in 0usize..2000, value in any::<u8>()) {
        let (mut pair, sender_link, receiver_link) = Pair::linked(Settings::default(), Settings::default());
        pair.ends[1].set_credit(receiver_link, 10);
        pair.exchange_all();
        for key in 0..5u64 {
            pair.ends[0].send(sender_link, outgoing(key, key == 3), &[7; 100], true, 1 << 16);
        }
        pair.ends[0].detach(sender_link, DetachMode::Closed, Some(Box::new(Error::new(condition::NOT_FOUND, "why"))));
        pair.ends[0].close(None);
        let mut bytes = pair.ends[0].take_output(MonotonicTime::ZERO);
        let index = index % bytes.len();
        bytes[index] = value;
        let mut input = &bytes[..];
        while let Ok(Some(_)) = pair.ends[1].next_event(MonotonicTime::ZERO, &mut input) {}
    }
}

#[rstest]
fn consecutive_dispositions_with_the_same_state_are_sent_as_one() {
    let (mut pair, sender_link, receiver_link) = Pair::linked(Settings::default(), Settings::default());
    pair.ends[1].set_credit(receiver_link, 100);
    pair.exchange_all();
    for key in 0..50u64 {
        assert!(pair.ends[0].send(sender_link, outgoing(key, false), b"x", true, 1 << 16).complete);
    }
    pair.exchange_all();
    for id in 0..50 {
        pair.ends[1].settle(
            receiver_link.channel,
            id,
            if id == 20 { State::Released } else { State::Accepted },
        );
    }
    let bytes = pair.ends[1].take_output(MonotonicTime::ZERO);
    let mut input = &bytes[..];
    let mut ranges = Vec::new();
    while let Some(frame) = read_frame(&mut input, 4096).expect("a valid frame") {
        if let Some(Performative::Disposition(d)) = frame.body {
            ranges.push((d.first.expect("first"), d.last));
        }
    }
    assert_eq!(ranges, [(0, Some(19)), (20, None), (21, Some(49))]);
}

#[rstest]
fn with_receiver_settle_mode_second_the_sender_settles_first() {
    let mut pair = Pair::new(Settings::default(), Settings::default());
    pair.exchange_all();
    let channel = pair.ends[0].begin().expect("a free channel");
    let attach = Attach { rcv_settle_mode: Some(1), ..Default::default() };
    let sender_link = pair.ends[0].attach(channel, "l", Role::Sender, attach).expect("a free handle");
    pair.exchange_all();
    let receiver_link = LinkId { channel: 0, handle: 0 };
    pair.ends[1].accept_link(receiver_link, Attach::default());
    pair.ends[1].set_credit(receiver_link, 1);
    pair.exchange_all();
    assert!(pair.ends[0].send(sender_link, outgoing(9, false), b"x", true, 1 << 16).complete);
    pair.exchange_all();
    pair.ends[1].settle(channel, 0, State::Accepted);
    assert_eq!(pair.ends[1].unsettled(receiver_link), 1, "unsettled until the sender settles");
    pair.exchange_all();
    assert_eq!([pair.ends[0].unsettled(sender_link), pair.ends[1].unsettled(receiver_link)], [0, 0]);
    let settled = |e: &Event| matches!(e, Event::Settled { key: 9, state: Some(State::Accepted), .. });
    assert!(pair.events[0].iter().any(settled));
}

#[rstest]
#[case::more_frames_than_the_window(condition::WINDOW_VIOLATION)]
#[case::unattached_handle(condition::UNATTACHED_HANDLE)]
fn a_session_error_ends_the_session_and_not_the_connection(#[case] expected: &str) {
    let server = Settings { incoming_window: 2, ..Settings::default() };
    let (mut pair, _, receiver_link) = Pair::linked(Settings::default(), server);
    pair.ends[1].set_credit(receiver_link, 100);
    pair.exchange_all();
    let mut bytes = Vec::new();
    for id in 0..4 {
        let handle = Some(u32::from(expected != condition::WINDOW_VIOLATION) * 5);
        let (delivery_id, delivery_tag, more) = (Some(0), Tag::new(&[0]), Some(id < 3));
        let body = Transfer { handle, delivery_id, delivery_tag, more, ..Default::default() };
        write_frame(&mut bytes, AMQP, 0, Some(&body.into()), b"x");
    }
    // The receiver renews the window once half of it is used. The peer cannot know of that before the flow is written, so
    // it must not send more than the first window until then.
    let mut input = &bytes[..];
    let mut ended = 0;
    while let Some(event) =
        pair.ends[1].next_event(MonotonicTime::ZERO, &mut input).expect("the connection stays open")
    {
        ended += i32::from(matches!(event, Event::Ended { .. }));
    }
    let output = pair.ends[1].take_output(MonotonicTime::ZERO);
    let mut input = &output[..];
    let mut conditions = Vec::new();
    while let Some(frame) = read_frame(&mut input, 4096).expect("a valid frame") {
        if let Some(Performative::End(end)) = frame.body {
            conditions.push(end.error.expect("an error").condition);
        }
    }
    assert_eq!((ended, conditions), (1, vec![expected.to_string()]));
    assert!(pair.ends[1].is_open());
}

#[rstest]
#[case::plain(Credentials::Plain { user: "anna".into(), password: "wind".into() }, true)]
#[case::plain_wrong(Credentials::Plain { user: "anna".into(), password: "rain".into() }, false)]
#[case::scram(Credentials::Scram { user: "anna".into(), password: "wind".into(), nonce: "abc".into() }, true)]
#[case::scram_wrong(Credentials::Scram { user: "anna".into(), password: "rain".into(), nonce: "abc".into() }, false)]
#[case::external(Credentials::External, true)]
#[case::anonymous_is_not_offered(Credentials::Anonymous, false)]
fn authentication_succeeds_only_with_valid_credentials_of_an_offered_mechanism(
    #[case] credentials: Credentials,
    #[case] is_valid: bool,
) {
    let salted = Pbkdf2::new(b"wind", b"salt", 64).step(64).expect("all iterations are done");
    let keys = SaltedKeys::from_salted(&salted, b"salt".to_vec(), 64);
    let offered = vec![Mechanism::ScramSha256, Mechanism::Plain, Mechanism::External];
    let mut client = Connection::dial(MonotonicTime::ZERO, Settings::default(), Some(credentials));
    let mut server = Connection::accept(MonotonicTime::ZERO, Settings::default(), Some(offered));
    let mut failed = false;
    for _ in 0..8 {
        let bytes = client.take_output(MonotonicTime::ZERO);
        let mut input = &bytes[..];
        while let Ok(Some(event)) = server.next_event(MonotonicTime::ZERO, &mut input) {
            match event {
                Event::SaslRequest(SaslRequest::Plain { user, password }) => {
                    let salted =
                        Pbkdf2::new(&password, b"salt", 64).step(64).expect("all iterations are done");
                    server.finish_sasl(user == "anna" && keys.matches(&salted));
                }
                Event::SaslRequest(SaslRequest::ScramKeys { .. }) => {
                    server.provide_scram_keys(Some(keys.clone()), b"fake", "xyz")
                }
                Event::SaslRequest(SaslRequest::ScramProof { is_valid, .. }) => server.finish_sasl(is_valid),
                Event::SaslRequest(_) => server.finish_sasl(true),
                _ => {}
            }
        }
        let bytes = server.take_output(MonotonicTime::ZERO);
        let mut input = &bytes[..];
        loop {
            match client.next_event(MonotonicTime::ZERO, &mut input) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(fault) => {
                    assert_eq!(fault.condition, condition::UNAUTHORIZED_ACCESS);
                    failed = true;
                    break;
                }
            }
        }
    }
    assert_eq!((client.is_open(), server.is_open(), failed), (is_valid, is_valid, !is_valid));
}

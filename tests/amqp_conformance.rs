//! Requirements of the standard (OASIS AMQP 1.0) on this node, each tested over real sockets.
//! `docs/AMQP-CONFORMANCE.md` lists all of them with their sections; this file has those that no other test covers.

use rstest::rstest;
use sparbank_amqp::{
    condition, encode, Attach, Begin, Close, Composite, Detach, Disposition, End, Flow, Open, Performative,
    State, Target, Terminus, Transfer, Value,
};
use sparbank_test_support::{listener, message_with_key, read_until, AmqpPeer, Peer, TestNode};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;
const CLASS: &str = "live-readings";

fn start_bench(settings: &str) -> TestNode {
    TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings))
}

fn connect_client(bench: &TestNode) -> AmqpPeer {
    AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None)
}

/// The attach of a sending link.
fn sender_attach(name: &str, handle: u32) -> Attach {
    let target = Target { address: Some(CLASS.into()), ..Default::default() };
    Attach {
        name: Some(name.into()),
        handle: Some(handle),
        role: Some(false),
        target: Some(Terminus::Target(target)),
        initial_delivery_count: Some(0),
        ..Default::default()
    }
}

fn begin() -> Begin {
    Begin {
        next_outgoing_id: Some(0),
        incoming_window: Some(100),
        outgoing_window: Some(100),
        ..Default::default()
    }
}

/// Waits for the node to close the connection; returns the condition of its close.
fn expect_close(client: &mut AmqpPeer) -> String {
    let error = read_until!(client, Close).0.error.expect("an error");
    client.peer.expect_closed();
    error.condition
}

fn frame(channel: u16, body: impl Into<Performative>) -> Vec<u8> {
    let mut out = Vec::new();
    sparbank_amqp::write_frame(&mut out, 0, channel, Some(&body.into()), &[]);
    out
}

/// A transfer whose delivery tag is one octet longer than the limit of 32 (2.8.7).
fn tag_of_33_octets() -> Vec<u8> {
    let mut out = Vec::new();
    let fields = vec![Value::Uint(0), Value::Uint(0), Value::Binary(vec![7; 33])];
    let write = |out: &mut Vec<u8>| encode(&Value::composite(0x14, fields), out);
    sparbank_amqp::write_frame_with(&mut out, 0, 0, write, &[]);
    out
}

#[rstest]
#[case::unsupported_version(b"AMQP\x00\x02\x00\x00")]
#[case::tls(b"AMQP\x02\x01\x00\x00")]
#[case::other_protocol(b"HTTP/1.1")]
fn an_unsupported_protocol_header_is_answered_with_a_supported_one(#[case] header: &[u8]) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut peer = Peer::connect(bench.amqp_addr.expect("AMQP is on"));
    std::io::Write::write_all(&mut peer.stream, header).expect("written");
    let mut answer = [0; 8];
    peer.read_exact(&mut answer);
    assert_eq!(&answer, b"AMQP\x00\x01\x00\x00");
    peer.expect_closed();
}

#[rstest]
fn an_extended_frame_header_is_skipped() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "ANONYMOUS", b"")
        .expect("authenticated");
    let mut open = frame(0, Open { container_id: Some("c".into()), ..Default::default() });
    open.splice(8..8, [0xde, 0xad, 0xbe, 0xef]);
    open[4] = 3;
    open[3] += 4;
    std::io::Write::write_all(&mut client.peer.stream, &open).expect("written");
    read_until!(client, Open);
}

/// A client may pipeline open, begin and attach without waiting for the answers.
#[rstest]
fn pipelined_open_begin_and_attach_are_accepted() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "ANONYMOUS", b"")
        .expect("authenticated");
    let mut bytes = frame(0, Open { container_id: Some("c".into()), ..Default::default() });
    bytes.extend(frame(0, begin()));
    bytes.extend(frame(0, sender_attach("l", 0)));
    std::io::Write::write_all(&mut client.peer.stream, &bytes).expect("written");
    read_until!(client, Open);
    read_until!(client, Begin);
    read_until!(client, Attach);
    assert!(read_until!(client, Flow).0.link_credit > Some(0));
}

#[rstest]
fn symbolic_descriptors_are_accepted() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "ANONYMOUS", b"")
        .expect("authenticated");
    let mut body = Vec::new();
    let fields = Value::List(vec![Value::text("c")]);
    encode(&Value::Described(Box::new(Value::symbol(Open::NAME)), Box::new(fields)), &mut body);
    let mut bytes = ((body.len() + 8) as u32).to_be_bytes().to_vec();
    bytes.extend([2, 0, 0, 0]);
    bytes.extend(body);
    std::io::Write::write_all(&mut client.peer.stream, &bytes).expect("written");
    read_until!(client, Open);
}

#[rstest]
#[case::no_container_id(Open::default(), condition::INVALID_FIELD)]
#[case::max_frame_size_below_512(
    Open { container_id: Some("c".into()), max_frame_size: Some(511), ..Default::default() },
    condition::INVALID_FIELD
)]
fn an_invalid_open_is_refused(#[case] open: Open, #[case] expected: &str) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "ANONYMOUS", b"")
        .expect("authenticated");
    client.send_performative(open);
    assert_eq!(expect_close(&mut client), expected);
}

#[rstest]
#[case::second_open(frame(0, Open { container_id: Some("c".into()), ..Default::default() }), condition::ILLEGAL_STATE)]
#[case::channel_without_a_session(frame(5, Flow::default()), condition::ILLEGAL_STATE)]
#[case::channel_in_use(frame(0, begin()), condition::FRAMING_ERROR)]
#[case::sasl_body(frame(0, sparbank_amqp::SaslOutcome::default()), condition::NOT_ALLOWED)]
#[case::tag_of_33_octets(tag_of_33_octets(), condition::INVALID_FIELD)]
#[case::unknown_performative(b"\x00\x00\x00\x0c\x02\x00\x00\x00\x00\x53\x77\x45".to_vec(), condition::DECODE_ERROR)]
#[case::truncated_performative(b"\x00\x00\x00\x0d\x02\x00\x00\x00\x00\x53\x13\xc0\x20".to_vec(), condition::DECODE_ERROR)]
fn connection_errors_close_the_connection_with_their_condition(
    #[case] bytes: Vec<u8>,
    #[case] expected: &str,
) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    std::io::Write::write_all(&mut client.peer.stream, &bytes).expect("written");
    assert_eq!(expect_close(&mut client), expected);
}

#[rstest]
fn close_is_answered_with_close_and_nothing_follows() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(Close::default());
    assert_eq!(read_until!(client, Close).0.error, None);
    client.peer.expect_closed();
}

#[rstest]
fn end_is_answered_with_end_and_its_channel_may_begin_again() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    client.send_performative(End::default());
    assert_eq!(read_until!(client, End).0.error, None);
    client.send_performative(begin());
    read_until!(client, Begin);
    assert!(client.attach_sender(CLASS).expect("the handle may be used again") > 0);
}

#[rstest]
#[case::unattached_handle_in_detach(frame(0, Detach { handle: Some(9), ..Default::default() }), condition::UNATTACHED_HANDLE)]
#[case::handle_in_use(frame(0, sender_attach("other", 0)), condition::HANDLE_IN_USE)]
#[case::handle_above_the_maximum(frame(0, sender_attach("other", 4096)), condition::HANDLE_IN_USE)]
#[case::unattached_handle_in_transfer(
    frame(0, Transfer { handle: Some(9), ..Default::default() }),
    condition::UNATTACHED_HANDLE
)]
fn a_session_error_ends_the_session_and_not_the_connection(#[case] bytes: Vec<u8>, #[case] expected: &str) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    std::io::Write::write_all(&mut client.peer.stream, &bytes).expect("written");
    assert_eq!(read_until!(client, End).0.error.expect("an error").condition, expected);
    client.send_performative(End::default());
    client.send_performative(begin());
    read_until!(client, Begin);
    assert!(client.attach_sender(CLASS).expect("the connection goes on") > 0);
}

/// The configured limits are announced in the node's open, begin and attach.
#[rstest]
fn configured_limits_are_announced_to_the_client() {
    let bench = start_bench(
        r#"{"listen":"127.0.0.1:0","max_frame":4096,"channel_max":2,"handle_max":5,"window":9,"max_message":1000}"#,
    );
    let mut client = AmqpPeer::authenticated(bench.amqp_addr.expect("AMQP is on"), "ANONYMOUS", b"")
        .expect("authenticated");
    client.open("c", None, 4096);
    let (open, _) = read_until!(client, Open);
    assert_eq!((open.max_frame_size, open.channel_max), (Some(4096), Some(2)));
    assert!(open.idle_time_out.is_some());
    client.send_performative(begin());
    let (node_begin, _) = read_until!(client, Begin);
    assert_eq!(
        (node_begin.remote_channel, node_begin.handle_max, node_begin.incoming_window),
        (Some(0), Some(5), Some(9))
    );
    client.send_performative(sender_attach("l", 0));
    let (node_attach, _) = read_until!(client, Attach);
    assert_eq!((node_attach.role, node_attach.max_message_size), (Some(true), Some(1000)));
}

#[rstest]
fn a_second_attach_under_the_same_name_steals_the_link() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    client.send_performative(sender_attach("l", 1));
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::STOLEN);
    read_until!(client, Attach);
    assert!(read_until!(client, Flow).0.link_credit > Some(0));
}

/// A detach is answered by a detach with the same `closed` flag.
#[rstest]
#[case::closing(Some(true))]
#[case::not_closing(None)]
fn a_detach_is_answered_with_the_same_closed_flag(#[case] closed: Option<bool>) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    client.send_performative(Detach { handle: Some(0), closed, error: None });
    let (answer, _) = read_until!(client, Detach);
    assert_eq!((answer.closed, answer.error), (closed, None));
}

#[rstest]
fn a_delivery_beyond_the_credit_detaches_its_link() {
    let bench = start_bench(r#"{"listen":"127.0.0.1:0","unsettled":3}"#);
    let mut client = connect_client(&bench);
    assert_eq!(client.attach_sender(CLASS).expect("the class is known"), 3);
    for id in 0..4 {
        client.send_on_first_link(id, &message_with_key(60_000, "7f3a", b"reading"));
    }
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::TRANSFER_LIMIT_EXCEEDED);
}

/// A disposition of unknown deliveries is ignored, even one whose range wraps around all delivery ids.
#[rstest]
fn a_disposition_of_unknown_deliveries_is_ignored() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    let (first, last, settled) = (Some(7), Some(6), Some(true));
    for role in [Some(true), Some(false)] {
        let state = Some(State::Accepted);
        client.send_performative(Disposition { role, first, last, settled, state, ..Default::default() });
    }
    client.send_performative(Flow { echo: Some(true), ..session_flow() });
    read_until!(client, Flow);
}

/// A session flow with all of its mandatory fields.
fn session_flow() -> Flow {
    Flow {
        next_incoming_id: Some(0),
        incoming_window: Some(100),
        next_outgoing_id: Some(0),
        outgoing_window: Some(100),
        ..Default::default()
    }
}

#[rstest]
fn a_request_settled_early_by_its_sender_is_abandoned() {
    let mut bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    client.send_on_first_link(0, &message_with_key(60_000, "7f3a", b"reading"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    read_until!(server, Transfer);
    let (role, first, settled) = (Some(false), Some(0), Some(true));
    client.send_performative(Disposition { role, first, settled, ..Default::default() });
    assert_eq!(read_until!(server, Disposition).0.settled, Some(true), "the node settles it at the server");
    assert_eq!(bench.counter("client_disconnected"), 1);
}

#[rstest]
#[case::header_after_body({
    let mut bytes = Vec::new();
    encode(&Value::described(0x75, Value::Binary(vec![1])), &mut bytes);
    encode(&Value::composite(0x70, Vec::new()), &mut bytes);
    bytes
})]
#[case::two_amqp_value_sections({
    let mut bytes = Vec::new();
    encode(&Value::described(0x77, Value::Null), &mut bytes);
    encode(&Value::described(0x77, Value::Null), &mut bytes);
    bytes
})]
#[case::application_property_key_not_a_string({
    let mut bytes = Vec::new();
    encode(&Value::described(0x74, Value::Map(vec![(Value::Uint(1), Value::Null)])), &mut bytes);
    encode(&Value::described(0x77, Value::Null), &mut bytes);
    bytes
})]
#[case::unknown_section({
    let mut bytes = Vec::new();
    encode(&Value::described(0x79, Value::Null), &mut bytes);
    bytes
})]
fn a_malformed_message_is_rejected_and_its_link_stays_attached(#[case] bytes: Vec<u8>) {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = connect_client(&bench);
    client.send_performative(sender_attach("l", 0));
    read_until!(client, Flow);
    client.send_on_first_link(0, &bytes);
    let (disposition, _) = read_until!(client, Disposition);
    assert!(matches!(disposition.state, Some(State::Rejected(Some(_)))));
    client.send_on_first_link(1, &bytes);
    assert_eq!(read_until!(client, Disposition).0.first, Some(1));
}

#[rstest]
fn sasl_frames_are_read_on_any_channel_and_are_no_larger_than_512_octets() {
    let bench = start_bench(AMQP_SETTINGS);
    let addr = bench.amqp_addr.expect("AMQP is on");
    for (size, is_accepted) in [(10, true), (600, false)] {
        let mut peer = Peer::connect(addr);
        let init = sparbank_amqp::SaslInit {
            mechanism: Some(sparbank_amqp::Symbol("ANONYMOUS".into())),
            initial_response: Some(vec![b'x'; size]),
            hostname: None,
        };
        let mut bytes = b"AMQP\x03\x01\x00\x00".to_vec();
        sparbank_amqp::write_frame(&mut bytes, sparbank_amqp::SASL, 77, Some(&init.into()), &[]);
        std::io::Write::write_all(&mut peer.stream, &bytes).expect("written");
        if !is_accepted {
            peer.drain_until_closed(std::time::Duration::from_secs(3));
            continue;
        }
        let mut header = [0; 8];
        peer.read_exact(&mut header);
        assert_eq!(&header, b"AMQP\x03\x01\x00\x00");
        let mut last = None;
        for _ in 0..2 {
            let mut size = [0; 4];
            peer.read_exact(&mut size);
            let mut bytes = size.to_vec();
            bytes.resize(u32::from_be_bytes(size) as usize, 0);
            peer.read_exact(&mut bytes[4..]);
            last = sparbank_amqp::read_frame(&mut &bytes[..], 512).expect("valid").and_then(|f| f.body);
        }
        assert!(matches!(last, Some(Performative::SaslOutcome(outcome)) if outcome.code == Some(0)));
    }
}

#[rstest]
fn a_peer_that_is_silent_beyond_the_idle_time_is_closed_with_a_reason() {
    let bench = start_bench(r#"{"listen":"127.0.0.1:0","idle_ms":400}"#);
    let mut client = connect_client(&bench);
    assert_eq!(expect_close(&mut client), condition::RESOURCE_LIMIT_EXCEEDED);
}

/// Transfer ids and delivery counts wrap around at 2^32.
#[rstest]
fn serial_numbers_wrap_around() {
    let bench = start_bench(AMQP_SETTINGS);
    let mut client = AmqpPeer::client_without_session(bench.amqp_addr.expect("AMQP is on"), "c", None);
    client.send_performative(Begin { next_outgoing_id: Some(u32::MAX - 1), ..begin() });
    read_until!(client, Begin);
    client.send_performative(Attach { initial_delivery_count: Some(u32::MAX - 1), ..sender_attach("l", 0) });
    let (flow, _) = read_until!(client, Flow);
    assert_eq!(flow.delivery_count, Some(u32::MAX - 1));
    let mut server = None;
    for n in 0..5u32 {
        let id = (u32::MAX - 1).wrapping_add(n);
        client.send(0, id, &message_with_key(60_000, "7f3a", b"reading"));
        let server = server.get_or_insert_with(|| {
            let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
            server.accept_sending_link(10, 100);
            server
        });
        let (transfer, _) = read_until!(server, Transfer);
        server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
        assert_eq!(read_until!(client, Disposition).0.first, Some(id));
    }
}

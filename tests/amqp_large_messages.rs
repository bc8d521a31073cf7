//! Messages of many frames from clients to servers: streaming, buffering, aborts, and isolation of other clients.

use rstest::rstest;
use sparbank_amqp::{Attach, Flow, Performative, State, Tag, Transfer};
use sparbank_test_support::{
    accept_any, counter_value, listener, message_with_key, read_until, try_accept, AmqpPeer, NextFrame, Peer,
    ReceivedMessage, TestNode,
};
use std::collections::HashMap;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// Heartbeats of clients that the node does not read: sent for longer than its idle time-out in that test.
const HEARTBEATS: u32 = 10;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;
const CLASS: &str = "live-readings";

fn start_bench(servers: usize) -> TestNode {
    TestNode::start_with_servers(PROGRAM, (0..servers).map(|_| listener()).collect(), Some(AMQP_SETTINGS))
}

fn connect_client(bench: &TestNode) -> AmqpPeer {
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    assert!(client.attach_sender(CLASS).expect("the class is known") > 0);
    client
}

/// Regression: frames above 8 KiB, the default read limit, were never read, and the link hung without an error.
#[rstest]
#[case::just_above_the_default_read_limit(8_193)]
#[case::near_the_agreed_maximum(16_300)]
fn a_frame_of_any_agreed_size_is_accepted(#[case] size: usize) {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    client.send_on_first_link(0, &message_with_key(5000, "7f3a", &vec![7; size]));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    let ReceivedMessage { delivery_id: id, bytes } = server.receive_message();
    assert!(bytes.len() > size);
    server.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
}

#[rstest]
fn a_large_message_is_streamed_and_never_buffered_completely() {
    let settings = r#"{"listen":"127.0.0.1:0","max_held":300000}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let mut client = connect_client(&bench);
    let body: Vec<u8> = (0..900_000u32).map(|n| (n ^ (n >> 9)) as u8).collect();
    let sent = message_with_key(60_000, "7f3a", &body);
    // The client writes from its own thread, since the node reads only as fast as the server does.
    let mut writer = client.try_clone();
    let copy = sent.clone();
    let writing = std::thread::spawn(move || writer.deliver_in_transfers(0, &copy, 12_000));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 10_000, 16_384);
    server.accept_sending_link(10, 10_000);
    let ReceivedMessage { delivery_id: id, bytes } = server.receive_message();
    writing.join().expect("all written");
    assert!(bytes.ends_with(&body), "the body is unchanged");
    server.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    let buffered = counter_value(&bench.frontend_counters("amqp"), "max_buffered_bytes");
    assert!(buffered < 350_000, "{buffered} octets were buffered");
}

#[rstest]
fn a_large_message_is_retried_only_while_it_is_buffered_completely() {
    for (keep, expected_attempts) in [(1_000_000, 2), (10_000, 1)] {
        let settings = format!(r#"{{"listen":"127.0.0.1:0","keep":{keep}}}"#);
        let bench =
            TestNode::start_with_servers(PROGRAM, (0..2).map(|_| listener()).collect(), Some(&settings));
        let mut client = connect_client(&bench);
        client.deliver_in_transfers(0, &message_with_key(60_000, "7f3a", &vec![7; 200_000]), 10_000);
        let (failed, peer) = accept_any(&bench.servers);
        let mut server = AmqpPeer::server(peer, 40, 4096);
        server.accept_sending_link(10, 40);
        for _ in 0..40 {
            read_until!(server, Transfer);
        }
        drop(server);
        if expected_attempts == 2 {
            let mut other = AmqpPeer::server(Peer::accept(&bench.servers[1 - failed]), 1000, 65536);
            other.accept_sending_link(10, 1000);
            let id = other.receive_message().delivery_id;
            other.settle(id, State::Accepted);
            assert_eq!(client.receive_delivery_state(), State::Accepted);
        } else {
            assert!(matches!(client.receive_delivery_state(), State::Modified { delivery_failed: true, .. }));
        }
        let counters = bench.stop();
        assert_eq!(
            [counter_value(&counters, "sent"), counter_value(&counters, "attempt_connect_failed")],
            [expected_attempts, 1]
        );
        assert_eq!(
            counter_value(&counters, "requests"),
            counter_value(&counters, "served") + counter_value(&counters, "failed")
        );
    }
}

/// Regression: after a time-out, the end of a message whose start was discarded was sent to another server as a message
/// of its own, and the client was told `accepted`.
#[rstest]
#[case::sent_completely(10_000)]
#[case::partly_sent(40)]
fn a_message_without_its_start_is_not_sent_again_after_a_time_out(#[case] window_frames: u32) {
    let bench = start_bench(2);
    let mut client = connect_client(&bench);
    client.deliver_in_transfers(0, &message_with_key(1_500, "7f3a", &vec![7; 200_000]), 10_000);
    let (silent, peer) = accept_any(&bench.servers);
    let mut server = AmqpPeer::server(peer, window_frames, 4096);
    server.accept_sending_link(10, window_frames);
    let reading = std::thread::spawn(move || while !matches!(server.read_frame(), NextFrame::Ended) {});
    assert!(matches!(client.receive_delivery_state(), State::Modified { delivery_failed: true, .. }));
    assert!(try_accept(&bench.servers[1 - silent]).is_none(), "the message is sent to another server");
    let counters = bench.stop();
    assert_eq!(
        ["sent", "failed", "served"].map(|name| counter_value(&counters, name)),
        [1, 1, 0],
        "one attempt, and the client is told that it failed"
    );
    reading.join().expect("the server reads until the node ends");
}

#[rstest]
#[case::by_disconnecting(false)]
#[case::by_an_abort(true)]
fn a_client_that_stops_mid_message_has_it_aborted_at_the_server(#[case] abort: bool) {
    let mut bench = start_bench(1);
    let mut client = connect_client(&bench);
    let sent = message_with_key(60_000, "7f3a", &[7; 60_000]);
    let (handle, delivery_id) = (Some(0), Some(0));
    let first = Transfer {
        handle,
        delivery_id,
        delivery_tag: Tag::new(b"t"),
        more: Some(true),
        ..Default::default()
    };
    client.send_frame(0, first.into(), &sent[..12_000]);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    read_until!(server, Transfer);
    if abort {
        client.send_performative(Transfer { handle, delivery_id, aborted: Some(true), ..Default::default() });
    } else {
        drop(client);
    }
    while read_until!(server, Transfer).0.aborted != Some(true) {}
    assert_eq!([bench.counter("client_disconnected"), bench.counter("served")], [1, 0]);
}

#[rstest]
fn a_delivery_settled_before_its_last_frame_is_answered_and_the_rest_is_not_sent() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    let sent = message_with_key(60_000, "7f3a", &[7; 40_000]);
    let (handle, delivery_id) = (Some(0), Some(0));
    let tag = Tag::new(b"t");
    let first = Transfer { handle, delivery_id, delivery_tag: tag, more: Some(true), ..Default::default() };
    client.send_frame(0, first.into(), &sent[..12_000]);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65_536);
    server.accept_sending_link(10, 100);
    let (transfer, _) = read_until!(server, Transfer);
    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    // Later transfers of this delivery belong to no request; the link stays attached.
    let rest = Transfer { handle, delivery_id, more: Some(false), ..Default::default() };
    client.send_frame(0, rest.into(), &sent[12_000..20_000]);
    client.send_on_first_link(1, &message_with_key(60_000, "7f3a", b"next"));
    while read_until!(server, Transfer).0.delivery_id == transfer.delivery_id {}
    server.settle(1, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    assert_eq!(counter_value(&bench.stop(), "requests"), 2);
}

#[rstest]
fn a_window_of_one_and_frames_of_512_octets_carry_a_message_of_any_size() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    let sent = message_with_key(60_000, "7f3a", &[9; 20_000]);
    client.deliver_in_transfers(0, &sent, 5000);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1, 512);
    server.accept_sending_link(10, 1);
    let (mut frames, mut size, mut id) = (0u32, 0, None);
    loop {
        let (transfer, payload) = read_until!(server, Transfer);
        id = id.or(transfer.delivery_id);
        size += payload.len();
        frames += 1;
        if transfer.more != Some(true) {
            break;
        }
        server.send_performative(Flow {
            next_incoming_id: Some(frames),
            incoming_window: Some(1),
            next_outgoing_id: Some(0),
            outgoing_window: Some(1),
            ..Default::default()
        });
    }
    assert!(size > 20_000 && frames > 40);
    server.settle(id.expect("an id"), State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
}

#[rstest]
fn an_incomplete_message_delays_no_other_client() {
    let bench = start_bench(1);
    let mut slow = connect_client(&bench);
    let sent = message_with_key(60_000, "7f3a", &[7; 30_000]);
    let first = Transfer {
        handle: Some(0),
        delivery_id: Some(0),
        delivery_tag: Tag::new(b"t"),
        more: Some(true),
        ..Default::default()
    };
    slow.send_frame(0, first.into(), &sent[..12_000]);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    read_until!(server, Transfer);
    // The rest of the message is not sent. The node attaches a second link for another client's delivery.
    let mut quick = connect_client(&bench);
    quick.send_on_first_link(0, &message_with_key(60_000, "7f3b", b"quick"));
    let (attach, _) = read_until!(server, Attach);
    let (name, target) = (attach.name, attach.target);
    server.send_performative(Attach {
        name,
        handle: Some(8),
        role: Some(true),
        target,
        ..Default::default()
    });
    server.grant_credit(8, 0, 10);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(quick.receive_delivery_state(), State::Accepted);
}

/// Runs a server that accepts all links and this many messages of more than 1 MiB, with a pause after each frame.
fn receive_slowly(server: &mut AmqpPeer, messages: u32) {
    let (mut completed, mut sizes) = (0, HashMap::<u32, usize>::new());
    while completed < messages {
        match server.read_performative() {
            (Performative::Attach(attach), _) => {
                let (name, handle, target) = (attach.name, attach.handle, attach.target);
                server.send_performative(Attach {
                    name,
                    handle,
                    role: Some(true),
                    target,
                    ..Default::default()
                });
                server.grant_credit_wide(handle.expect("a handle"), 10);
            }
            (Performative::Transfer(transfer), payload) => {
                std::thread::sleep(Duration::from_millis(3));
                server.send_heartbeat();
                let size = sizes.entry(transfer.handle.expect("a handle")).or_default();
                *size += payload.len();
                if transfer.more != Some(true) {
                    assert!(*size > 1024 * 1024, "{size}");
                    *size = 0;
                    server.settle(completed, State::Accepted);
                    completed += 1;
                }
            }
            _ => {}
        }
    }
}

/// Three messages of 1 MiB are sent at once to a server that reads slowly: the octets that the node buffers stay
/// within the configured limit.
#[rstest]
fn memory_stays_bounded_with_a_slow_server() {
    let settings = r#"{"listen":"127.0.0.1:0","max_held":400000,"max_message":2000000}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let sent = message_with_key(60_000, "7f3a", &vec![7; 1024 * 1024]);
    let clients: Vec<AmqpPeer> = (0..3).map(|_| connect_client(&bench)).collect();
    let writing: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            let sent = sent.clone();
            std::thread::spawn(move || {
                client.deliver_in_transfers(0, &sent, 12_000);
                client.receive_delivery_state()
            })
        })
        .collect();
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100_000, 16_384);
    receive_slowly(&mut server, 3);
    for client in writing {
        assert_eq!(client.join().expect("a client's thread"), State::Accepted);
    }
    let buffered = counter_value(&bench.frontend_counters("amqp"), "max_buffered_bytes");
    assert!(buffered < 450_000, "{buffered} octets were buffered");
}

/// A delivery that begins while the buffer is nearly full is answered by a server, as one that begins while it is full:
/// it is not rejected because of the few octets by which it exceeds the limit.
#[rstest]
fn a_delivery_that_begins_while_the_buffer_is_nearly_full_is_served() {
    const LIMIT: usize = 400_000;
    let settings = format!(r#"{{"listen":"127.0.0.1:0","max_held":{LIMIT},"keep":{LIMIT}}}"#);
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(&settings));
    let [mut first, mut second] = [(); 2].map(|()| connect_client(&bench));
    first.deliver_in_transfers(0, &message_with_key(60_000, "7f3a", &vec![7; LIMIT - 10_000]), 12_000);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1_000, 65_536);
    server.accept_sending_link(10, 1_000);
    let id = server.receive_message().delivery_id;
    let buffered = counter_value(&bench.frontend_counters("amqp"), "buffered_bytes");
    assert!((LIMIT as u64 - 12_000..LIMIT as u64).contains(&buffered), "{buffered} octets are buffered");
    second.send_on_first_link(0, &message_with_key(60_000, "7f3b", &[7; 12_000]));
    let second_id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    server.settle(second_id, State::Accepted);
    for mut client in [first, second] {
        assert_eq!(client.receive_delivery_state(), State::Accepted);
    }
}

/// While the buffer is full the node does not read its clients. It must not take them for silent meanwhile: their
/// heartbeats arrive, and their deliveries are served once there is memory again.
#[rstest]
fn a_client_whose_input_waits_for_memory_is_not_disconnected_as_idle() {
    const LIMIT: usize = 100_000;
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","max_held":{LIMIT},"keep":{LIMIT},"idle_ms":800,"server_idle_ms":20000}}"#
    );
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(&settings));
    let [mut first, mut second] = [(); 2].map(|()| connect_client(&bench));
    // Two deliveries that together exceed the limit: the node stops reading within the second one.
    for id in 0..2 {
        first.deliver_in_transfers(id, &message_with_key(60_000, "7f3a", &[7; LIMIT / 5 * 3]), 10_000);
    }
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1_000, 65_536);
    server.accept_sending_link(10, 1_000);
    let mut ids = vec![server.receive_message().delivery_id];
    assert!(counter_value(&bench.frontend_counters("amqp"), "buffered_bytes") >= LIMIT as u64);
    second.send_on_first_link(0, &message_with_key(60_000, "7f3b", b"waits"));
    for _ in 0..HEARTBEATS {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        first.send_heartbeat();
        second.send_heartbeat();
    }
    while let Some(id) = ids.pop() {
        server.settle(id, State::Accepted);
        if id < 2 {
            ids.push(server.receive_message().delivery_id);
        }
    }
    for (mut client, deliveries) in [(first, 2), (second, 1)] {
        for _ in 0..deliveries {
            assert_eq!(client.receive_delivery_state(), State::Accepted);
        }
    }
}

//! Clients that leave while the node holds their input back: their requests are not sent on.

use rstest::rstest;
use sparbank_amqp::{Performative, State};
use sparbank_test_support::{
    counter_value, listener, message_with_key, AmqpPeer, NextFrame, Peer, ReceivedMessage, TestNode,
};
use std::net::Shutdown;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";
/// A limit on buffered octets that the client's messages exceed.
const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0","max_held":200000,"server_idle_ms":60000}"#;
/// More than the node reads, and little enough that the end of the stream reaches its kernel.
const MESSAGES: u32 = 8;
/// Messages that the node reads before its buffer is full.
const READ_MESSAGES: u32 = 6;
const MESSAGE_BYTES: usize = 30_000;
const TTL_MS: u32 = 60_000;
/// How often the counters are read until the node must have noticed the end of the stream.
const MAX_CHECKS: u32 = 1_000;
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Regression: while the node did not read a client for lack of memory, it did not notice that the client had left, and
/// sent the client's messages to servers as these took more.
#[rstest]
fn messages_of_a_client_that_left_while_it_was_not_read_are_not_sent_on() {
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(AMQP_SETTINGS));
    let addr = bench.amqp_addr.expect("AMQP is on");
    let mut leaving = AmqpPeer::client(addr, None);
    leaving.attach_sender(CLASS).expect("the class is known");
    let message = message_with_key(TTL_MS, "7f3a", &vec![7; MESSAGE_BYTES]);
    for id in 0..MESSAGES {
        leaving.deliver_in_transfers(id, &message, 12_000);
        // The window of the connection stays open, so that the end of the stream reaches the node's kernel.
        while id < READ_MESSAGES && bench.counter("requests") <= u64::from(id) {}
    }
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 10_000, 16_384);
    server.accept_sending_link(1, 10_000);
    let ReceivedMessage { delivery_id, .. } = server.receive_message();
    while counter_value(&bench.frontend_counters("amqp"), "paused") == 0 {}

    leaving.peer.stream.shutdown(Shutdown::Write).expect("shut down");
    let is_noticed = |bench: &mut TestNode| {
        std::thread::sleep(CHECK_INTERVAL);
        bench.counter("client_disconnected") > 0
    };
    assert!((0..MAX_CHECKS).any(|_| is_noticed(&mut bench)), "the end is not noticed");
    server.settle(delivery_id, State::Accepted);
    server.grant_server_credit(1_000, 1, 10_000);
    let mut staying = AmqpPeer::client(addr, None);
    staying.attach_sender(CLASS).expect("the class is known");
    staying.send_on_first_link(0, &message_with_key(TTL_MS, "7f3b", b"staying"));
    let next = loop {
        match server.read_frame() {
            NextFrame::Body(body, payload) => match *body {
                Performative::Transfer(transfer) if transfer.aborted != Some(true) => break payload,
                _ => {}
            },
            NextFrame::Heartbeat => {}
            NextFrame::Ended | NextFrame::Reset => panic!("the connection ended"),
        }
    };
    assert!(next.ends_with(b"staying"), "a message of the client that has left is sent");
    while counter_value(&bench.frontend_counters("amqp"), "clients") > 1 {}
}

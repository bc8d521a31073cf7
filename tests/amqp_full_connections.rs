//! Connections of AMQP servers that stop reading.

use rstest::rstest;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use sparbank_amqp::State;
use sparbank_test_support::{
    counter_value, listener, message_with_key, AmqpPeer, Peer, ReceivedMessage, TestNode,
};
use std::net::TcpListener;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// A receive buffer that a server which does not read fills within a message.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// How long the client of a message waits for its outcome.
const TTL_MS: u32 = 10_000;
const LONG_MESSAGES: u32 = 12;
const LONG_MESSAGE_BYTES: usize = 1_000_000;

/// A listener whose connections have a small receive buffer.
fn small_buffer_listener() -> TcpListener {
    let listener = listener();
    set_socket_recv_buffer_size(&listener, SMALL_RECEIVE_BUFFER_BYTES).expect("the size is accepted");
    listener
}

/// A node's peer that accepts one link per connection, as a server with a small receive buffer.
fn accept_narrow(listener: &TcpListener) -> AmqpPeer {
    let mut server = AmqpPeer::single_link_server(Peer::accept(listener));
    server.accept_sending_link(1_000, 10_000);
    server
}

/// Regression: a server with two connections, one of them full, kept the node in an endless loop, and nobody was served.
#[rstest]
fn a_full_connection_beside_an_idle_one_does_not_occupy_the_node() {
    let settings = r#"{"listen":"127.0.0.1:0","max_held":300000}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![small_buffer_listener()], Some(settings));
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    client.attach_sender("station-notes").expect("the class is known");
    client.send_on_first_link(0, &message_with_key(TTL_MS, "7f3a", b"note"));
    let mut idle = accept_narrow(&bench.servers[0]);
    let id = idle.receive_message().delivery_id;
    idle.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);

    let mut other = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    other.attach_sender("live-readings").expect("the class is known");
    let mut writer = other.try_clone();
    let writing = std::thread::spawn(move || {
        let message = message_with_key(TTL_MS, "7f3b", &vec![7; LONG_MESSAGE_BYTES]);
        (0..LONG_MESSAGES).for_each(|id| writer.deliver_in_transfers(id, &message, 12_000));
    });
    let mut full = accept_narrow(&bench.servers[0]);
    // The client is paused once the connection and the message buffer are full.
    while counter_value(&bench.frontend_counters("amqp"), "paused") == 0 {}
    assert_eq!(bench.counter("unfinished_iterations"), 0, "each round sends something");
    assert_eq!(Peer::connect(bench.text_addr).send("PING\r\n").read_line(), "PONG");

    for _ in 0..LONG_MESSAGES {
        let ReceivedMessage { delivery_id, bytes } = full.receive_message();
        assert!(bytes.len() > LONG_MESSAGE_BYTES);
        full.settle(delivery_id, State::Accepted);
    }
    writing.join().expect("all written");
    assert_eq!(bench.counter("unfinished_iterations"), 0, "each round sends something");
}

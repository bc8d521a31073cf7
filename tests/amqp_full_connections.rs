//! Connections of AMQP servers that stop reading.

use rstest::rstest;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use sparbank_amqp::{Detach, Performative, State};
use sparbank_test_support::{
    counter_value, listener, message_with_key, read_until, AmqpPeer, NextFrame, Peer, ReceivedMessage,
    TestNode,
};
use std::net::TcpListener;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// A receive buffer that a server which does not read fills within a message.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 8 * 1024;
/// How long the client of a message waits for its outcome.
const TTL_MS: u32 = 10_000;
const LONG_MESSAGES: u32 = 12;
const LONG_MESSAGE_BYTES: usize = 1_000_000;
/// Enough orders to fill the kernel buffers of a server that does not read.
const ORDERS: u32 = 160;
const ORDER_BYTES: usize = 30_000;
/// The handle of the links that servers accept.
const SERVER_HANDLE: u32 = 7;
/// The idle time-out of the node's connections to servers, and a silence that is longer.
const SERVER_IDLE: Duration = Duration::from_millis(700);
const SILENCE: Duration = Duration::from_millis(1_300);

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

/// Reads messages until the connection ends, settles them if `accepts`, and returns the numbers of the orders.
fn receive_orders(mut server: AmqpPeer, accepts: bool) -> Vec<u32> {
    let (mut orders, mut bytes, mut id) = (Vec::new(), Vec::new(), None);
    loop {
        let (performative, payload) = match server.read_frame() {
            NextFrame::Body(performative, payload) => (*performative, payload),
            NextFrame::Heartbeat => continue,
            NextFrame::Ended | NextFrame::Reset => return orders,
        };
        let Performative::Transfer(transfer) = performative else { continue };
        id = id.or(transfer.delivery_id);
        bytes.extend(payload);
        if transfer.more == Some(true) {
            continue;
        }
        let number = &bytes[bytes.len() - ORDER_BYTES..][..4];
        orders.push(u32::from_be_bytes(number.try_into().expect("four octets")));
        bytes.clear();
        let delivery_id = id.take().expect("a delivery id");
        if accepts {
            server.settle(delivery_id, State::Accepted);
        }
    }
}

/// How a server that does not read loses its deliveries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossOfDeliveries {
    /// It sends nothing until the node gives its connection up.
    Silence,
    /// It detaches the link, and its connection stays open.
    Detach,
}

/// Accepts the node's connection and link, reads nothing until the loss of the deliveries is over, and returns the orders
/// that arrive.
fn run_silent_server(
    listener: &TcpListener,
    loss: LossOfDeliveries,
    orders_are_queued: &Receiver<()>,
) -> Vec<u32> {
    let mut server = AmqpPeer::server(Peer::accept(listener), 10_000, 16_384);
    server.accept_sending_link(1_000, 10_000);
    orders_are_queued.recv().expect("the orders are sent");
    if loss == LossOfDeliveries::Detach {
        let handle = Some(SERVER_HANDLE);
        server.send_performative(Detach { handle, closed: Some(true), ..Default::default() });
    }
    std::thread::sleep(SILENCE);
    receive_orders(server, false)
}

/// Regression: orders of a non-idempotent class that were buffered for a server were counted as never sent and repeated
/// elsewhere, and then written to that server when it read again.
#[rstest]
#[case::connection_given_up(LossOfDeliveries::Silence)]
#[case::link_detached(LossOfDeliveries::Detach)]
fn orders_buffered_for_a_silent_server_do_not_run_at_two_servers(#[case] loss: LossOfDeliveries) {
    let idle = if loss == LossOfDeliveries::Silence { SERVER_IDLE } else { 4 * SILENCE };
    let settings = format!(
        r#"{{"listen":"127.0.0.1:0","credit":{ORDERS},"max_held":33554432,"server_idle_ms":{}}}"#,
        idle.as_millis()
    );
    let servers = vec![small_buffer_listener(), listener()];
    let mut bench = TestNode::start_with_servers(PROGRAM, servers, Some(&settings));
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    assert!(client.attach_sender("station-notes").expect("the class is known") >= ORDERS);
    // All orders are placed at the first server until the second one is ready.
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 1, "draining");
    bench.counters();
    let [first, second] =
        [0, 1].map(|index: usize| bench.servers[index].try_clone().expect("a second handle"));
    let (orders_sent, orders_are_queued) = mpsc::channel();
    let silent = std::thread::spawn(move || run_silent_server(&first, loss, &orders_are_queued));
    let honest = std::thread::spawn(move || {
        let mut server = AmqpPeer::server(Peer::accept(&second), 10_000, 16_384);
        server.accept_sending_link(1_000, 10_000);
        receive_orders(server, true)
    });
    for number in 0..ORDERS {
        let mut body = vec![7; ORDER_BYTES];
        body[..4].copy_from_slice(&number.to_be_bytes());
        let key = format!("{number:x}");
        client.deliver_in_transfers(number, &message_with_key(TTL_MS, &key, &body), 12_000);
    }
    while bench.counter("requests") < u64::from(ORDERS) {}
    bench.update_lifecycle(&mut watch, 1, "ready");
    orders_sent.send(()).expect("the silent server waits");
    let mut answered = 0;
    while answered < ORDERS {
        let (disposition, _) = read_until!(client, Disposition);
        let first = disposition.first.expect("a delivery id");
        answered += disposition.last.unwrap_or(first) - first + 1;
    }
    bench.stop();
    let silent = silent.join().expect("the silent server ends");
    let honest = honest.join().expect("the honest server ends");
    assert!(!silent.is_empty() && !honest.is_empty(), "both servers have got orders");
    let twice: Vec<&u32> = silent.iter().filter(|order| honest.contains(order)).collect();
    assert!(twice.is_empty(), "{twice:?} ran at both servers");
}

//! Handover between two processes of a node (hot restart), over loopback: the platform passes the listening socket, and
//! the successor continues the connections of its predecessor.

use rstest::rstest;
use sparbank_test_support::{
    config, counter_value, established_client, listen_for_handover, listener, node_command, open_line,
    temp_file, HandoverFolder, HandoverNode, HandoverPeer, Peer, Signal,
};
use std::net::TcpStream;
use std::process::Stdio;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

// Messages of the handover socket.
const STATE_REQUEST: &str = r#"{"Take":{"version":1,"name":"n1"}}"#;
const STATE_COMPLETE: &str = "\"Whole\"";
const READY: &str = "\"Ready\"";

/// A line each way over an established connection.
fn exchange_lines(client: &mut Peer, server: &mut Peer, text: &str) {
    client.send(text).send("\r\n");
    assert_eq!(server.read_line(), text);
    server.send(text).send("\r\n");
    assert_eq!(client.read_line(), text);
}

#[rstest]
fn established_connections_and_the_watch_continue_in_the_successor() {
    let mut node = HandoverNode::start(PROGRAM);
    let mut watch = node.bench.accept_watch();
    let (mut client, mut server) = established_client(&node.bench, 1);
    exchange_lines(&mut client, &mut server, "M 1 x");
    // Half a line each way, and half a first line.
    client.send("M 2");
    server.send("N 2");
    let mut fresh = Peer::connect(node.bench.addr);
    fresh.send("OPEN 2 2 c=live-rea");
    // The node has read all that arrived before this answer.
    assert_eq!(Peer::connect(node.bench.addr).send("PING\r\n").read_line(), "PONG");
    let counters = node.replace();
    assert_eq!(
        ["handed_over", "migrated", "handovers"].map(|name| counter_value(&counters, name)),
        [1, 0, 1]
    );
    client.send(" y\r\n");
    assert_eq!(server.read_line(), "M 2 y");
    server.send(" y\r\n");
    assert_eq!(client.read_line(), "N 2 y");
    fresh.send("dings,t=acme,d=1200,g=5c0f\r\n");
    let mut second = Peer::accept(&node.bench.servers[0]);
    second.read_line();
    second.send("UP r2\r\n");
    assert_eq!(fresh.read_line(), "UP r2");
    // The same watch continues, and the successor receives what it brings.
    node.bench.update_lifecycle(&mut watch, 0, "draining");
    watch.send("0\r\n\r\n");
    node.bench.wait_for_log("endpoint watch lost");
    let counters = node.bench.counters();
    let counts = ["inherited", "requests", "migrated", "discovery_polls"].map(|name| counters[name]);
    assert_eq!(counts, [1, 1, 0, 0]);
    // The id of a transferred connection is in use here too.
    assert_eq!(node.bench.connect_client(&open_line(1)).read_line(), "ERR");
    drop(server);
    client.expect_closed();
}

#[rstest]
fn a_request_in_flight_is_answered_and_then_transferred() {
    let mut node = HandoverNode::start(PROGRAM);
    let mut client = node.bench.connect_client(&open_line(1));
    let mut server = Peer::accept(&node.bench.servers[0]);
    server.read_line();
    let mut predecessor = node.start_successor();
    server.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    predecessor.signal(Signal::TERM);
    assert_eq!(counter_value(&predecessor.wait_for_log("counters"), "handed_over"), 1);
    assert!(predecessor.wait().success());
    exchange_lines(&mut client, &mut server, "M 1 x");
}

#[rstest]
fn two_handovers_in_a_row_transfer_connections_and_the_drain() {
    let mut node = HandoverNode::start(PROGRAM);
    let (mut client, mut server) = established_client(&node.bench, 1);
    node.replace();
    node.replace();
    exchange_lines(&mut client, &mut server, "M 1 x");
    let status_line = Peer::connect(node.admin).send("POST /-/drain HTTP/1.1\r\n\r\n").read_line();
    assert_eq!(status_line, "HTTP/1.1 200 OK");
    assert_eq!(client.read_line(), "MOVE");
    node.replace();
    assert_eq!(Peer::connect(node.bench.addr).send("PING\r\n").read_line(), "BUSY");
}

/// It fails at its configuration, before it requests the state.
#[rstest]
fn a_successor_that_does_not_start_changes_nothing() {
    let mut node = HandoverNode::start(PROGRAM);
    let (mut client, mut server) = established_client(&node.bench, 1);
    node.bench.rewrite_config(|_| "{".to_string());
    let mut failed = node.bench.spawn_duplicate();
    assert_eq!(failed.wait().code(), Some(2));
    exchange_lines(&mut client, &mut server, "M 1 x");
    let _second = established_client(&node.bench, 2);
    assert_eq!(node.bench.counter("handovers"), 0);
}

/// It exits after it has received the state, before any connection has reached it.
#[rstest]
#[case::before_ready(false)]
#[case::after_ready(true)]
fn a_successor_that_exits_leaves_the_predecessor_serving(#[case] serves: bool) {
    let mut node = HandoverNode::start(PROGRAM);
    let watch = node.bench.accept_watch();
    let (mut client, mut server) = established_client(&node.bench, 1);
    let successor = HandoverPeer::connect(&node.socket);
    successor.send(STATE_REQUEST);
    while successor.receive() != STATE_COMPLETE {}
    if serves {
        // It exits without having continued the connection that was sent to it: that client is lost with it.
        successor.send(READY);
        node.bench.wait_for_log("handover to successor started");
        assert!(successor.receive().starts_with("{\"Terminal\""));
    }
    drop((successor, watch));
    node.bench.wait_for_log("handover ended peer=successor");
    // A new watch is requested: the first one was transferred.
    let _watch = node.bench.accept_watch();
    if serves {
        client.expect_closed();
    } else {
        exchange_lines(&mut client, &mut server, "M 1 x");
    }
    let _second = established_client(&node.bench, 2);
    assert_eq!(node.bench.counter("served"), 2);
}

#[rstest]
#[case::another_version(r#"{"Take":{"version":999,"name":"n1"}}"#)]
#[case::not_a_message("what")]
#[case::unexpected_message(r#"{"State":{"piece":""}}"#)]
fn a_peer_that_breaks_the_protocol_is_disconnected(#[case] message: &str) {
    let mut node = HandoverNode::start(PROGRAM);
    let (mut client, mut server) = established_client(&node.bench, 1);
    let peer = HandoverPeer::connect(&node.socket);
    peer.send(message);
    assert_eq!(peer.receive(), "", "the link ends");
    exchange_lines(&mut client, &mut server, "M 1 x");
    // The next one is accepted.
    node.replace();
    exchange_lines(&mut client, &mut server, "M 2 x");
}

/// A killed process leaves its socket; a file there is nobody's.
#[rstest]
#[case::a_file(false)]
#[case::a_closed_socket(true)]
fn a_leftover_at_the_handover_socket_is_replaced(#[case] is_socket: bool) {
    let folder = HandoverFolder::create();
    if is_socket {
        drop(listen_for_handover(&folder.socket));
    } else {
        std::fs::write(&folder.socket, "what").expect("a file");
    }
    let mut node = HandoverNode::start_in(PROGRAM, &folder, None);
    let (mut client, mut server) = established_client(&node.bench, 1);
    node.replace();
    exchange_lines(&mut client, &mut server, "M 1 x");
}

/// The process that listens at the handover socket sends half a state.
#[rstest]
fn an_unreadable_state_starts_the_process_without_a_predecessor() {
    let folder = HandoverFolder::create();
    let listener = listen_for_handover(&folder.socket);
    let predecessor = std::thread::spawn(move || {
        let successor = HandoverPeer::accept(&listener);
        assert!(successor.receive().starts_with("{\"Take\""));
        successor.send(r#"{"State":{"piece":"{\"drained\":"}}"#);
        successor.send(STATE_COMPLETE);
        successor.receive()
    });
    let node = HandoverNode::start_in(PROGRAM, &folder, None);
    let _established = established_client(&node.bench, 1);
    assert_eq!(predecessor.join().expect("it has sent all"), "", "the link ends");
}

/// SIGTERM precedes the successor: established connections still reach it, and no line is lost.
#[rstest]
fn a_successor_after_sigterm_receives_established_connections() {
    let mut node = HandoverNode::start(PROGRAM);
    let (mut client, mut server) = established_client(&node.bench, 1);
    node.bench.signal(Signal::TERM);
    node.bench.wait_for_log("shutting down");
    let mut predecessor = node.start_successor();
    assert_eq!(counter_value(&predecessor.wait_for_log("counters"), "handed_over"), 1);
    assert!(predecessor.wait().success());
    exchange_lines(&mut client, &mut server, "M 1 x");
}

/// AMQP connections are not transferred: their clients reconnect, where the successor listens.
#[rstest]
fn the_successor_inherits_the_amqp_listener() {
    let folder = HandoverFolder::create();
    let mut node = HandoverNode::start_in(PROGRAM, &folder, Some(r#"{"listen":"127.0.0.1:0"}"#));
    let amqp = node.bench.amqp.expect("it is on");
    node.replace();
    assert!(TcpStream::connect(amqp).is_ok());
}

#[rstest]
#[case::closed("987")]
#[case::no_number("x")]
#[case::no_socket("0")]
fn an_invalid_passed_descriptor_is_named_in_the_error(#[case] number: &str) {
    let text = config(listener().local_addr().expect("an address"), "", 256);
    let mut command = node_command(PROGRAM, &["serve"], &temp_file("node.json", &text));
    command.env("NODE_PASSED_SOCKET", number).stdin(Stdio::null());
    let output = command.output().expect("it ends");
    let line = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{line}");
    assert!(line.starts_with(&format!("ERROR NODE_PASSED_SOCKET: \"{number}\": ")), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

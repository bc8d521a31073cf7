//! Races between forwarding and backpressure: buffered lines are forwarded as soon as a slow side reads again.

use sparbank_test_support::{counter_value, established_client, Peer, TestNode};
use std::io::Write;
use std::net::Shutdown;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// More lines than the node and the kernel buffer between a server and a client that does not read.
const BURST_LINES: usize = 400_000;
/// A line of the burst with its line end.
const BURST_LINE: &[u8; 40] = b"M 0123456789abcdef0123456789abcdef0123\r\n";
/// How long the client does not read. Within this time the burst fills all buffers.
const CLIENT_STALL: Duration = Duration::from_millis(800);
/// Lines that the kernel's buffers between the node and a peer that does not read take without backpressure.
const BUFFERED_LINES: usize = 40_000;
/// How long a peer does not read the last lines of its session: longer than the node waits for a peer to close a
/// connection whose output it has read.
const READ_STALL: Duration = Duration::from_millis(2_500);
/// How long a server does not read beyond [`READ_STALL`]. In all, this is less than the time after which the node takes
/// it for unresponsive, and more than a client that has closed waits for its server's end.
const SERVER_STALL: Duration = Duration::from_millis(1_000);
/// How long a client does not read although its server answers its lines: longer than a server may take to answer.
const LONG_STALL: Duration = Duration::from_millis(5_500);
/// Lines that a server sends after its client has half-closed the session, and the time between them.
const LATE_LINES: usize = 8;
const LATE_LINE_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which a line that a peer sends on loopback arrives.
const ARRIVAL_TIME: Duration = Duration::from_millis(200);

/// The client stops reading during a burst that ends with `BYE` and a close by the server. Once it reads again it
/// gets every line and the close, although the server sends nothing more that would wake the node.
#[test]
fn a_client_that_stalls_in_a_burst_gets_all_lines_and_the_close() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, attempt) = established_client(&bench, 1);
    let mut sender = attempt.stream.try_clone().expect("a second handle");
    drop(attempt);
    let sending = std::thread::spawn(move || {
        let burst = BURST_LINE.repeat(BURST_LINES);
        sender.write_all(&burst).expect("the node reads all of it");
        sender.write_all(b"BYE\r\n").expect("the node reads the last line");
    });
    std::thread::sleep(CLIENT_STALL);
    let received = client.read_to_end();
    assert_eq!(received.lines().count(), BURST_LINES + 1);
    assert_eq!(received.lines().last(), Some("BYE"));
    sending.join().expect("all lines are sent");
}

/// A server that sends an overlong line can no longer be used: its client is migrated and not just disconnected.
#[test]
fn the_client_of_a_server_that_sends_an_overlong_line_is_migrated() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    attempt.send("M 1\r\n").send(&"x".repeat(5_000));
    assert_eq!([client.read_line(), client.read_line()], ["M 1", "MOVE"]);
    client.expect_closed();
    let counters = bench.stop();
    assert_eq!(counter_value(&counters, "invariant_violations"), 0);
}

/// Lines that a client has not read when its session ends.
fn unread_lines(count: usize) -> Vec<u8> {
    BURST_LINE.repeat(count)
}

/// Has a peer that does not read send a line in the meantime.
fn stall_and_send(peer: &mut Peer) {
    std::thread::sleep(READ_STALL);
    // A node that has closed the connection answers a late line with a reset, which discards what the client has not
    // received.
    let _ = peer.stream.write_all(b"M 1\r\n");
    std::thread::sleep(ARRIVAL_TIME);
}

/// The server sends its last lines and closes. The client reads them late, and sends a line before: it still gets every
/// line and an orderly close.
#[test]
fn a_client_that_reads_its_servers_last_lines_late_gets_all_of_them_and_the_close() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    attempt.stream.write_all(&unread_lines(BUFFERED_LINES)).expect("the node reads all lines");
    attempt.send("BYE\r\n");
    drop(attempt);
    stall_and_send(&mut client);
    let received = client.read_to_end();
    assert_eq!(received.lines().count(), BUFFERED_LINES + 1);
    assert_eq!(received.lines().last(), Some("BYE"));
}

/// The node migrates a client that has not read its last lines yet: the client still gets them, and `MOVE`.
#[test]
fn a_client_that_reads_late_when_it_is_migrated_gets_all_lines_and_move() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    attempt.stream.write_all(&unread_lines(BUFFERED_LINES)).expect("the node reads all lines");
    // A line that is too long has the node migrate the client.
    attempt.send(&"x".repeat(5_000));
    stall_and_send(&mut client);
    let received = client.read_to_end();
    assert_eq!(received.lines().count(), BUFFERED_LINES + 1);
    assert_eq!(received.lines().last(), Some("MOVE"));
}

/// The client closes its write side and reads its server's last lines late: it still gets every line and the close.
#[test]
fn a_half_closed_client_that_reads_late_gets_all_lines_and_the_close() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, attempt) = established_client(&bench, 1);
    let mut sender = attempt.stream.try_clone().expect("a second handle");
    drop(attempt);
    let sending = std::thread::spawn(move || {
        sender.write_all(&unread_lines(BURST_LINES)).expect("the node reads all of it");
        sender.write_all(b"BYE\r\n").expect("the node reads the last line");
    });
    std::thread::sleep(ARRIVAL_TIME);
    client.stream.shutdown(Shutdown::Write).expect("the connection is open");
    std::thread::sleep(READ_STALL);
    let received = client.read_to_end();
    assert_eq!(received.lines().count(), BURST_LINES + 1);
    assert_eq!(received.lines().last(), Some("BYE"));
    sending.join().expect("all lines are sent");
}

/// The client closes its write side while its server still sends, for longer than a silent server is waited for: the
/// client gets every line and the close.
#[test]
fn a_half_closed_client_gets_the_lines_that_its_server_still_sends() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    client.stream.shutdown(Shutdown::Write).expect("the connection is open");
    for _ in 0..LATE_LINES {
        std::thread::sleep(LATE_LINE_INTERVAL);
        attempt.send("M 1\r\n");
    }
    attempt.send("BYE\r\n");
    drop(attempt);
    assert_eq!(client.read_to_end(), "M 1\r\n".repeat(LATE_LINES) + "BYE\r\n");
}

/// The client sends its last lines and closes. The server reads them late, and answers a line before: it still gets
/// every line and the close.
#[test]
fn a_server_that_reads_a_closed_clients_last_lines_late_gets_all_of_them() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    client.stream.write_all(&unread_lines(BUFFERED_LINES)).expect("the node reads all lines");
    client.stream.shutdown(Shutdown::Write).expect("the connection is open");
    std::thread::sleep(SERVER_STALL);
    stall_and_send(&mut attempt);
    assert_eq!(attempt.read_to_end().lines().count(), BUFFERED_LINES);
}

/// The client sends a line and reads nothing for a long time, during which the server answers and sends more than all
/// buffers take. The server is not at fault: the session goes on, and the client gets every line.
#[test]
fn a_client_that_does_not_read_its_servers_answers_is_not_migrated() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut attempt) = established_client(&bench, 1);
    let mut sender = attempt.stream.try_clone().expect("a second handle");
    let sending = std::thread::spawn(move || {
        sender.write_all(&unread_lines(BURST_LINES)).expect("the node reads all of it");
    });
    std::thread::sleep(ARRIVAL_TIME);
    client.send("M 1\r\n");
    assert_eq!(attempt.read_line(), "M 1");
    std::thread::sleep(LONG_STALL);
    for line in 0..BURST_LINES {
        assert_eq!(client.read_line().as_bytes(), BURST_LINE.trim_ascii_end(), "line {line}");
    }
    sending.join().expect("all lines are sent");
    assert_eq!(bench.counter("migrated"), 0);
}

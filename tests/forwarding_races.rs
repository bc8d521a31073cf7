//! Races between forwarding and backpressure: buffered lines are forwarded as soon as a slow side reads again.

use sparbank_test_support::{counter_value, established_client, TestNode};
use std::io::Write;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// More lines than the node and the kernel buffer between a server and a client that does not read.
const BURST_LINES: usize = 400_000;
/// A line of the burst with its line end.
const BURST_LINE: &[u8; 40] = b"M 0123456789abcdef0123456789abcdef0123\r\n";
/// How long the client does not read. Within this time the burst fills all buffers.
const CLIENT_STALL: Duration = Duration::from_millis(800);

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

//! Crossings of a client that goes, or that comes in the instant of a close, forced over loopback. The node is
//! stopped while things happen, so that it meets them in one turn.

mod support;

use rstest::rstest;
use std::net::Shutdown;
use std::time::Duration;
use support::*;

#[derive(Clone, Copy)]
enum Way {
    /// It ends its sending, which the protocol page names as giving up, and still reads.
    Fin,
    Rst,
}

fn leaves(client: Peer, way: Way) -> Option<Peer> {
    match way {
        Way::Fin => {
            client.stream.shutdown(Shutdown::Write).expect("ended");
            Some(client)
        }
        Way::Rst => {
            client.reset();
            None
        }
    }
}

/// What the kernel does with an end of the other side takes no time that a test could wait for by an event.
fn settle() {
    std::thread::sleep(Duration::from_millis(120));
}

/// The whole line and the end are there before the node looks: nothing is begun for who has gone.
#[rstest]
#[case::fin(Way::Fin)]
#[case::rst(Way::Rst)]
fn one_that_left_before_its_line_was_read_is_not_sent_on(#[case] way: Way) {
    let mut bench = Bench::start(2);
    let client = Peer::connect(bench.addr);
    bench.pause();
    let mut client = client;
    client.send(&open_line(1)).send("\r\n");
    let client = leaves(client, way);
    settle();
    bench.resume();
    if let Some(mut client) = client {
        assert_eq!(client.read_line(), "BUSY", "its line is owed an answer as long as it may read one");
    }
    bench.assert_no_attempts();
}

/// The failure that would cause the next attempt and the client's end come in one turn, in either order.
#[rstest]
fn one_that_left_in_the_turn_of_a_failure_is_not_sent_on(
    #[values(Way::Fin, Way::Rst)] way: Way,
    #[values(true, false)] fails_first: bool,
) {
    let mut bench = Bench::start(3);
    let client = bench.connect_client(&open_line(1));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    bench.pause();
    if fails_first {
        attempt.send("BUSY\r\n");
    }
    let _client = leaves(client, way);
    if !fails_first {
        attempt.send("BUSY\r\n");
    }
    settle();
    bench.resume();
    attempt.expect_closed();
    bench.assert_no_attempts();
}

/// It waits for a retry's sleep, with one server that turns it away, and leaves meanwhile.
#[rstest]
fn one_that_left_while_it_waited_for_a_retry_is_not_sent_on(#[values(Way::Fin, Way::Rst)] way: Way) {
    let mut bench = Bench::start(1);
    let client = bench.connect_client(&open_line(1));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("BUSY\r\n");
    attempt.expect_closed();
    let _client = leaves(client, way);
    // Longer than any sleep.
    std::thread::sleep(Duration::from_millis(1_300));
    bench.assert_no_attempts();
}

fn patient(text: &str) -> String {
    text.replace(r#""DialTimeoutNs":250000000"#, r#""DialTimeoutNs":9000000000"#)
        .replace(r#""HardLimitNs":1200000000"#, r#""HardLimitNs":9000000000"#)
}

fn slow(number: u64) -> String {
    open_line(number).replace("d=1200", "d=9000")
}

/// The connection comes up, late, in the turn in which the client leaves: its line must not go out.
#[rstest]
fn one_that_left_as_the_connection_came_up_is_not_sent_on(#[values(Way::Fin, Way::Rst)] way: Way) {
    let mut hesitant = FullBacklogServer::new();
    let server = hesitant.listener.try_clone().expect("a second handle");
    let bench = Bench::with_args(vec![server], None, &["--trace"], patient);
    let mut bench = bench;
    let client = bench.connect_client(&slow(1));
    bench.wait_for_log("trace client came");
    settle();
    bench.pause();
    // The system comes up with the connection by itself, the node asleep.
    let mut attempt = hesitant.accept_next();
    let _client = leaves(client, way);
    settle();
    bench.resume();
    assert_eq!(attempt.read_to_end(), "", "no byte of the line");
}

/// A drain is told in the turn in which the connection comes up: the line must not go out.
#[rstest]
fn a_drain_told_as_the_connection_came_up_stops_the_attempt() {
    let mut hesitant = FullBacklogServer::new();
    let server = hesitant.listener.try_clone().expect("a second handle");
    let mut bench = Bench::with_args(vec![server, listener()], None, &["--trace"], patient);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 1, "gone");
    bench.wait_for_log("trace list kind=Incremental");
    let mut client = bench.connect_client(&slow(1));
    bench.wait_for_log("trace client came");
    settle();
    bench.pause();
    let mut attempt = hesitant.accept_next();
    bench.update_lifecycle(&mut watch, 0, "draining");
    bench.update_lifecycle(&mut watch, 1, "ready");
    settle();
    bench.resume();
    assert_eq!(attempt.read_to_end(), "", "no byte of the line");
    let mut other = Peer::accept(&bench.servers[1]);
    other.read_line();
    other.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
}

/// A connection that rests until the node ends it, and whose request arrives in that instant: before the node has
/// looked it is served, after that its answer is there already.
#[rstest]
fn a_request_in_the_instant_in_which_a_resting_connection_is_ended_is_answered() {
    let mut bench = Bench::start(1);
    let (mut early, mut late) = (Peer::connect(bench.addr), Peer::connect(bench.addr));
    // Both were accepted: a third one's question has been answered.
    let mut third = bench.connect_client("PING");
    assert_eq!(third.read_line(), "PONG");
    bench.pause();
    std::thread::sleep(Duration::from_millis(2_700));
    early.send(&open_line(1)).send("\r\n");
    bench.resume();
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(early.read_line(), "UP r1");
    assert_eq!(late.read_line(), "BUSY");
    late.send(&open_line(2)).send("\r\n");
    late.expect_closed();
    bench.assert_no_attempts();
}

/// Its line comes in pieces, and its end inside one.
#[rstest]
fn one_that_left_inside_its_line_is_no_request(#[values(Way::Fin, Way::Rst)] way: Way) {
    let mut bench = Bench::start(1);
    let mut client = Peer::connect(bench.addr);
    client.send("OPEN 1 1 c=live");
    let _client = leaves(client, way);
    settle();
    bench.assert_no_attempts();
    assert_eq!(bench.counter("requests"), 0);
}

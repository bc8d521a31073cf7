//! Crossings of attempts and of floods, forced over loopback: one live attempt, one final answer, and never a second
//! copy of what may have run.

mod support;

use rstest::rstest;
use std::io::Write;
use support::*;

/// Which of the two classes: on the first may be repeated, the second not.
fn line(class: &str) -> String {
    open_line(1).replace("c=live-readings", &format!("c={class}"))
}

#[rstest]
// Turned away, and then the connection breaks: it never ran.
#[case::busy_then_reset("BUSY\r\n", true, true)]
// Half of an answer, and then the end: it may have run.
#[case::up_broken_off("UP r", false, false)]
#[case::nothing_and_a_reset("", true, false)]
#[case::an_error("ERR\r\n", false, false)]
fn what_may_have_run_is_repeated_only_where_that_is_harmless(
    #[case] answer: &str,
    #[case] by_reset: bool,
    #[case] never_ran: bool,
    #[values("live-readings", "station-notes")] class: &str,
) {
    let mut bench = Bench::start(2);
    let mut client = bench.connect_client(&line(class));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    attempt.send(answer);
    if by_reset {
        attempt.reset();
    } else {
        drop(attempt);
    }
    if never_ran || class == "live-readings" {
        let (_, mut second) = accept_any(&bench.servers);
        second.read_line();
        second.send("UP r2\r\n");
        assert_eq!(client.read_line(), "UP r2");
    } else {
        assert_eq!(client.read_to_end(), "ERR\r\n");
        bench.assert_no_attempts();
    }
}

/// `UP` in pieces, and a second answer behind it: the first is the answer, the second a line like any other.
#[rstest]
fn up_in_pieces_is_one_answer() {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(&line("station-notes"));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    for piece in ["U", "P ", "r1", "\r", "\n"] {
        attempt.send(piece);
    }
    assert_eq!(client.read_line(), "UP r1");
    attempt.send("ERR\r\n");
    assert_eq!(client.read_line(), "ERR");
    let counters = bench.stop();
    assert_eq!(["requests", "served", "failed"].map(|name| counter_value(&counters, name)), [1, 1, 0]);
}

/// An answer that never ends its line is given up when the attempt's time is over, and answered within the deadline.
#[rstest]
fn an_answer_that_never_ends_is_given_up() {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(&line("station-notes"));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1 and so on");
    assert_eq!(client.read_to_end(), "ERR\r\n");
    // What comes after that is nobody's.
    let _ = attempt.stream.write_all(b"\r\n");
    let counters = bench.stop();
    assert_eq!(["requests", "served", "failed"].map(|name| counter_value(&counters, name)), [1, 0, 1]);
}

/// The answer and the attempt's time-out meet in one turn: the answer that is there counts, once.
#[rstest]
fn an_answer_in_the_turn_of_its_time_out_counts() {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(&line("live-readings"));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    bench.pause();
    attempt.send("UP r1\r\n");
    // Past the attempt's time: a third of the deadline.
    std::thread::sleep(std::time::Duration::from_millis(600));
    bench.resume();
    assert_eq!(client.read_line(), "UP r1");
    assert_eq!(counter_value(&bench.stop(), "served"), 1);
}

/// A hundred commands in one write: one answer that is no service, no attempt.
#[rstest]
#[case::requests(|n| format!("{}\r\n", open_line(n)))]
#[case::noise(|n| format!("GET /{n} HTTP/1.1\r\n"))]
fn a_hundred_commands_in_one_write_are_one_bad_client(#[case] command: fn(u64) -> String) {
    let mut bench = Bench::start(1);
    let mut client = Peer::connect(bench.addr);
    let all: String = (0..100).map(command).collect();
    client.send(&all);
    assert_eq!(client.read_to_end(), "ERR\r\n");
    bench.assert_no_attempts();
}

fn few(text: &str) -> String {
    assert!(text.contains(r#""sockets":256"#));
    text.replace(r#""sockets":256"#, r#""sockets":72"#)
}

/// Idle clients up to the limit, discovery away meanwhile: the watch gets its descriptor when discovery is back, a
/// client that asks is served, and the node holds no more than it may.
#[rstest]
fn idle_clients_take_no_descriptor_from_the_watch() {
    let mut bench = Bench::with_args(vec![listener(), listener()], None, &[], few);
    let watch = bench.accept_watch();
    let idle: Vec<Peer> = (0..300).map(|_| Peer::connect(bench.addr)).collect();
    drop(watch);
    bench.wait_for_log("list-lost reason=Ended");
    let open_descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", bench.process.child.id())).expect("listed").count();
    let held = open_descriptors();
    assert!(held <= 72, "{held} descriptors");
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("list-lost reason=Ended");
    let (mut client, _attempt) = established_client(&bench, 1);
    drop(idle);
    client.send("M 1\r\n");
}

//! Stories over loopback for the second address: operators' calls, drain and resume.

mod support;

use rstest::rstest;
use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;
use support::*;

/// A node with an operators' address, and that address.
fn node(servers: usize) -> (Bench, SocketAddr) {
    let servers = (0..servers).map(|_| listener()).collect();
    let mut bench = Bench::with_args(servers, None, &[], |text| {
        text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#)
    });
    let line = bench.wait_for_log("operator");
    let at = line.split("listen=").nth(1).and_then(|at| at.parse().ok());
    (bench, at.expect("an address in the log"))
}

/// The rest of an answer: its status and all of its text, up to the end of the connection.
fn answer(caller: &mut Peer) -> (u16, String) {
    let line = caller.read_line();
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut text = String::new();
    while !caller.read_line().is_empty() {}
    // The head ends with an empty line; what follows is one line and the end.
    text.push_str(&caller.read_line());
    caller.expect_closed();
    (status.unwrap_or_else(|| panic!("no answer: {line:?}")), text)
}

fn call(at: SocketAddr, head: &str) -> (u16, String) {
    answer(Peer::connect(at).send(&format!("{head} HTTP/1.1\r\nHost: node\r\n\r\n")))
}

fn says(bench: &Bench) -> String {
    Peer::connect(bench.addr).send("PING\r\n").read_line()
}

#[rstest]
#[case("GET /-/ready", 200, "ready")]
#[case("GET /-/nothing", 404, "known: GET /-/ready, POST /-/drain, POST /-/resume")]
#[case("GET /-/drain", 405, "this takes POST")]
#[case("POST /-/resume", 200, "serving")]
fn each_call_has_one_answer_however_it_comes(#[case] head: &str, #[case] status: u16, #[case] text: &str) {
    let (bench, at) = node(1);
    assert_eq!(call(at, head), (status, text.to_string()));
    let mut slow = Peer::connect(at);
    for byte in format!("{head} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n").chars() {
        slow.send(&byte.to_string());
    }
    assert_eq!(answer(&mut slow), (status, text.to_string()));
    let counters = bench.stop();
    let counts = ["admin_accepted", "admin_rejected"].map(|name| counter_value(&counters, name));
    assert_eq!(counts, if status == 200 { [2, 0] } else { [0, 2] });
}

/// Callers that say nothing, or half a call, and stay; and a crowd of clients that takes every descriptor.
#[rstest]
fn who_stays_silent_holds_up_no_call() {
    let (mut bench, at) = node(1);
    let _crowd: Vec<Peer> = (0..400).map(|_| Peer::connect(bench.addr)).collect();
    let mut stay: Vec<Peer> = Vec::new();
    for number in 0..50 {
        let mut caller = Peer::connect(at);
        caller.send(if number % 2 == 0 { "" } else { "GET /-/re" });
        stay.push(caller);
        assert_eq!(call(at, "GET /-/ready").0, 200, "after {number}");
    }
    // The longest idle made room; the last ones are told that no call came.
    stay[0].expect_closed();
    let last = stay.last_mut().expect("fifty");
    assert_eq!(answer(last), (408, "no whole call came".to_string()));
    let counters = bench.counters();
    assert_eq!((counters["admin_accepted"], counters["admin_incomplete"] >= 42), (50, true));
}

/// The first client stands; what is still placed during the drain stands, then is moved like the others.
#[rstest]
fn a_drain_sends_away_all_that_stands_and_a_second_call_changes_nothing() {
    let (mut bench, at) = node(1);
    let (mut first, _task) = established_client(&bench, 1);
    assert_eq!(says(&bench), "PONG");
    assert_eq!(call(at, "POST /-/drain"), (200, "draining standing=1".to_string()));
    assert_eq!(says(&bench), "BUSY");
    let (mut second, _other) = established_client(&bench, 2);
    assert_eq!(call(at, "POST /-/drain").0, 200);
    assert_eq!([first.read_line(), second.read_line()], ["MOVE", "MOVE"]);
    first.expect_closed();
    // It goes on: who comes late is served and moved.
    let (mut late, _other) = established_client(&bench, 3);
    assert_eq!(late.read_line(), "MOVE");
    assert_eq!(call(at, "GET /-/ready").0, 200, "this process could serve");
    let counters = bench.counters();
    let counts = ["drains", "resumes", "served", "migrated"].map(|name| counters[name]);
    assert_eq!(counts, [1, 0, 3, 3]);
}

#[rstest]
fn resume_keeps_what_stands_and_takes_clients_at_once() {
    let (mut bench, at) = node(1);
    let (mut client, mut task) = established_client(&bench, 1);
    assert_eq!(call(at, "POST /-/drain").0, 200);
    assert_eq!(call(at, "POST /-/resume"), (200, "serving".to_string()));
    assert_eq!(says(&bench), "PONG");
    // One that stands alone would have been moved by then: the drain's time is over.
    std::thread::sleep(Duration::from_millis(3_700));
    client.send("M 1 x\r\n");
    assert_eq!(task.read_line(), "M 1 x");
    assert_eq!((bench.counter("migrated"), bench.counter("resumes")), (0, 1));
}

#[rstest]
fn a_process_that_leaves_says_so() {
    let (mut bench, at) = node(1);
    let (mut client, _task) = established_client(&bench, 1);
    bench.signal("-TERM");
    bench.wait_for_log("shutting-down");
    assert_eq!(call(at, "POST /-/resume").0, 409);
    assert_eq!(call(at, "GET /-/ready").0, 503);
    assert_eq!(call(at, "POST /-/drain").0, 200);
    assert_eq!(says(&bench), "BUSY");
    assert_eq!(client.read_line(), "MOVE");
    assert!(bench.process.child.wait().expect("it ends").success());
}

/// What a node says that does not start with this operators' address.
fn refused(operator: &str) -> Output {
    let text = config(listener().local_addr().expect("an address"), "", 256)
        .replace(r#""listen":"#, &format!(r#""operator":"{operator}","listen":"#));
    node_command(&["serve"], &temp_file("node.json", &text)).output().expect("it ends")
}

#[rstest]
fn an_address_that_is_none_or_is_taken_is_named() {
    let said = |output: &Output| String::from_utf8_lossy(&output.stderr).into_owned();
    let wrong = refused("elsewhere");
    assert_eq!(wrong.status.code(), Some(2), "{}", said(&wrong));
    assert!(said(&wrong).contains("node.json: field operator: "), "{}", said(&wrong));
    let other = listener();
    let taken = refused(&other.local_addr().expect("an address").to_string());
    assert_eq!(taken.status.code(), Some(1));
    assert!(said(&taken).contains("error operator: 127.0.0.1:"), "{}", said(&taken));
}

#[rstest]
fn a_changed_address_needs_a_restart() {
    let (mut bench, at) = node(1);
    bench.reconfigure(|text| text.replace(r#""operator":"127.0.0.1:0""#, r#""operator":"127.0.0.1:1""#));
    assert_eq!(bench.wait_for_log("reload-needs-restart"), "sparbank reload-needs-restart fields=operator");
    assert_eq!(call(at, "GET /-/ready").0, 200);
}

//! The admin API over loopback: calls, drain and resume.

use rstest::rstest;
use sparbank_test_support::{
    config, counter_value, established_client, listener, log_field, node_command, temp_file, Peer, Signal,
    TestNode,
};
use std::net::SocketAddr;
use std::process::Output;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Starts a node with an admin API. Returns it and the address of the API.
fn start_node(servers: usize) -> (TestNode, SocketAddr) {
    let servers = (0..servers).map(|_| listener()).collect();
    let mut bench = TestNode::start_with_args(PROGRAM, servers, None, &[], |text| {
        text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#)
    });
    let line = bench.wait_for_log("admin API ready");
    let address = log_field(&line, "listen").parse().expect("an address in the log");
    (bench, address)
}

/// Reads a response up to the end of the connection. Returns its status and its text.
fn read_response(caller: &mut Peer) -> (u16, String) {
    let line = caller.read_line();
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    let mut text = String::new();
    while !caller.read_line().is_empty() {}
    // The head ends with an empty line. One line of text and the end of the connection follow.
    text.push_str(&caller.read_line());
    caller.expect_closed();
    (status.unwrap_or_else(|| panic!("no response: {line:?}")), text)
}

fn call(address: SocketAddr, head: &str) -> (u16, String) {
    read_response(Peer::connect(address).send(&format!("{head} HTTP/1.1\r\nHost: node\r\n\r\n")))
}

fn ping(bench: &TestNode) -> String {
    Peer::connect(bench.text_addr).send("PING\r\n").read_line()
}

#[rstest]
#[case("GET /-/ready", 200, "ready")]
#[case("GET /-/nothing", 404, "known: GET /-/ready, POST /-/drain, POST /-/resume")]
#[case("GET /-/drain", 405, "this takes POST")]
#[case("POST /-/resume", 200, "serving")]
fn a_call_gets_one_response_however_it_is_split(#[case] head: &str, #[case] status: u16, #[case] text: &str) {
    let (bench, address) = start_node(1);
    assert_eq!(call(address, head), (status, text.to_string()));
    let mut slow = Peer::connect(address);
    for byte in format!("{head} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n").chars() {
        slow.send(&byte.to_string());
    }
    assert_eq!(read_response(&mut slow), (status, text.to_string()));
    let counters = bench.stop();
    let counts = ["admin_accepted", "admin_rejected"].map(|name| counter_value(&counters, name));
    assert_eq!(counts, if status == 200 { [2, 0] } else { [0, 2] });
}

/// Some callers send nothing or half a call and stay connected, and clients use up all descriptors.
#[rstest]
fn silent_callers_and_many_clients_delay_no_call() {
    let (mut bench, address) = start_node(1);
    let _clients: Vec<Peer> = (0..400).map(|_| Peer::connect(bench.text_addr)).collect();
    let mut silent: Vec<Peer> = Vec::new();
    for number in 0..50 {
        let mut caller = Peer::connect(address);
        caller.send(if number % 2 == 0 { "" } else { "GET /-/re" });
        silent.push(caller);
        assert_eq!(call(address, "GET /-/ready").0, 200, "after silent caller {number}");
    }
    // The caller that was idle the longest was evicted, and the last ones time out.
    silent[0].expect_closed();
    let last = silent.last_mut().expect("fifty callers");
    assert_eq!(read_response(last), (408, "no whole call came".to_string()));
    let counters = bench.counters();
    assert_eq!((counters["admin_accepted"], counters["admin_incomplete"] >= 42), (50, true));
}

/// Clients whose connections are established before or during the drain are migrated.
#[rstest]
fn a_drain_migrates_all_clients_and_a_second_call_changes_nothing() {
    let (mut bench, address) = start_node(1);
    let (mut first, _task) = established_client(&bench, 1);
    assert_eq!(ping(&bench), "PONG");
    assert_eq!(call(address, "POST /-/drain"), (200, "draining standing=1".to_string()));
    assert_eq!(ping(&bench), "BUSY");
    let (mut second, _other) = established_client(&bench, 2);
    assert_eq!(call(address, "POST /-/drain").0, 200);
    assert_eq!([first.read_line(), second.read_line()], ["MOVE", "MOVE"]);
    first.expect_closed();
    // The drain continues: a late client is served and migrated.
    let (mut late, _other) = established_client(&bench, 3);
    assert_eq!(late.read_line(), "MOVE");
    assert_eq!(call(address, "GET /-/ready").0, 200, "a draining process still counts as ready");
    let counters = bench.counters();
    let counts = ["drains", "resumes", "served", "migrated"].map(|name| counters[name]);
    assert_eq!(counts, [1, 0, 3, 3]);
}

#[rstest]
fn resume_keeps_established_clients_and_accepts_new_ones() {
    let (mut bench, address) = start_node(1);
    let (mut client, mut task) = established_client(&bench, 1);
    assert_eq!(call(address, "POST /-/drain").0, 200);
    assert_eq!(call(address, "POST /-/resume"), (200, "serving".to_string()));
    assert_eq!(ping(&bench), "PONG");
    // Within this time the drain would have migrated the only client.
    std::thread::sleep(Duration::from_millis(3_700));
    client.send("M 1 x\r\n");
    assert_eq!(task.read_line(), "M 1 x");
    assert_eq!((bench.counter("migrated"), bench.counter("resumes")), (0, 1));
}

#[rstest]
fn calls_during_shutdown_report_it() {
    let (mut bench, address) = start_node(1);
    let (mut client, _task) = established_client(&bench, 1);
    bench.signal(Signal::TERM);
    bench.wait_for_log("shutting down");
    assert_eq!(call(address, "POST /-/resume").0, 409);
    assert_eq!(call(address, "GET /-/ready").0, 503);
    assert_eq!(call(address, "POST /-/drain").0, 200);
    assert_eq!(ping(&bench), "BUSY");
    assert_eq!(client.read_line(), "MOVE");
    assert!(bench.process.wait().success());
}

/// The output of a node that fails to start with this address of the admin API.
fn start_with_address(address: &str) -> Output {
    let text = config(listener().local_addr().expect("an address"), "", 256)
        .replace(r#""listen":"#, &format!(r#""operator":"{address}","listen":"#));
    node_command(PROGRAM, &["serve"], &temp_file("node.json", &text)).output().expect("it exits")
}

#[rstest]
fn an_invalid_or_used_address_is_named_in_the_error() {
    let error = |output: &Output| String::from_utf8_lossy(&output.stderr).into_owned();
    let invalid = start_with_address("elsewhere");
    assert_eq!(invalid.status.code(), Some(2), "{}", error(&invalid));
    assert!(error(&invalid).contains("node.json: field operator: "), "{}", error(&invalid));
    let occupied = listener();
    let used = start_with_address(&occupied.local_addr().expect("an address").to_string());
    assert_eq!(used.status.code(), Some(1));
    assert!(error(&used).contains("ERROR operator: 127.0.0.1:"), "{}", error(&used));
}

#[rstest]
fn a_changed_address_needs_a_restart() {
    let (mut bench, address) = start_node(1);
    bench.reconfigure(|text| text.replace(r#""operator":"127.0.0.1:0""#, r#""operator":"127.0.0.1:1""#));
    assert_eq!(
        bench.wait_for_log("changed fields need a restart"),
        " WARN changed fields need a restart fields=operator"
    );
    assert_eq!(call(address, "GET /-/ready").0, 200);
}

//! The text protocol over loopback: one test for each failure that occurred or is guarded against.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, counter_value, counter_values, establish, established_client, is_log_of, listener,
    refusing_port, request_line, try_accept, FullBacklogServer, Peer, Signal, TestNode,
};
use std::net::TcpListener;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const OPEN: &str = "OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f";

/// Accepts an attempt at whichever server it reaches. Returns the server's index and the connection.
fn accept_attempt(bench: &TestNode) -> (usize, Peer) {
    accept_any(&bench.servers)
}

/// A server with a full backlog: connections to it are never established.
fn full_backlog() -> TcpListener {
    FullBacklogServer::start().into_listener()
}

#[rstest]
fn lines_are_forwarded_unchanged_and_the_end_is_propagated() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(OPEN);
    let (_, mut attempt) = accept_attempt(&bench);
    let request_line = attempt.read_line();
    let (before, rest) = request_line.split_once("d=").expect("d is forwarded");
    let (deadline, after) = rest.split_once(',').expect("a field after d");
    assert_eq!((before, after), ("OPEN 9b1f 7f3a c=live-readings,t=acme,", "g=5c0f"));
    assert!(deadline.parse::<u32>().expect("a number") < 1200, "d is the time that is left");
    // Data that arrives in the same read as UP is forwarded too.
    attempt.send("UP r1\r\nLOAD 12.5\r\nhel").send("lo\r\n");
    assert_eq!([client.read_line(), client.read_line(), client.read_line()], ["UP r1", "LOAD 12.5", "hello"]);
    client.send("M 1 x\r\n");
    assert_eq!(attempt.read_line(), "M 1 x");
    attempt.send("BYE\r\n");
    drop(attempt);
    assert_eq!(client.read_line(), "BYE");
    client.expect_closed();
    assert_eq!(counter_values(&bench.stop(), ["requests", "served", "ended"]), [1, 1, 1]);
}

/// A `LOAD` line reports a load even where the settings say that latencies are reported too, at any time and with any
/// value: servers send it whenever the load changes, so neither an interval nor a ratio can mark it as a latency.
#[rstest]
fn every_load_line_is_a_load() {
    let with_latencies =
        |text: &str| text.replace(r#""FamilyInfo":{"#, r#""FamilyInfo":{"TellsDelay":true,"#);
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener()], None, &["--trace"], with_latencies);
    let mut client = bench.connect_client(OPEN);
    let (_, mut attempt) = accept_attempt(&bench);
    attempt.read_line();
    attempt.send("UP r1\r\nLOAD 2727\r\n");
    assert!(bench.wait_for_log("load report").ends_with(" load_us_per_s=2727"));
    // One second later, with a value closer to the class's latency objective in milliseconds than to the previous
    // load.
    std::thread::sleep(Duration::from_millis(1_000));
    attempt.send("LOAD 90\r\n");
    assert!(bench.wait_for_log("load report").ends_with(" load_us_per_s=90"));
    assert_eq!(
        [client.read_line(), client.read_line(), client.read_line()],
        ["UP r1", "LOAD 2727", "LOAD 90"]
    );
}

/// Regression: in the protocol of the second deployment `BYE`, `ERR` and `BUSY` may end with a load report. A `BYE`
/// with one was taken for a malformed line, and the connection that it ended counted as reset.
#[rstest]
#[case::report("BYE inflight=7,queue=2,util=0.61\r\n")]
#[case::malformed_report("BYE inflight\r\n")]
fn a_bye_with_a_load_report_ends_the_connection_without_failure(#[case] bye: &str) {
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener()], None, &["--trace"], str::to_string);
    let mut client = bench.connect_client(OPEN);
    let (_, mut attempt) = accept_attempt(&bench);
    establish(&mut client, &mut attempt);
    attempt.send(bye);
    drop(attempt);
    assert_eq!(client.read_line(), bye.trim_end());
    client.expect_closed();
    let attempt_messages = ["attempt established", "attempt ended"];
    assert!(is_log_of(&bench.process.wait_for_any_log(&attempt_messages), "attempt established"));
    let ended = bench.process.wait_for_any_log(&attempt_messages);
    assert!(is_log_of(&ended, "attempt ended") && ended.contains(" outcome=Ok"), "{ended}");
}

#[rstest]
fn the_client_of_a_server_that_stops_answering_is_migrated() {
    let bench = TestNode::start(PROGRAM, 1);
    let (mut client, mut server) = established_client(&bench, 0x9b1f);
    client.send("M 1 x\r\n");
    assert_eq!([server.read_line(), client.read_line()], ["M 1 x", "MOVE"]);
    client.expect_closed();
    server.expect_closed();
}

#[rstest]
#[case::reset_before_an_answer("")]
#[case::error("ERR\r\n")]
#[case::full("BUSY\r\n")]
#[case::garbage("\u{1}what\r\n")]
fn a_failed_attempt_is_retried_at_another_server(#[case] answer: &str) {
    let bench = TestNode::start(PROGRAM, 2);
    let mut client = bench.connect_client(OPEN);
    let (first, mut failing) = accept_attempt(&bench);
    failing.read_line();
    failing.send(answer);
    drop(failing);
    let (second, mut attempt) = accept_attempt(&bench);
    assert_ne!(first, second);
    attempt.read_line();
    attempt.send("UP r2\r\n");
    assert_eq!(client.read_line(), "UP r2");
}

#[rstest]
#[case::refused(refusing_port())]
#[case::never_established(full_backlog())]
fn an_attempt_at_an_unreachable_server_never_ran(#[case] unreachable: TcpListener) {
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![unreachable, listener()], None);
    for key in 0..6 {
        let mut client = bench.connect_client(&request_line(key));
        let mut attempt = Peer::accept(&bench.servers[1]);
        establish(&mut client, &mut attempt);
    }
    assert!(bench.counter("attempt_connect_failed") > 0);
    assert_eq!(counter_values(&bench.stop(), ["served", "attempt_reset"]), [6, 0]);
}

#[rstest]
fn if_all_servers_reject_the_answer_is_busy_with_retry_after_at_once() {
    let bench = TestNode::start(PROGRAM, 3);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=60000"));
    for _ in 0..3 {
        let (_, mut attempt) = accept_attempt(&bench);
        attempt.read_line();
        attempt.send("BUSY\r\n");
    }
    // The deadline is 60 s away, later than the time-out of this read.
    let answer = client.read_line();
    assert!(answer.strip_prefix("BUSY ").is_some_and(|ms| ms.parse::<u32>().is_ok()), "{answer}");
    client.expect_closed();
}

#[rstest]
fn a_client_whose_server_never_answers_is_rejected_in_time() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=400"));
    let (_, mut hung) = accept_attempt(&bench);
    hung.read_line();
    assert!(client.read_line().starts_with("BUSY"));
    client.expect_closed();
    let counters = bench.stop();
    assert!(counter_value(&counters, "attempt_timeout") >= 1);
    assert_eq!(counter_values(&counters, ["requests", "rejected"]), [1, 1]);
}

#[rstest]
#[case::unknown_class("OPEN 1 2 c=nothing,t=a,d=100")]
#[case::no_class("OPEN 1 2 t=a,d=100")]
#[case::a_deadline_that_is_no_number("OPEN 1 2 c=live-readings,d=soon")]
#[case::no_fields("OPEN 1 2")]
#[case::no_id("OPEN  2 c=live-readings,d=100")]
#[case::a_negative_deadline("OPEN 1 2 c=live-readings,d=-5")]
#[case::a_signed_deadline("OPEN 1 2 c=live-readings,d=+5")]
#[case::the_largest_deadline_of_32_bits("OPEN 1 2 c=live-readings,d=4294967295")]
#[case::a_deadline_beyond_64_bits("OPEN 1 2 c=live-readings,d=99999999999999999999999")]
#[case::two_deadlines("OPEN 1 2 c=live-readings,d=100,d=100")]
#[case::an_invalid_load("OPEN 1 2 c=live-readings,d=100,h=-1")]
#[case::control_bytes("OPEN 1 2 c=live-readings,t=a\u{7},d=100")]
#[case::a_name_without_a_value("OPEN 1 2 c=live-readings,d=100,g")]
#[case::another_verb("GET / HTTP/1.1")]
#[case::too_long(&"x".repeat(5000))]
#[case::not_text("\u{0}\u{1}")]
fn a_malformed_line_gets_one_failed_answer(#[case] line: &str) {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(line);
    assert_eq!(client.read_line(), "ERR");
    client.expect_closed();
    assert_eq!(counter_values(&bench.stop(), ["malformed", "requests"]), [1, 0]);
}

#[rstest]
fn a_request_with_the_id_of_an_open_request_is_rejected_and_the_open_one_continues() {
    let bench = TestNode::start(PROGRAM, 2);
    let (mut client, mut server) = established_client(&bench, 0x9b1f);
    assert_eq!(bench.connect_client(OPEN).read_line(), "ERR");
    client.send("M 1 x\r\n");
    assert_eq!(server.read_line(), "M 1 x");
    drop(client);
    server.expect_closed();
    drop(server);
    // After the request has ended, its id can be used again.
    let _established = established_client(&bench, 0x9b1f);
    assert_eq!(counter_values(&bench.stop(), ["malformed", "requests"]), [1, 2]);
}

#[rstest]
#[case::at_once("M 1 x\r\n", "")]
#[case::later("", "OPEN 8 9 c=live-readings,d=100\r\n")]
fn a_second_line_before_up_is_an_error(#[case] with_request: &str, #[case] after_request: &str) {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = Peer::connect(bench.text_addr);
    client.send(&format!("{OPEN}\r\n{with_request}"));
    if !after_request.is_empty() {
        let (_, mut attempt) = accept_attempt(&bench);
        attempt.read_line();
        client.send(after_request);
        attempt.expect_closed();
    }
    assert_eq!(client.read_line(), "ERR");
    client.expect_closed();
    assert_eq!(counter_value(&bench.stop(), "established"), 0);
}

#[rstest]
fn a_resumed_client_reaches_its_server_and_does_not_count_as_placed() {
    let mut bench = TestNode::start(PROGRAM, 3);
    let mut client = bench.connect_client("PING");
    assert_eq!(client.read_line(), "PONG");
    client.send(&format!("{OPEN},at=s-2\r\n"));
    let mut server = Peer::accept(&bench.servers[2]);
    assert!(server.read_line().ends_with(",at=s-2"));
    server.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    assert_eq!([bench.counter("resumed"), bench.counter("sent")], [1, 0]);
    drop(client);
    server.expect_closed();
}

#[rstest]
fn a_draining_server_gets_no_attempts_and_an_ended_watch_is_reopened() {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    // The watch ends after the change: once its loss is logged, the change has been handled.
    watch.send("0\r\n\r\n");
    bench.wait_for_log("endpoint watch lost");
    for key in 0..4 {
        let mut client = bench.connect_client(&request_line(key));
        let mut attempt = Peer::accept(&bench.servers[1]);
        establish(&mut client, &mut attempt);
    }
    bench.accept_watch();
}

#[rstest]
fn a_connection_attempt_to_a_server_that_begins_to_drain_is_cancelled() {
    // The connect time-out is a minute, so only the drain can end the attempt.
    let long_connect_timeout =
        |text: &str| text.replace(r#""DialTimeoutNs":250000000"#, r#""DialTimeoutNs":60000000000"#);
    let mut bench =
        TestNode::start_with_args(PROGRAM, vec![full_backlog(), listener()], None, &[], long_connect_timeout);
    let mut watch = bench.accept_watch();
    // Connects clients until the first server is selected; the second one accepts those before.
    let mut key = 0;
    let mut client = loop {
        let mut client = bench.connect_client(&request_line(key).replace("1200", "60000"));
        while bench.counter("sent") == key {}
        let Some(mut attempt) = try_accept(&bench.servers[1]) else { break client };
        establish(&mut client, &mut attempt);
        key += 1;
    };
    bench.update_lifecycle(&mut watch, 0, "draining");
    let mut attempt = Peer::accept(&bench.servers[1]);
    establish(&mut client, &mut attempt);
    assert_eq!(bench.counter("attempt_connect_failed"), 1);
}

#[rstest]
#[case::not_http("what\r\n\r\n")]
#[case::not_json("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{]\n\r\n")]
#[case::unavailable("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")]
fn an_invalid_response_from_discovery_is_a_failed_poll(#[case] answer: &str) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut poll = Peer::accept(&bench.discovery);
    poll.send(answer);
    bench.wait_for_log("endpoint watch lost");
    let _established = established_client(&bench, 0x9b1f);
    let _watch = bench.accept_watch();
    assert_eq!(bench.counter("discovery_failures"), 1);
}

#[rstest]
fn sigterm_answers_late_requests_and_migrates_established_clients() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let (mut first, _first_server) = established_client(&bench, 0x9b1f);
    bench.signal(Signal::TERM);
    bench.wait_for_log("shutting down");
    let mut second = bench.connect_client(&request_line(2));
    let (_, mut attempt) = accept_attempt(&bench);
    attempt.read_line();
    attempt.send("UP r2\r\n");
    assert_eq!(second.read_line(), "UP r2");
    assert_eq!([first.read_line(), second.read_line()], ["MOVE", "MOVE"]);
    let counters = bench.wait_for_log("counters");
    assert_eq!(counter_values(&counters, ["served", "migrated"]), [2, 2]);
    bench.process.expect_success();
}

/// SIGKILL follows 0.7 s after the longest deadline. A request that no server answers gets its final answer before
/// it.
#[rstest]
fn sigterm_leaves_no_request_without_an_answer() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=60000"));
    let (_, mut hung) = accept_attempt(&bench);
    hung.read_line();
    bench.signal(Signal::TERM);
    assert_eq!(client.read_line(), "ERR");
    hung.expect_closed();
    client.expect_closed();
    assert_eq!(counter_value(&bench.wait_for_log("counters"), "failed"), 1);
    bench.process.expect_success();
}

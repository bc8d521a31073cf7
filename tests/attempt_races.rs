//! Races between attempts and other events, and floods of commands, forced over loopback: a request has one attempt
//! in flight and one final answer, and a request that may have run is not sent again unless it is idempotent.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, counter_value, counter_values, established_client, listener, request_line, Peer, TestNode,
};
use std::io::Write;
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// The class of idempotent requests.
const IDEMPOTENT: &str = "live-readings";
/// The class of non-idempotent requests.
const NON_IDEMPOTENT: &str = "station-notes";
/// The limit on the node's sockets in the test of that limit.
const SOCKET_LIMIT: usize = 72;

fn request_line_of_class(class: &str) -> String {
    request_line(1).replace("c=live-readings", &format!("c={class}"))
}

#[rstest]
// The server rejects the request and then resets the connection: the request never ran.
#[case::busy_then_reset("BUSY\r\n", true, true)]
// The connection ends within the answer: the request may have run.
#[case::truncated_up("UP r", false, false)]
#[case::reset_without_an_answer("", true, false)]
#[case::an_error("ERR\r\n", false, false)]
fn an_attempt_that_may_have_run_is_retried_only_if_idempotent(
    #[case] answer: &str,
    #[case] by_reset: bool,
    #[case] never_ran: bool,
    #[values(IDEMPOTENT, NON_IDEMPOTENT)] class: &str,
) {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut client = bench.connect_client(&request_line_of_class(class));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    attempt.send(answer);
    if by_reset {
        attempt.reset();
    } else {
        drop(attempt);
    }
    if never_ran || class == IDEMPOTENT {
        let (_, mut second) = accept_any(&bench.servers);
        second.read_line();
        second.send("UP r2\r\n");
        assert_eq!(client.read_line(), "UP r2");
    } else {
        assert_eq!(client.read_to_end(), "ERR\r\n");
        bench.assert_no_attempts();
    }
}

/// `UP` arrives in pieces and a second answer follows. The first one is the answer, and the second one is forwarded
/// like any line.
#[rstest]
fn an_up_in_pieces_is_one_answer() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(&request_line_of_class(NON_IDEMPOTENT));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    for piece in ["U", "P ", "r1", "\r", "\n"] {
        attempt.send(piece);
    }
    assert_eq!(client.read_line(), "UP r1");
    attempt.send("ERR\r\n");
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(counter_values(&bench.stop(), ["requests", "served", "failed"]), [1, 1, 0]);
}

/// An attempt whose answer has no line end times out, and the client gets its final answer within its deadline.
#[rstest]
fn an_attempt_whose_answer_has_no_end_times_out() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(&request_line_of_class(NON_IDEMPOTENT));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1 and so on");
    assert_eq!(client.read_to_end(), "ERR\r\n");
    // Data that the server sends now reaches no client. The write may fail, if the connection is closed already.
    let _ = attempt.stream.write_all(b"\r\n");
    assert_eq!(counter_values(&bench.stop(), ["requests", "served", "failed"]), [1, 0, 1]);
}

/// The answer arrives and the attempt times out in the same iteration of the event loop: the answer counts, once.
#[rstest]
fn an_answer_in_the_iteration_of_the_attempt_timeout_counts() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = bench.connect_client(&request_line_of_class(IDEMPOTENT));
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    bench.pause();
    attempt.send("UP r1\r\n");
    // Past the attempt's time-out, which is a third of the deadline.
    std::thread::sleep(Duration::from_millis(600));
    bench.resume();
    assert_eq!(client.read_line(), "UP r1");
    assert_eq!(counter_value(&bench.stop(), "served"), 1);
}

/// A client sends a hundred commands in one write: it gets one failed answer, and no attempt starts.
#[rstest]
#[case::requests(|number| format!("{}\r\n", request_line(number)))]
#[case::unknown_commands(|number| format!("GET /{number} HTTP/1.1\r\n"))]
fn a_hundred_commands_in_one_write_get_one_failed_answer(#[case] command: fn(u64) -> String) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut client = Peer::connect(bench.text_addr);
    let commands: String = (0..100).map(command).collect();
    client.send(&commands);
    assert_eq!(client.read_to_end(), "ERR\r\n");
    bench.assert_no_attempts();
}

fn with_socket_limit(text: &str) -> String {
    assert!(text.contains(r#""sockets":256"#));
    text.replace(r#""sockets":256"#, &format!(r#""sockets":{SOCKET_LIMIT}"#))
}

/// Idle clients use up the node's sockets while discovery is unavailable. The watch still gets a descriptor when
/// discovery is available again, a client with a request is served, and the node never exceeds its limit.
#[rstest]
fn idle_clients_do_not_take_the_watch_descriptor() {
    let mut bench =
        TestNode::start_with_args(PROGRAM, vec![listener(), listener()], None, &[], with_socket_limit);
    let watch = bench.accept_watch();
    let idle: Vec<Peer> = (0..300).map(|_| Peer::connect(bench.text_addr)).collect();
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    let open_descriptors =
        || std::fs::read_dir(format!("/proc/{}/fd", bench.process.id())).expect("a readable folder").count();
    let descriptors = open_descriptors();
    assert!(descriptors <= SOCKET_LIMIT, "{descriptors} open descriptors");
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    let (mut client, _attempt) = established_client(&bench, 1);
    drop(idle);
    client.send("M 1\r\n");
}

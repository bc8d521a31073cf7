//! The text frontend under overload: idle clients, lines without an end, and a shortage of descriptors.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, counter_value, counter_values, establish, established_client, listener, request_line, Peer,
    TestNode,
};
use std::io::Write;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// The hard limit on the node's descriptors.
const MAX_DESCRIPTORS: u64 = 1024;
/// A client without a complete line is answered and closed within this time.
const IDLE_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// How long the process gets no descriptors: long enough for many attempts and polls.
const DESCRIPTOR_SHORTAGE: Duration = Duration::from_millis(2_000);

/// Changes the number of descriptors that the system allows the node.
fn limit_descriptors(bench: &TestNode, descriptors: u64) {
    bench.process.limit_descriptors(descriptors, MAX_DESCRIPTORS);
}

/// A request that needs sockets evicts idle clients, the oldest first.
#[rstest]
fn idle_clients_are_evicted_for_a_request() {
    let bench = TestNode::start(PROGRAM, 1);
    // The node may hold 256 sockets, of which it reserves some for established connections.
    let mut idle: Vec<Peer> = (0..400).map(|_| Peer::connect(bench.text_addr)).collect();
    let _established = established_client(&bench, 0x9b1f);
    assert_eq!(
        idle[0].read_line(),
        "BUSY",
        "an evicted client gets an answer, since its request may be in transit"
    );
    idle[0].expect_closed();
    let counters = bench.stop();
    assert_eq!(counter_values(&counters, ["capacity_rejected", "served"]), [0, 1]);
    assert!(counter_value(&counters, "idle_closed") > 100);
}

/// A client without a request line is answered and closed within 3 s of connecting, however slowly bytes arrive. A
/// request that arrives at the moment of the close has been answered already.
#[rstest]
#[case::nothing("", &["BUSY"])]
#[case::half_a_line("OPEN 1 2 c=live-re", &["BUSY"])]
#[case::only_pings("PING\r\n", &["PONG", "BUSY"])]
#[case::half_a_line_after_a_ping("PING\r\nOPEN 1 2 c=live-re", &["PONG", "BUSY"])]
fn a_client_without_a_request_line_is_closed(#[case] sent: &str, #[case] answers: &[&str]) {
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = Peer::connect(bench.text_addr);
    client.send(sent);
    let sent_at = Instant::now();
    for answer in answers {
        assert_eq!(client.read_line(), *answer);
    }
    client.expect_closed();
    assert!(sent_at.elapsed() < IDLE_CLOSE_TIMEOUT);
    assert_eq!(counter_value(&bench.stop(), "idle_closed"), 1);
}

/// A client sends megabytes without a line end: it gets the answer before the reset that stops it.
#[rstest]
fn a_line_without_an_end_is_answered_while_it_is_sent() {
    const CHUNKS: usize = 960;
    let bench = TestNode::start(PROGRAM, 1);
    let mut client = Peer::connect(bench.text_addr);
    let mut sender = client.stream.try_clone().expect("a second handle");
    let sending = std::thread::spawn(move || {
        let chunk = [b'x'; 64 * 1024];
        // The node reads a bounded number of bytes, then resets the connection.
        (0..CHUNKS).take_while(|_| sender.write_all(&chunk).is_ok()).count()
    });
    assert_eq!(client.read_line(), "ERR");
    assert!(sending.join().expect("the sender stops") < CHUNKS);
}

#[rstest]
fn idle_clients_are_evicted_if_the_system_allows_fewer_descriptors_than_configured() {
    let bench = TestNode::start(PROGRAM, 1);
    limit_descriptors(&bench, 32);
    let _idle: Vec<Peer> = (0..60).map(|_| Peer::connect(bench.text_addr)).collect();
    established_client(&bench, 0x9b1f);
    assert!(counter_value(&bench.stop(), "idle_closed") > 30);
}

#[rstest]
fn accepting_pauses_while_no_descriptor_is_available_and_resumes() {
    let mut bench = TestNode::start(PROGRAM, 1);
    limit_descriptors(&bench, 4);
    let mut client = bench.connect_client(&request_line(0x9b1f));
    bench.wait_for_log("accepting paused, no descriptor available");
    limit_descriptors(&bench, 64);
    let (_, mut attempt) = accept_any(&bench.servers);
    establish(&mut client, &mut attempt);
}

/// Without a free descriptor the process can open no connection to a server. This is no failure of the server: the
/// request waits, uses none of its attempts, and is served once descriptors are available.
#[test]
fn a_shortage_of_descriptors_is_no_failure_of_the_server() {
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener()], None, &["--trace"], |text| {
        text.replace(r#""HardLimitNs":1200000000"#, r#""HardLimitNs":9000000000"#)
    });
    let mut client = bench.connect_client("PING");
    assert_eq!(client.read_line(), "PONG");
    limit_descriptors(&bench, 4);
    client.send(&request_line(0x9b1f).replace("d=1200", "d=9000")).send("\r\n");
    bench.wait_for_log("client arrived");
    std::thread::sleep(DESCRIPTOR_SHORTAGE);
    limit_descriptors(&bench, 64);
    let (_, mut attempt) = accept_any(&bench.servers);
    establish(&mut client, &mut attempt);
}

/// Without a free descriptor the watch cannot be reopened. Discovery has not failed, so no backoff follows.
#[test]
fn a_shortage_of_descriptors_is_no_failure_of_discovery() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let watch = bench.accept_watch();
    assert_eq!(bench.counter("discovery_failures"), 0);
    limit_descriptors(&bench, 4);
    drop(watch);
    bench.wait_for_log("endpoint watch lost");
    std::thread::sleep(DESCRIPTOR_SHORTAGE);
    assert_eq!(bench.counter("discovery_failures"), 1, "only the lost watch counts");
    limit_descriptors(&bench, 64);
    bench.accept_watch();
}

/// A client that is evicted for its descriptor is answered first, since its request may be in transit.
#[test]
fn an_evicted_client_is_answered() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut half_a_line = Peer::connect(bench.text_addr);
    half_a_line.send("OPEN 9b1f 7f3a c=li");
    let mut idle = Peer::connect(bench.text_addr);
    assert_eq!(bench.connect_client("PING").read_line(), "PONG");
    limit_descriptors(&bench, 4);
    let _later: Vec<Peer> = (0..4).map(|_| Peer::connect(bench.text_addr)).collect();
    assert_eq!([half_a_line.read_line(), idle.read_line()], ["BUSY", "BUSY"]);
}

/// As above, for a client whose connection was checked by `PING` before its request.
#[test]
fn an_evicted_client_is_answered_after_a_ping() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut checked = bench.connect_client("PING");
    assert_eq!(checked.read_line(), "PONG");
    limit_descriptors(&bench, 4);
    let _later: Vec<Peer> = (0..4).map(|_| Peer::connect(bench.text_addr)).collect();
    assert_eq!(checked.read_line(), "BUSY");
}

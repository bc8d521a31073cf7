//! The wall clock of a running node steps forward or back. Durations are not affected, and the age of servers that
//! start afterwards is known correctly. A preloaded library steps the clock of the node only.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, endpoint_entry, established_client, listener, preload_library, request_line, temp_file,
    HandoverFolder, HandoverNode, Peer, Signal, TestNode,
};
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const HOUR: i64 = 3_600;
/// The number of requests that arrive at once, each of which has one first attempt.
const BURST: usize = 40;
/// The largest number of first attempts of a burst at a server that has just started.
const MAX_AT_WARMING_UP_SERVER: usize = 6;
/// The smallest number of first attempts of a burst at one of two servers whose slow start is over.
const MIN_AT_WARM_SERVER: usize = 8;
/// A watch that was recently active is reopened only after it has delivered no data for at least this long.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// The node reads the wall clock at least this often.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The wall clock of one node.
struct WallClock {
    library: PathBuf,
    offset_file: PathBuf,
}

impl WallClock {
    fn new() -> WallClock {
        let library = preload_library(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/clock_step.c"));
        WallClock { library, offset_file: temp_file("clock_offset", "0") }
    }

    fn step(&self, seconds: i64) {
        std::fs::write(&self.offset_file, seconds.to_string()).expect("a writable file");
        std::thread::sleep(CLOCK_CHECK_INTERVAL);
    }

    /// The Unix time in milliseconds on a clock that differs from the real one by `seconds`.
    fn now_ms(seconds: i64) -> i64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        now.as_millis() as i64 + seconds * 1_000
    }

    /// The environment variables that make a process use this clock.
    fn env(&self) -> [(&str, &str); 2] {
        let library = self.library.to_str().expect("a path");
        let offset_file = self.offset_file.to_str().expect("a path");
        [("LD_PRELOAD", library), ("CLOCK_OFFSET_FILE", offset_file)]
    }

    fn start_node(&self, servers: usize, edit: fn(&str) -> String) -> TestNode {
        let env = self.env();
        TestNode::start_with_env(
            PROGRAM,
            (0..servers).map(|_| listener()).collect(),
            None,
            &["--trace"],
            edit,
            &env,
        )
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.library);
        let _ = std::fs::remove_file(&self.offset_file);
    }
}

/// Notifies the node that a server has started now, by a wall clock that differs from the real one by `seconds`.
fn announce_start(bench: &mut TestNode, watch: &mut Peer, server: usize, seconds: i64) {
    let address = bench.servers[server].local_addr().expect("an address");
    let started = format!(r#""startedAtMs":{}"#, WallClock::now_ms(seconds));
    let entry = endpoint_entry(server, address, "ready").replace(r#""startedAtMs":0"#, &started);
    bench.send_endpoint(watch, &entry);
    bench.wait_for_log("endpoint list received kind=Incremental");
}

/// Sends a burst of requests. Returns how many of their first attempts reached this server.
fn burst_attempts_at(bench: &TestNode, server: usize) -> usize {
    let _clients: Vec<Peer> =
        (0..BURST).map(|number| bench.connect_client(&request_line(number as u64))).collect();
    let mut attempts = Vec::new();
    let mut count = 0;
    for _ in 0..BURST {
        let (index, attempt) = accept_any(&bench.servers);
        count += usize::from(index == server);
        attempts.push(attempt);
    }
    count
}

/// A server that starts after a step is warming up, whatever the size of the step.
#[rstest]
fn a_server_that_starts_after_a_step_is_in_slow_start(#[values(-HOUR, HOUR, -5, 5)] step: i64) {
    let clock = WallClock::new();
    let mut bench = clock.start_node(2, str::to_string);
    let mut watch = bench.accept_watch();
    clock.step(step);
    announce_start(&mut bench, &mut watch, 1, step);
    let count = burst_attempts_at(&bench, 1);
    assert!(count <= MAX_AT_WARMING_UP_SERVER, "{count} of {BURST} at a server that has just started");
}

/// The slow start of a server ends after its configured duration, not when the real clock has caught up.
#[test]
fn a_slow_start_lasts_no_longer_after_a_step_forward() {
    let clock = WallClock::new();
    let mut bench =
        clock.start_node(2, |text| text.replace(r#""ColdNs":23000000000"#, r#""ColdNs":500000000"#));
    let mut watch = bench.accept_watch();
    clock.step(HOUR);
    announce_start(&mut bench, &mut watch, 1, HOUR);
    std::thread::sleep(Duration::from_secs(1));
    let count = burst_attempts_at(&bench, 1);
    assert!(count >= MIN_AT_WARM_SERVER, "{count} of {BURST} at a server whose slow start is over");
}

/// An established connection and the watch continue after a step.
#[rstest]
fn a_session_and_the_watch_continue_after_a_step(#[values(-HOUR, HOUR)] step: i64) {
    let clock = WallClock::new();
    let mut bench = clock.start_node(1, str::to_string);
    let _watch = bench.accept_watch();
    let (mut client, mut attempt) = established_client(&bench, 1);
    clock.step(step);
    client.send("M 1\r\n");
    assert_eq!(attempt.read_line(), "M 1");
    attempt.send("M 2\r\n");
    assert_eq!(client.read_line(), "M 2");
    // The watch delivers no data after the step and is reopened.
    bench.accept_watch();
    drop((client, attempt));
    bench.stop();
}

/// A watch that a successor has received delivers no data after a step. It is reopened in time, since the successor
/// continues with its predecessor's clock.
#[rstest]
fn a_transferred_watch_that_is_silent_after_a_step_is_reopened(#[values(-HOUR, HOUR)] step: i64) {
    let clock = WallClock::new();
    let mut node = HandoverNode::start_with_env(PROGRAM, &HandoverFolder::create(), None, &clock.env());
    let mut watch = node.bench.accept_watch();
    watch.send("1\r\n\n\r\n");
    clock.step(step);
    let mut predecessor = node.start_successor();
    predecessor.signal(Signal::TERM);
    predecessor.expect_success();
    let handed_over_at = Instant::now();
    node.bench.accept_watch();
    assert!(
        handed_over_at.elapsed() > MIN_SILENCE,
        "the watch was reopened at once, so it had not been transferred"
    );
}

//! The wall clock steps by an hour under a running node, forward or back. Spans of time go on as they were, and servers
//! that start afterwards are taken for what they are. A preloaded library steps the clock of the node alone.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, established_client, instance, listener, open_line, temp_file, Bench, HandoverFolder,
    HandoverNode, Peer, Signal,
};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const HOUR: i64 = 3_600;
/// Requests that arrive at once. Each has one first attempt.
const BURST: usize = 40;
/// What a server that has just started may get of a burst.
const MAX_AT_WARMING_UP_SERVER: usize = 6;
/// What a warm one of two servers gets of a burst at least.
const MIN_AT_WARM_SERVER: usize = 8;
/// A watch that was alive a moment ago is silent for at least this long before it is given up.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// The node looks at the wall clock at least this often.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The wall clock of one node.
struct WallClock {
    library: PathBuf,
    offset: PathBuf,
}

impl WallClock {
    fn new() -> WallClock {
        let library = temp_file("clock_step.so", "");
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/clock_step.c");
        let compiled =
            Command::new("cc").args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source).status();
        assert!(compiled.expect("a C compiler, which links Rust programs too").success());
        WallClock { library, offset: temp_file("clock_offset", "0") }
    }

    fn step(&self, seconds: i64) {
        std::fs::write(&self.offset, seconds.to_string()).expect("a file");
        std::thread::sleep(CLOCK_CHECK_INTERVAL);
    }

    /// Unix time in milliseconds on a clock that is off by so many seconds.
    fn now_ms(seconds: i64) -> i64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        now.as_millis() as i64 + seconds * 1_000
    }

    /// What has a process use this clock.
    fn env(&self) -> [(&str, &str); 2] {
        let library = self.library.to_str().expect("a path");
        let offset = self.offset.to_str().expect("a path");
        [("LD_PRELOAD", library), ("CLOCK_OFFSET_FILE", offset)]
    }

    fn start_node(&self, servers: usize, edit: fn(&str) -> String) -> Bench {
        let env = self.env();
        Bench::with_env(PROGRAM, (0..servers).map(|_| listener()).collect(), None, &["--trace"], edit, &env)
    }
}

impl Drop for WallClock {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.library);
        let _ = std::fs::remove_file(&self.offset);
    }
}

/// Notifies the node that a server has started now, on a wall clock that is off by so many seconds.
fn announce_start(bench: &mut Bench, watch: &mut Peer, server: usize, seconds: i64) {
    let address = bench.servers[server].local_addr().expect("an address");
    let started = format!(r#""startedAtMs":{}"#, WallClock::now_ms(seconds));
    let entry = instance(server, address, "ready").replace(r#""startedAtMs":0"#, &started);
    bench.send_endpoint(watch, &entry);
    bench.wait_for_log("endpoint list received kind=Incremental");
}

/// Sends a burst of requests; yields how many of the first attempts reached this server.
fn attempts_of_a_burst_at(bench: &Bench, server: usize) -> usize {
    let _clients: Vec<Peer> =
        (0..BURST).map(|number| bench.connect_client(&open_line(number as u64))).collect();
    let mut attempts = Vec::new();
    let mut count = 0;
    for _ in 0..BURST {
        let (index, attempt) = accept_any(&bench.servers);
        count += usize::from(index == server);
        attempts.push(attempt);
    }
    count
}

/// A server that starts after the step is warming up, however far the clock went.
#[rstest]
fn a_server_that_starts_after_a_step_is_in_slow_start(#[values(-HOUR, HOUR, -5, 5)] step: i64) {
    let clock = WallClock::new();
    let mut bench = clock.start_node(2, str::to_string);
    let mut watch = bench.accept_watch();
    clock.step(step);
    announce_start(&mut bench, &mut watch, 1, step);
    let count = attempts_of_a_burst_at(&bench, 1);
    assert!(count <= MAX_AT_WARMING_UP_SERVER, "{count} of {BURST} at a server that has just started");
}

/// Its slow start is over after its time, and not when the clock has caught up.
#[test]
fn a_slow_start_lasts_no_longer_after_a_step_forward() {
    let clock = WallClock::new();
    let mut bench =
        clock.start_node(2, |text| text.replace(r#""ColdNs":23000000000"#, r#""ColdNs":500000000"#));
    let mut watch = bench.accept_watch();
    clock.step(HOUR);
    announce_start(&mut bench, &mut watch, 1, HOUR);
    std::thread::sleep(Duration::from_secs(1));
    let count = attempts_of_a_burst_at(&bench, 1);
    assert!(count >= MIN_AT_WARM_SERVER, "{count} of {BURST} at a server that is warm");
}

/// Lines, answers and the watch go on under a step.
#[rstest]
fn a_session_and_the_watch_go_on_under_a_step(#[values(-HOUR, HOUR)] step: i64) {
    let clock = WallClock::new();
    let mut bench = clock.start_node(1, str::to_string);
    let _watch = bench.accept_watch();
    let (mut client, mut attempt) = established_client(&bench, 1);
    clock.step(step);
    client.send("M 1\r\n");
    assert_eq!(attempt.read_line(), "M 1");
    attempt.send("M 2\r\n");
    assert_eq!(client.read_line(), "M 2");
    // Silent since the step, the watch is opened anew.
    bench.accept_watch();
    drop((client, attempt));
    bench.stop();
}

/// The watch that a successor takes over falls silent after a step: it is opened anew in time, since the successor goes on
/// with its predecessor's clock.
#[rstest]
fn a_watch_that_was_handed_over_is_found_silent_after_a_step(#[values(-HOUR, HOUR)] step: i64) {
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
        "it was opened anew at once: it had not been handed over"
    );
}

//! Races during a shutdown, forced over loopback: each accepted request gets one final answer, and the node exits by
//! itself in time. Where the order of events matters, the node is paused while they happen.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, counter_value, established_client, listener, log_field, request_line, Peer, Signal, TestNode,
};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// SIGKILL follows 0.7 s after the longest deadline, which is 1.2 s in these tests.
const SIGKILL_AFTER: Duration = Duration::from_millis(1_900);
/// A process that is stalled for this long still meets its deadlines.
const MAX_STALL: Duration = Duration::from_millis(150);
/// Clients may arrive until this long after SIGTERM.
const LAST_ARRIVAL: Duration = Duration::from_millis(400);
/// A drain by the admin API is complete after this time.
const ADMIN_DRAIN_DURATION: Duration = Duration::from_millis(4_000);

/// Asserts that the node exits by itself before SIGKILL. Returns its last `counters` line.
fn expect_exit(mut bench: TestNode, sigterm_at: Instant) -> String {
    let counters = bench.wait_for_log("counters");
    assert!(bench.process.wait().success(), "exit 0");
    assert!(sigterm_at.elapsed() < SIGKILL_AFTER, "{:?} after SIGTERM", sigterm_at.elapsed());
    counters
}

fn read_lines(client: &mut Peer) -> Vec<String> {
    client.read_to_end().lines().map(str::to_string).collect()
}

#[derive(Clone, Copy, Debug)]
enum Arrival {
    /// The node has read half of the client's first line.
    PartialLine,
    /// The client's complete line is unread in the kernel's buffer.
    Unread,
    /// The connection is in the accept queue, and the client's line follows SIGTERM.
    Queued,
}

/// A request that arrives around SIGTERM is served, and its connection is migrated before the process exits.
#[rstest]
fn a_request_arriving_at_sigterm_is_served_and_migrated(
    #[values(Arrival::PartialLine, Arrival::Unread, Arrival::Queued)] arrival: Arrival,
) {
    let bench = TestNode::start(PROGRAM, 1);
    let line = format!("{}\r\n", request_line(1));
    let mut early = Peer::connect(bench.text_addr);
    if let Arrival::PartialLine = arrival {
        early.send(&line[..9]);
        // A later request has its answer, so the first part of the line has been read.
        assert_eq!(bench.connect_client("PING").read_line(), "PONG");
    }
    bench.pause();
    let mut client = match arrival {
        Arrival::PartialLine => early,
        Arrival::Unread => {
            early.send(&line);
            early
        }
        Arrival::Queued => Peer::connect(bench.text_addr),
    };
    bench.signal(Signal::TERM);
    let sigterm_at = Instant::now();
    bench.resume();
    match arrival {
        Arrival::PartialLine => drop(client.send(&line[9..])),
        Arrival::Unread => {}
        Arrival::Queued => drop(client.send(&line)),
    }
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(read_lines(&mut client), ["UP r1", "MOVE"]);
    drop((client, attempt));
    let counters = expect_exit(bench, sigterm_at);
    assert_eq!(["requests", "served", "migrated"].map(|name| counter_value(&counters, name)), [1, 1, 1]);
}

#[derive(Clone, Copy, Debug)]
enum Server {
    /// `UP` arrives just after SIGTERM.
    Answers,
    /// The server never answers.
    Hangs,
    /// The server rejects every attempt, so a retry waits for its backoff.
    Rejects,
}

#[rstest]
fn an_attempt_in_flight_at_sigterm_ends_in_one_answer(
    #[values(Server::Answers, Server::Hangs, Server::Rejects)] server: Server,
    #[values(1, 2)] sigterms: u32,
) {
    let bench = TestNode::start(PROGRAM, 2);
    let mut client = bench.connect_client(&request_line(1));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    if let Server::Rejects = server {
        attempt.send("BUSY\r\n");
    }
    (0..sigterms).for_each(|_| bench.signal(Signal::TERM));
    let sigterm_at = Instant::now();
    if let Server::Answers = server {
        attempt.send("UP r1\r\n");
    }
    let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a second handle")).collect();
    if let Server::Rejects = server {
        std::thread::spawn(move || loop {
            let (_, mut attempt) = accept_any(&servers);
            attempt.read_line();
            attempt.send("BUSY\r\n");
        });
    }
    let lines = read_lines(&mut client);
    match server {
        Server::Answers => assert_eq!(lines, ["UP r1", "MOVE"]),
        _ => assert!(lines.len() == 1 && (lines[0].starts_with("BUSY") || lines[0] == "ERR"), "{lines:?}"),
    }
    drop((client, attempt));
    let counters = expect_exit(bench, sigterm_at);
    let sum: u64 = ["served", "rejected", "failed"].iter().map(|name| counter_value(&counters, name)).sum();
    assert_eq!((counter_value(&counters, "requests"), sum), (1, 1));
}

/// SIGHUP arrives just before or just after SIGTERM: the node still migrates its clients and exits.
#[rstest]
fn sighup_together_with_sigterm_does_not_disturb_the_shutdown(#[values(true, false)] before: bool) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let (mut client, attempt) = established_client(&bench, 1);
    bench.pause();
    if before {
        bench.signal(Signal::HUP);
    }
    bench.signal(Signal::TERM);
    if !before {
        bench.signal(Signal::HUP);
    }
    let sigterm_at = Instant::now();
    bench.resume();
    bench.wait_for_log("shutting down");
    assert_eq!(read_lines(&mut client), ["MOVE"]);
    drop((client, attempt));
    expect_exit(bench, sigterm_at);
}

/// The process is stalled for 0.15 s when SIGTERM arrives, and a client that has its answer leaves its connection
/// open: the process still exits before SIGKILL.
#[test]
fn a_node_that_is_stalled_at_sigterm_exits_before_sigkill() {
    let bench = TestNode::start(PROGRAM, 1);
    let _hung = bench.servers[0].try_clone().expect("a second handle");
    bench.pause();
    bench.signal(Signal::TERM);
    let sigterm_at = Instant::now();
    std::thread::sleep(MAX_STALL);
    bench.resume();
    std::thread::sleep(LAST_ARRIVAL.saturating_sub(sigterm_at.elapsed()));
    let mut client = bench.connect_client(&request_line(1));
    assert!(["ERR", "BUSY"].contains(&client.read_line().split(' ').next().expect("a word")));
    expect_exit(bench, sigterm_at);
}

/// A drain by the admin API is complete, so SIGTERM ends the process at once. A request that arrives at that moment,
/// on a new connection or on an idle one, gets its final answer.
#[rstest]
fn a_request_arriving_as_a_drained_node_exits_is_answered(#[values(true, false)] is_connected: bool) {
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener()], None, &[], |text| {
        text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#)
    });
    let line = bench.wait_for_log("admin API ready");
    let admin = log_field(&line, "listen").parse().expect("an address");
    let mut caller = Peer::connect(admin);
    caller.send("POST /-/drain HTTP/1.1\r\nHost: node\r\n\r\n").read_to_end();
    std::thread::sleep(ADMIN_DRAIN_DURATION);
    let idle = is_connected.then(|| Peer::connect(bench.text_addr));
    assert_eq!(bench.connect_client("PING").read_line(), "BUSY", "the node is drained");
    bench.pause();
    bench.signal(Signal::TERM);
    let mut client = idle.unwrap_or_else(|| Peer::connect(bench.text_addr));
    client.send(&request_line(1)).send("\r\n");
    bench.resume();
    let answer = client.read_line();
    assert!(answer == "BUSY" || answer == "ERR", "{answer:?}");
    drop(client);
    assert!(bench.process.wait().success(), "exit 0");
}

/// Idle connections are answered and closed before the process exits. Requests that arrive on them later are not
/// forwarded.
#[rstest]
fn idle_connections_are_closed_before_the_process_exits() {
    let bench = TestNode::start(PROGRAM, 1);
    let mut idle: Vec<Peer> = (0..20).map(|_| Peer::connect(bench.text_addr)).collect();
    assert_eq!(bench.connect_client("PING").read_line(), "PONG");
    bench.signal(Signal::TERM);
    let sigterm_at = Instant::now();
    for (number, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.read_line(), "BUSY");
        client.send(&request_line(number as u64)).send("\r\n");
    }
    idle.iter_mut().for_each(Peer::expect_closed);
    drop(idle);
    let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a second handle")).collect();
    let counters = expect_exit(bench, sigterm_at);
    servers[0].set_nonblocking(true).expect("non-blocking");
    assert!(servers[0].accept().is_err(), "a request was forwarded to the server");
    assert_eq!(counter_value(&counters, "idle_closed"), 20);
}

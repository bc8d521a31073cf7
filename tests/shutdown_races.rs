//! Crossings of a shutdown, forced over loopback: each request that was taken gets one final answer, and the node
//! ends by itself, in time. Where an instant matters the node is stopped while things happen.

mod support;

use rstest::rstest;
use std::time::{Duration, Instant};
use support::*;

/// SIGKILL comes 0.7 s after the longest deadline, 1.2 s here.
const KILLED_AFTER: Duration = Duration::from_millis(1_900);

/// The node ends by itself before it would be killed; gives its last counters.
fn ends(mut bench: Bench, told: Instant) -> String {
    let counters = bench.wait_for_log("counters");
    assert!(bench.process.child.wait().expect("it ends").success(), "exit 0");
    assert!(told.elapsed() < KILLED_AFTER, "{:?} after SIGTERM", told.elapsed());
    counters
}

fn answers(client: &mut Peer) -> Vec<String> {
    client.read_to_end().lines().map(str::to_string).collect()
}

#[derive(Clone, Copy, Debug)]
enum Crossing {
    /// Its first line is half read.
    HalfALine,
    /// Its whole line is in the kernel's buffer, unread.
    Unread,
    /// Its connection is in the accept queue.
    Queued,
}

/// A request that crosses SIGTERM is served, and moved before the end.
#[rstest]
fn a_request_that_crosses_sigterm_gets_its_answer(
    #[values(Crossing::HalfALine, Crossing::Unread, Crossing::Queued)] crossing: Crossing,
) {
    let bench = Bench::start(1);
    let line = format!("{}\r\n", open_line(1));
    let mut early = Peer::connect(bench.addr);
    if let Crossing::HalfALine = crossing {
        early.send(&line[..9]);
        // It has been read: a later one's question is answered.
        assert_eq!(bench.connect_client("PING").read_line(), "PONG");
    }
    bench.pause();
    let mut client = match crossing {
        Crossing::HalfALine => early,
        Crossing::Unread => {
            early.send(&line);
            early
        }
        Crossing::Queued => Peer::connect(bench.addr),
    };
    bench.signal("-TERM");
    let told = Instant::now();
    bench.resume();
    match crossing {
        Crossing::HalfALine => drop(client.send(&line[9..])),
        Crossing::Unread => {}
        Crossing::Queued => drop(client.send(&line)),
    }
    let mut attempt = Peer::accept(&bench.servers[0]);
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(answers(&mut client), ["UP r1", "MOVE"]);
    drop((client, attempt));
    let counters = ends(bench, told);
    assert_eq!(["requests", "served", "migrated"].map(|name| counter_value(&counters, name)), [1, 1, 1]);
}

#[derive(Clone, Copy, Debug)]
enum Server {
    /// `UP` comes just after SIGTERM.
    Answers,
    /// Nothing ever comes.
    Hangs,
    /// It turns every attempt away: a retry sleeps.
    TurnsAway,
}

#[rstest]
fn an_attempt_that_is_out_at_sigterm_ends_in_one_answer(
    #[values(Server::Answers, Server::Hangs, Server::TurnsAway)] server: Server,
    #[values(1, 2)] terms: u32,
) {
    let bench = Bench::start(2);
    let mut client = bench.connect_client(&open_line(1));
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    if let Server::TurnsAway = server {
        attempt.send("BUSY\r\n");
    }
    (0..terms).for_each(|_| bench.signal("-TERM"));
    let told = Instant::now();
    if let Server::Answers = server {
        attempt.send("UP r1\r\n");
    }
    let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a second handle")).collect();
    if let Server::TurnsAway = server {
        std::thread::spawn(move || loop {
            let (_, mut attempt) = accept_any(&servers);
            attempt.read_line();
            attempt.send("BUSY\r\n");
        });
    }
    let heard = answers(&mut client);
    match server {
        Server::Answers => assert_eq!(heard, ["UP r1", "MOVE"]),
        _ => assert!(heard.len() == 1 && (heard[0].starts_with("BUSY") || heard[0] == "ERR"), "{heard:?}"),
    }
    drop((client, attempt));
    let counters = ends(bench, told);
    let sum: u64 = ["served", "rejected", "failed"].iter().map(|name| counter_value(&counters, name)).sum();
    assert_eq!((counter_value(&counters, "requests"), sum), (1, 1));
}

/// The configuration is read again just before the end, or would be just after: neither keeps the node, nor what
/// stands from being moved.
#[rstest]
fn sighup_beside_sigterm_changes_nothing(#[values(true, false)] before: bool) {
    let mut bench = Bench::start(1);
    let (mut client, attempt) = established_client(&bench, 1);
    bench.pause();
    if before {
        bench.signal("-HUP");
    }
    bench.signal("-TERM");
    if !before {
        bench.signal("-HUP");
    }
    let told = Instant::now();
    bench.resume();
    bench.wait_for_log("shutting-down");
    assert_eq!(answers(&mut client), ["MOVE"]);
    drop((client, attempt));
    ends(bench, told);
}

/// Connections that rest are ended before the process is, with an answer to whatever arrives then; what is read from
/// then on is not sent on.
#[rstest]
fn resting_connections_are_ended_before_the_process_is() {
    let bench = Bench::start(1);
    let mut resting: Vec<Peer> = (0..20).map(|_| Peer::connect(bench.addr)).collect();
    assert_eq!(bench.connect_client("PING").read_line(), "PONG");
    bench.signal("-TERM");
    let told = Instant::now();
    for (number, client) in resting.iter_mut().enumerate() {
        assert_eq!(client.read_line(), "BUSY");
        client.send(&open_line(number as u64)).send("\r\n");
    }
    resting.iter_mut().for_each(Peer::expect_closed);
    drop(resting);
    let servers: Vec<_> = bench.servers.iter().map(|l| l.try_clone().expect("a second handle")).collect();
    let counters = ends(bench, told);
    servers[0].set_nonblocking(true).expect("non-blocking");
    assert!(servers[0].accept().is_err(), "it was sent on");
    assert_eq!(counter_value(&counters, "idle_closed"), 20);
}

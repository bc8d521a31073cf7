//! Restoring the sessions that clients had before the node started, over loopback: each comes up at its server within
//! the time that the protocol gives it, or gets a final answer.

use sparbank_test_support::{
    endpoint_entry, listener, refusing_port, request_line, try_accept, FullBacklogServer, HandoverNode,
    ListKind, Peer, Signal, TestNode,
};
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// A session that is not up after this time is lost.
const RESTORATION_TIME: Duration = Duration::from_secs(40);
/// A deadline as large as the clients of restored sessions send it.
const LARGE_DEADLINE_MS: u64 = 4_294_967;
/// SIGKILL follows 0.7 s after the longest deadline, which is 1.2 s in these tests.
const SIGKILL_AFTER: Duration = Duration::from_millis(1_900);
/// Interval between attempts to accept while no connection is pending.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Long enough that a node with work to do would have done it.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// A fault of the server of a session, which is over before the session's time is.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Connections are refused for this long.
    Refuses(Duration),
    /// Connections come up only after this time.
    ComesUpLate(Duration),
    /// The first connection is reset after its line.
    Resets,
    /// The first connection is closed after its line.
    Closes,
    /// The first line is rejected, since the server is full.
    Rejects,
    /// The first line is answered with an error.
    Fails,
    /// The first line is answered with something that is no answer.
    SpoilsAnswer,
    /// The first line's answer ends in its middle.
    TruncatesAnswer,
    /// The line is answered after this time.
    AnswersLate(Duration),
    /// The first line is never answered, and its connection stays open.
    ForgetsFirstLine,
}

const FAULTS: [Fault; 12] = [
    Fault::Refuses(Duration::from_millis(1_500)),
    Fault::ComesUpLate(Duration::from_millis(300)),
    Fault::ComesUpLate(Duration::from_millis(1_500)),
    Fault::Resets,
    Fault::Closes,
    Fault::Rejects,
    Fault::Fails,
    Fault::SpoilsAnswer,
    Fault::TruncatesAnswer,
    Fault::AnswersLate(Duration::from_secs(5)),
    Fault::AnswersLate(Duration::from_secs(30)),
    Fault::ForgetsFirstLine,
];

/// A request line that restores a session at a server.
fn restoring_line(server: usize, deadline: Option<u64>) -> String {
    let line = request_line(7);
    let line = match deadline {
        Some(ms) => line.replace("d=1200", &format!("d={ms}")),
        None => line.replace("d=1200,", ""),
    };
    format!("{line},at=s-{server}")
}

/// Accepts the next connection. Panics if none arrives within the time of a restoration.
fn accept(server: &TcpListener) -> Peer {
    let deadline = Instant::now() + RESTORATION_TIME;
    while Instant::now() < deadline {
        if let Some(attempt) = try_accept(server) {
            return attempt;
        }
        thread::sleep(ACCEPT_POLL_INTERVAL);
    }
    panic!("no connection arrived within {RESTORATION_TIME:?}")
}

/// Accepts connections up to the first that brings a line.
fn accept_line(server: &TcpListener) -> Peer {
    loop {
        let mut attempt = accept(server);
        if !attempt.read_line().is_empty() {
            return attempt;
        }
    }
}

/// Serves one session under a fault. Returns the server's end of the established session.
fn serve(server: &TcpListener, backlog: Option<FullBacklogServer>, fault: Fault) -> Peer {
    match fault {
        Fault::Refuses(duration) => {
            thread::sleep(duration);
            rustix::net::listen(server, 16).expect("failed to listen");
        }
        Fault::ComesUpLate(duration) => {
            thread::sleep(duration);
            let mut backlog = backlog.expect("a server with a full backlog");
            let mut attempt = backlog.accept_next();
            while attempt.read_line().is_empty() {
                attempt = backlog.accept_next();
            }
            attempt.send("UP r1\r\n");
            return attempt;
        }
        Fault::Resets => accept_line(server).reset(),
        Fault::Closes => drop(accept_line(server)),
        Fault::Rejects => drop(accept_line(server).send("BUSY\r\n")),
        Fault::Fails => drop(accept_line(server).send("ERR\r\n")),
        Fault::SpoilsAnswer => drop(accept_line(server).send("\u{1}P r1\r\n")),
        Fault::TruncatesAnswer => drop(accept_line(server).send("UP r")),
        Fault::ForgetsFirstLine => {
            let mut forgotten = accept_line(server);
            let mut attempt = accept_line(server);
            assert_eq!(forgotten.read_line(), "", "the first attempt has ended before the second one begins");
            attempt.send("UP r1\r\n");
            return attempt;
        }
        Fault::AnswersLate(duration) => {
            let mut attempt = accept_line(server);
            thread::sleep(duration);
            attempt.send("UP r1\r\n");
            return attempt;
        }
    }
    let mut attempt = accept_line(server);
    attempt.send("UP r1\r\n");
    attempt
}

/// Restores a session at a server with this fault. Returns the client's first line.
fn restore(fault: Fault, deadline: Option<u64>) -> String {
    let backlog = matches!(fault, Fault::ComesUpLate(_)).then(FullBacklogServer::start);
    let server = match &backlog {
        Some(backlog) => backlog.listener.try_clone().expect("failed to duplicate the listener"),
        None if matches!(fault, Fault::Refuses(_)) => refusing_port(),
        None => listener(),
    };
    let node_side = server.try_clone().expect("failed to duplicate the listener");
    let node = TestNode::start_with_servers(PROGRAM, vec![node_side], None);
    let mut client = node.connect_client(&restoring_line(0, deadline));
    client.set_read_timeout(RESTORATION_TIME);
    let (answered, answer) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let session = serve(&server, backlog, fault);
        // Keeps the session open until its client has been checked.
        let _ = answered.send(session);
    });
    let line = client.read_line();
    drop(answer);
    line
}

#[test]
fn restored_sessions_are_lost_when_their_first_attempt_fails() {
    let runs: Vec<_> = FAULTS
        .into_iter()
        .flat_map(|fault| [(fault, None), (fault, Some(LARGE_DEADLINE_MS))])
        .map(|(fault, deadline)| (fault, deadline, thread::spawn(move || restore(fault, deadline))))
        .collect();
    let results =
        runs.into_iter().map(|(fault, deadline, run)| (fault, deadline, run.join().expect("a result")));
    let lost: Vec<_> = results.filter(|(_, _, answer)| answer != "UP r1").collect();
    assert!(lost.is_empty(), "not up: {lost:#?}");
}

#[test]
fn restored_sessions_get_no_answer_when_the_node_shuts_down() {
    let node = TestNode::start(PROGRAM, 1);
    let clients: Vec<Peer> = [1_u64, 2]
        .into_iter()
        .map(|number| {
            node.connect_client(
                &restoring_line(0, Some(LARGE_DEADLINE_MS)).replace("OPEN 7", &format!("OPEN {number}")),
            )
        })
        .collect();
    let attempts: Vec<Peer> = clients.iter().map(|_| accept_line(&node.servers[0])).collect();
    let sigterm_at = Instant::now();
    node.signal(Signal::TERM);
    for mut client in clients {
        assert_eq!(client.read_line(), "ERR", "the server may have received the line");
    }
    let mut node = node;
    node.process.expect_success();
    assert!(sigterm_at.elapsed() < SIGKILL_AFTER, "{:?} after SIGTERM", sigterm_at.elapsed());
    drop(attempts);
}

#[test]
fn restored_sessions_are_lost_while_their_server_is_not_listed() {
    let mut node = TestNode::start(PROGRAM, 1);
    let late_server = listener();
    let mut watch = node.accept_watch();
    // The deadline is larger than 32 bits can hold.
    let mut client = node.connect_client(&restoring_line(1, Some(u64::MAX / 1_000_000)));
    thread::sleep(SETTLE_TIME);
    let entry = endpoint_entry(1, late_server.local_addr().expect("an address"), "draining");
    node.generation += 1;
    node.send_endpoints(&mut watch, ListKind::Incremental, &entry);
    let serving = thread::spawn(move || accept_line(&late_server).send("UP r1\r\n").read_line());
    assert_eq!(client.read_line(), "UP r1");
    drop(client);
    serving.join().expect("the session has ended");
}

#[test]
fn restored_sessions_are_rejected_while_descriptors_are_short() {
    let mut node = TestNode::start(PROGRAM, 1);
    // With a limit of 20 sockets, none is left for a client.
    node.reconfigure(|config| config.replace(r#""sockets":256"#, r#""sockets":20"#));
    node.wait_for_log("configuration reloaded");
    assert_eq!(node.connect_client(&request_line(1)).read_line(), "BUSY 500", "a request is rejected");
    let mut client = node.connect_client(&restoring_line(0, None));
    thread::sleep(SETTLE_TIME);
    node.reconfigure(str::to_string);
    let mut attempt = accept_line(&node.servers[0]);
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    assert!(node.counter("restore_attempts") > 1, "the first attempt had no descriptor");
}

#[test]
fn restored_sessions_are_lost_when_their_server_drains_or_the_node_reloads() {
    let mut node = TestNode::start_with_servers(PROGRAM, vec![refusing_port()], None);
    let mut watch = node.accept_watch();
    let mut client = node.connect_client(&restoring_line(0, Some(LARGE_DEADLINE_MS)));
    node.wait_for_log("session not restored yet, retrying");
    node.update_lifecycle(&mut watch, 0, "draining");
    node.reconfigure(str::to_string);
    node.wait_for_log("configuration reloaded");
    node.move_discovery();
    node.wait_for_log("configuration reloaded");
    rustix::net::listen(&node.servers[0], 16).expect("failed to listen");
    let mut attempt = accept_line(&node.servers[0]);
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
}

#[test]
fn restored_sessions_get_no_answer_when_a_successor_takes_over() {
    let mut node = HandoverNode::start(PROGRAM);
    let mut client = node.bench.connect_client(&restoring_line(0, Some(LARGE_DEADLINE_MS)));
    let attempt = accept_line(&node.bench.servers[0]);
    let mut predecessor = node.start_successor();
    predecessor.signal(Signal::TERM);
    assert_eq!(client.read_line(), "ERR", "the server may have received the line");
    predecessor.expect_success();
    drop(attempt);
}

#[test]
fn restored_sessions_of_a_client_that_leaves_are_attempted_again() {
    let mut node = TestNode::start_with_servers(PROGRAM, vec![refusing_port()], None);
    let client = node.connect_client(&restoring_line(0, None));
    node.wait_for_log("session not restored yet, retrying");
    drop(client);
    let warning = node.wait_for_log("session not restored");
    assert!(warning.contains("reason=client-gone"), "{warning}");
    rustix::net::listen(&node.servers[0], 16).expect("failed to listen");
    thread::sleep(SETTLE_TIME);
    node.assert_no_attempts();
}

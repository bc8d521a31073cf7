//! Simulated clients: ordinary ones, and ones that disconnect early, send too much, stay idle or send half a line.

use crate::node::Nodes;
use crate::request::{class_name, DEADLINE};
use crate::server::{Servers, SessionEnd};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sparbank_test_support::invariants::{Answer, InvariantChecker, RetrySafety, Rule, SentRequest};
use sparbank_test_support::loopback::reset_on_drop;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// A client stops waiting for an answer, or for a second one, after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);
/// The node closes a connection without a valid request, with or without an answer, within this time.
const INVALID_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_050);
/// The end of a session at its server reaches the client within this time.
const MAX_END_DELAY: Duration = Duration::from_millis(1_000);
/// The node forwards a line within this time.
const MAX_LINE_DELAY: Duration = Duration::from_millis(1_000);
/// The client of a server that has stopped sending is migrated within this time.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(7_000);
/// How often a client sends a line in an established session.
const LINE_INTERVAL: Duration = Duration::from_millis(250);
/// Upper limit of the random lifetime of a session.
const MAX_SESSION_MS: u64 = 2_500;
/// Probability that a client disconnects before its answer, during [`ClientBehaviour::disconnect`] and otherwise.
const FAULT_DISCONNECT_PROBABILITY: f64 = 0.7;
const DISCONNECT_PROBABILITY: f64 = 0.15;
/// Length of the occasional pauses in which a client reads nothing.
const READ_PAUSE: Duration = Duration::from_millis(600);

/// The retry safety of each request is drawn from these: half of the requests are idempotent.
const RETRY_SAFETIES: [RetrySafety; 4] =
    [RetrySafety::Idempotent, RetrySafety::Idempotent, RetrySafety::Keyed, RetrySafety::NonIdempotent];

/// The client faults that are active, for all clients of a run.
#[derive(Default)]
pub struct ClientBehaviour {
    /// Clients disconnect while their requests are pending.
    pub disconnect: Cell<bool>,
    /// Clients send many request lines at once.
    pub flood: Cell<bool>,
    /// Clients connect and send nothing.
    pub idle: Cell<bool>,
    /// Clients send half a request line, and keep the connection open.
    pub partial_line: Cell<bool>,
    /// Clients send no further requests.
    pub stopped: Cell<bool>,
}

/// A client that sends one request after another, each to a random node.
pub struct Client {
    /// Where requests and answers are recorded.
    pub checker: Rc<RefCell<InvariantChecker>>,
    /// The nodes that it connects to.
    pub nodes: Nodes,
    /// The servers, which record how they ended their sessions.
    pub servers: Servers,
    /// The client faults that are active.
    pub behaviour: Rc<ClientBehaviour>,
    /// Number of the client, part of its request ids, which are therefore unique.
    pub number: u64,
    rng: Pcg64Mcg,
    requests: u64,
}

impl Client {
    /// Creates a client whose random draws are determined by `seed` and `number`.
    pub fn new(
        checker: &Rc<RefCell<InvariantChecker>>,
        nodes: &Nodes,
        servers: &Servers,
        behaviour: &Rc<ClientBehaviour>,
        number: u64,
        seed: u64,
    ) -> Client {
        Client {
            checker: checker.clone(),
            nodes: nodes.clone(),
            servers: servers.clone(),
            behaviour: behaviour.clone(),
            number,
            rng: Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            requests: 0,
        }
    }

    /// Sends requests until the clients are stopped.
    pub async fn run(mut self) {
        while !self.behaviour.stopped.get() {
            sleep(Duration::from_millis(self.rng.random_range(5..120))).await;
            let Some(node) = self.nodes.draw_accepting(&mut self.rng) else { continue };
            let incarnation = self.checker.borrow().incarnation(node);
            let Ok(stream) = TcpStream::connect(self.nodes.address(node)).await else { continue };
            let _ = stream.set_nodelay(true);
            let is_affected = self.rng.random_bool(0.5);
            if self.behaviour.idle.get() && is_affected {
                self.send_invalid_input(node, incarnation, stream, "").await;
            } else if self.behaviour.partial_line.get() && is_affected {
                self.send_invalid_input(node, incarnation, stream, "OPEN 9b1f 7f3a c=li").await;
            } else if self.behaviour.flood.get() && is_affected {
                let lines = "OPEN 9b1f 7f3a c=live,t=acme,d=1000,g=5c\r\n".repeat(100);
                self.send_invalid_input(node, incarnation, stream, &lines).await;
            } else {
                self.send_request(node, incarnation, stream).await;
            }
        }
    }

    /// Sends text that is not a valid request, and checks that the node closes the connection in time.
    async fn send_invalid_input(&mut self, node: usize, incarnation: u64, mut stream: TcpStream, text: &str) {
        let connected_at = Instant::now();
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut bytes = [0; 64];
        let limit = INVALID_CLIENT_TIMEOUT + Duration::from_secs(2);
        while timeout(limit, stream.read(&mut bytes))
            .await
            .is_ok_and(|read| read.is_ok_and(|count| count > 0))
        {}
        let waited = connected_at.elapsed();
        let mut checker = self.checker.borrow_mut();
        let allowed = INVALID_CLIENT_TIMEOUT + self.nodes.excused_stall(node) + checker.lateness();
        if waited > allowed && !checker.is_excused(node, incarnation) {
            checker.report(
                Rule::BadClient,
                format!("node {node} left a connection with input {:?} open for {waited:?}", text.get(..20)),
            );
        }
    }

    /// Sends one request, and uses the session if it is served.
    async fn send_request(&mut self, node: usize, incarnation: u64, stream: TcpStream) {
        self.requests += 1;
        let id = format!("{:x}", (self.number << 24) | self.requests);
        let safety = RETRY_SAFETIES[self.rng.random_range(0..RETRY_SAFETIES.len())];
        let line = format!(
            "OPEN {id} {:x} c={},t=acme,d={},g=5c{:x}\r\n",
            self.number,
            class_name(safety),
            DEADLINE.as_millis(),
            self.number
        );
        let (read, mut write) = stream.into_split();
        if !self.write_line(&mut write, &line).await {
            return;
        }
        let sent_at = Instant::now();
        self.checker.borrow_mut().on_request(SentRequest { id: &id, node, incarnation, safety, line: &line });
        let mut read = BufReader::new(read);
        let is_fault = self.behaviour.disconnect.get();
        let probability = if is_fault { FAULT_DISCONNECT_PROBABILITY } else { DISCONNECT_PROBABILITY };
        if self.rng.random_bool(probability) {
            return self.disconnect(&id, read, write).await;
        }
        let mut text = String::new();
        let answer = match read_answer(&mut read, &mut text).await {
            Ok(answer) => answer,
            Err(reason) => {
                let reason = format!("{reason} after {:?}", sent_at.elapsed());
                return self.checker.borrow_mut().on_no_answer(&id, &reason);
            }
        };
        self.checker.borrow_mut().on_answer(&id, answer, sent_at.elapsed());
        if answer == Answer::Up {
            self.use_session(node, incarnation, &id, read, write).await;
        } else if timeout(ANSWER_TIMEOUT, read.read_line(&mut text))
            .await
            .is_ok_and(|more| more.is_ok_and(|count| count > 0))
        {
            self.checker.borrow_mut().report(Rule::SecondAnswer, format!("{id} received {text:?}"));
        }
    }

    /// Writes a line, sometimes in two parts with a pause between them. Returns whether all of it was written.
    async fn write_line(&mut self, write: &mut OwnedWriteHalf, line: &str) -> bool {
        let split_at =
            if self.rng.random_bool(0.2) { self.rng.random_range(1..line.len()) } else { line.len() };
        if write.write_all(&line.as_bytes()[..split_at]).await.is_err() {
            return false;
        }
        if split_at < line.len() {
            sleep(Duration::from_millis(self.rng.random_range(0..40))).await;
        }
        write.write_all(&line.as_bytes()[split_at..]).await.is_ok()
    }

    /// Disconnects after a random delay, with a FIN or a reset.
    async fn disconnect(&mut self, id: &str, read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) {
        sleep(Duration::from_millis(self.rng.random_range(0..400))).await;
        if self.rng.random_bool(0.5) {
            reset_on_drop(write.as_ref());
        }
        self.checker.borrow_mut().on_client_gone(id);
        drop((read, write));
    }

    /// Sends and receives lines in an established session, until its lifetime is over or the other side ends it.
    async fn use_session(
        &mut self,
        node: usize,
        incarnation: u64,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(50..MAX_SESSION_MS));
        let mut lines = ReceivedLines::default();
        // A session that its server has ended is read to its end, beyond its lifetime.
        while Instant::now() < end || self.servers.ended_at(id).is_some() {
            if self.rng.random_bool(0.1) {
                sleep(READ_PAUSE).await;
            }
            if write.write_all(b"M 1\r\n").await.is_err() {
                break;
            }
            let written_at = Instant::now();
            loop {
                let wait = LINE_INTERVAL.saturating_sub(written_at.elapsed());
                match timeout(wait, read.read_until(b'\n', &mut lines.partial)).await {
                    Err(_) => break,
                    Ok(Ok(count)) if count > 0 => lines.finish_line(),
                    Ok(ended) => return self.check_end(node, incarnation, id, &lines, &format!("{ended:?}")),
                }
            }
            self.check_progress(node, incarnation, id, &lines);
        }
        self.checker.borrow_mut().on_client_gone(id);
    }

    /// Checks that the last line of the server is not too old, and that the end of the session arrives in time.
    fn check_progress(&self, node: usize, incarnation: u64, id: &str, lines: &ReceivedLines) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) {
            return;
        }
        let allowed = self.nodes.excused_stall(node) + checker.lateness();
        if lines.last_at.elapsed() > SILENT_SERVER_TIMEOUT + allowed {
            checker.report(
                Rule::SilentServer,
                format!("{id} at node {node}: no line received for {:?}", lines.last_at.elapsed()),
            );
        }
        let ended_at = self.servers.ended_at(id);
        let limit = MAX_END_DELAY + MAX_LINE_DELAY + READ_PAUSE + allowed;
        if let Some(ended_at) =
            ended_at.filter(|at| at.elapsed() > limit && lines.last_at.elapsed() > MAX_LINE_DELAY)
        {
            let elapsed = ended_at.elapsed();
            checker.report(
                Rule::SessionEndDelayed,
                format!("{id} at node {node}: not ended, {elapsed:?} after its server ended the session"),
            );
        }
    }

    /// Checks a session that has ended: its server ended it and all that it sent has arrived, or the last line is `MOVE`.
    fn check_end(&self, node: usize, incarnation: u64, id: &str, lines: &ReceivedLines, read_result: &str) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) || lines.last == "MOVE" {
            return;
        }
        let Some(ended) = self.servers.ended_session(id) else {
            let last = &lines.last;
            return checker.report(
                Rule::CutOff,
                format!("{id} at node {node}: ended without MOVE, read {read_result}, last line {last:?}"),
            );
        };
        let is_truncated =
            ended.end != SessionEnd::Reset && (lines.burst_lines < ended.lines || lines.last != "BYE");
        if is_truncated {
            let (received, sent) = (lines.burst_lines, ended.lines);
            let partial = lines.partial.len();
            let (last, after) = (&lines.last, ended.at.elapsed());
            checker.report(
                Rule::CutOff,
                format!(
                    "{id} at node {node}: received {received} of {sent} lines and {partial} bytes, last line \
                     {last:?}, read {read_result} {after:?} after its server ended the session"
                ),
            );
        }
    }
}

/// Reads a final answer, or describes why none has arrived.
async fn read_answer(read: &mut BufReader<OwnedReadHalf>, text: &mut String) -> Result<Answer, String> {
    match timeout(ANSWER_TIMEOUT, read.read_line(text)).await {
        Err(_) => Err("no answer".to_string()),
        Ok(Ok(count)) if count > 0 && text.ends_with('\n') => Ok(match text.split([' ', '\r']).next() {
            Some("UP") => Answer::Up,
            Some("BUSY") => Answer::Busy,
            _ => Answer::Failed,
        }),
        Ok(ended) => Err(format!("the connection ended: {ended:?} {text:?}")),
    }
}

/// The lines that a client has received in a session.
struct ReceivedLines {
    /// The received part of the next line. A cancelled `read_line` loses it; a cancelled `read_until` does not.
    partial: Vec<u8>,
    last: String,
    last_at: Instant,
    /// Number of burst lines received.
    burst_lines: usize,
}

impl Default for ReceivedLines {
    fn default() -> ReceivedLines {
        ReceivedLines { partial: Vec::new(), last: String::new(), last_at: Instant::now(), burst_lines: 0 }
    }
}

impl ReceivedLines {
    /// Turns the partial line, which is now complete, into the last line.
    fn finish_line(&mut self) {
        self.last = String::from_utf8_lossy(&self.partial).trim_end().to_string();
        self.partial.clear();
        self.last_at = Instant::now();
        self.burst_lines += usize::from(self.last.starts_with("B "));
    }
}

//! Simulated clients: ordinary ones, and such as disconnect early, flood, rest or stop in the middle of a line.

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

/// An answer later than this does not come.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);
/// A bad client gets its answer or its close within this.
const BAD_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_050);
/// A server's end reaches its client within this.
const END_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A line is delayed no longer than this.
const LINE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The client of a silent server is migrated within this.
const SILENT_TIMEOUT: Duration = Duration::from_millis(7_000);
const LINE_INTERVAL: Duration = Duration::from_millis(250);
/// The longest session.
const MAX_SESSION_MS: u64 = 2_500;
/// How often clients disconnect while their requests wait, where that is the fault and otherwise.
const FAULT_DISCONNECT_PROBABILITY: f64 = 0.7;
const DISCONNECT_PROBABILITY: f64 = 0.15;
/// A client that stalls does not read for this long.
const STALL: Duration = Duration::from_millis(600);

/// What is drawn from for each request.
const SAFETIES: [RetrySafety; 4] =
    [RetrySafety::Idempotent, RetrySafety::Idempotent, RetrySafety::Keyed, RetrySafety::NonIdempotent];

/// What the clients do besides ordinary requests.
#[derive(Default)]
pub struct Behaviour {
    /// They disconnect while their requests wait.
    pub disconnect: Cell<bool>,
    /// They send many lines at once.
    pub flood: Cell<bool>,
    /// They rest.
    pub idle: Cell<bool>,
    /// They send half a line.
    pub half_line: Cell<bool>,
    /// They come no more.
    pub stopped: Cell<bool>,
}

/// One client, which sends request after request.
pub struct Client {
    /// The checker.
    pub checker: Rc<RefCell<InvariantChecker>>,
    /// The nodes that it is spread over.
    pub nodes: Nodes,
    /// The servers, which know how sessions were ended.
    pub servers: Servers,
    /// What it does.
    pub behaviour: Rc<Behaviour>,
    /// Its number.
    pub number: u64,
    rng: Pcg64Mcg,
    requests: u64,
}

impl Client {
    /// A client with this number.
    pub fn new(
        checker: &Rc<RefCell<InvariantChecker>>,
        nodes: &Nodes,
        servers: &Servers,
        behaviour: &Rc<Behaviour>,
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
            let is_drawn = self.rng.random_bool(0.5);
            if self.behaviour.idle.get() && is_drawn {
                self.misbehave(node, incarnation, stream, "").await;
            } else if self.behaviour.half_line.get() && is_drawn {
                self.misbehave(node, incarnation, stream, "OPEN 9b1f 7f3a c=li").await;
            } else if self.behaviour.flood.get() && is_drawn {
                let line = "OPEN 9b1f 7f3a c=live,t=acme,d=1000,g=5c\r\n".repeat(100);
                self.misbehave(node, incarnation, stream, &line).await;
            } else {
                self.request(node, incarnation, stream).await;
            }
        }
    }

    /// A client without a sound request gets an answer or a close in time.
    async fn misbehave(&mut self, node: usize, incarnation: u64, mut stream: TcpStream, text: &str) {
        let connected_at = Instant::now();
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut bytes = [0; 64];
        let limit = BAD_CLIENT_TIMEOUT + Duration::from_secs(2);
        while timeout(limit, stream.read(&mut bytes))
            .await
            .is_ok_and(|read| read.is_ok_and(|count| count > 0))
        {}
        let waited = connected_at.elapsed();
        let mut checker = self.checker.borrow_mut();
        let allowed = BAD_CLIENT_TIMEOUT + self.nodes.stalled(node) + checker.lateness();
        if waited > allowed && !checker.is_excused(node, incarnation) {
            checker.report(
                Rule::BadClient,
                format!("node {node} left {:?} open for {waited:?}", text.get(..20)),
            );
        }
    }

    async fn request(&mut self, node: usize, incarnation: u64, stream: TcpStream) {
        self.requests += 1;
        let id = format!("{:x}", (self.number << 24) | self.requests);
        let safety = SAFETIES[self.rng.random_range(0..SAFETIES.len())];
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
            Err(what) => {
                let what = format!("{what} after {:?}", sent_at.elapsed());
                return self.checker.borrow_mut().on_no_answer(&id, &what);
            }
        };
        self.checker.borrow_mut().on_answer(&id, answer, sent_at.elapsed());
        if answer == Answer::Up {
            self.use_session(node, incarnation, &id, read, write).await;
        } else if timeout(ANSWER_TIMEOUT, read.read_line(&mut text))
            .await
            .is_ok_and(|more| more.is_ok_and(|count| count > 0))
        {
            self.checker.borrow_mut().report(Rule::SecondAnswer, format!("{id} got {text:?}"));
        }
    }

    /// Writes a line, sometimes in two pieces.
    async fn write_line(&mut self, write: &mut OwnedWriteHalf, line: &str) -> bool {
        let cut = if self.rng.random_bool(0.2) { self.rng.random_range(1..line.len()) } else { line.len() };
        if write.write_all(&line.as_bytes()[..cut]).await.is_err() {
            return false;
        }
        if cut < line.len() {
            sleep(Duration::from_millis(self.rng.random_range(0..40))).await;
        }
        write.write_all(&line.as_bytes()[cut..]).await.is_ok()
    }

    /// Disconnects after a while, with an end or a reset.
    async fn disconnect(&mut self, id: &str, read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) {
        sleep(Duration::from_millis(self.rng.random_range(0..400))).await;
        if self.rng.random_bool(0.5) {
            reset_on_drop(write.as_ref());
        }
        self.checker.borrow_mut().on_client_gone(id);
        drop((read, write));
    }

    /// Uses an established session until its lifetime is over or it is ended from the other side.
    async fn use_session(
        &mut self,
        node: usize,
        incarnation: u64,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let end = Instant::now() + Duration::from_millis(self.rng.random_range(50..MAX_SESSION_MS));
        let mut lines = Lines::default();
        // A session that its server has ended is watched to its end.
        while Instant::now() < end || self.servers.ended_at(id).is_some() {
            if self.rng.random_bool(0.1) {
                sleep(STALL).await;
            }
            if write.write_all(b"M 1\r\n").await.is_err() {
                break;
            }
            let written_at = Instant::now();
            loop {
                let wait = LINE_INTERVAL.saturating_sub(written_at.elapsed());
                match timeout(wait, read.read_until(b'\n', &mut lines.partial)).await {
                    Err(_) => break,
                    Ok(Ok(count)) if count > 0 => lines.take(),
                    Ok(ended) => return self.check_end(node, incarnation, id, &lines, &format!("{ended:?}")),
                }
            }
            self.check_progress(node, incarnation, id, &lines);
        }
        self.checker.borrow_mut().on_client_gone(id);
    }

    /// A session whose server has ended it is over for its client within a second.
    fn check_progress(&self, node: usize, incarnation: u64, id: &str, lines: &Lines) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) {
            return;
        }
        let allowed = self.nodes.stalled(node) + checker.lateness();
        if lines.last_at.elapsed() > SILENT_TIMEOUT + allowed {
            checker.report(
                Rule::SilentServer,
                format!("{id} at node {node}: no line for {:?}", lines.last_at.elapsed()),
            );
        }
        let ended_at = self.servers.ended_at(id);
        let limit = END_TIMEOUT + LINE_TIMEOUT + STALL + allowed;
        if let Some(ended_at) =
            ended_at.filter(|at| at.elapsed() > limit && lines.last_at.elapsed() > LINE_TIMEOUT)
        {
            let elapsed = ended_at.elapsed();
            checker.report(
                Rule::SessionEndDelayed,
                format!("{id} at node {node}: its server ended {elapsed:?} ago"),
            );
        }
    }

    /// A session ends with its server's end, or with `MOVE`.
    fn check_end(&self, node: usize, incarnation: u64, id: &str, lines: &Lines, how: &str) {
        let mut checker = self.checker.borrow_mut();
        if checker.is_excused(node, incarnation) || lines.last == "MOVE" {
            return;
        }
        let Some(ended) = self.servers.ended_session(id) else {
            let last = &lines.last;
            return checker.report(
                Rule::CutOff,
                format!("{id} at node {node} ended without MOVE, {how}, last {last:?}"),
            );
        };
        let is_short = ended.end != SessionEnd::Reset && (lines.burst < ended.lines || lines.last != "BYE");
        if is_short {
            let (got, sent) = (lines.burst, ended.lines);
            checker.report(
                Rule::CutOff,
                format!("{id} at node {node} got {got} of {sent} lines, last {:?}", lines.last),
            );
        }
    }
}

/// Reads a final answer; what happened instead, where none arrives.
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

/// What a session has received.
struct Lines {
    /// What has come of the next line. A `read_line` that is given up loses it; `read_until` does not.
    partial: Vec<u8>,
    last: String,
    last_at: Instant,
    burst: usize,
}

impl Default for Lines {
    fn default() -> Lines {
        Lines { partial: Vec::new(), last: String::new(), last_at: Instant::now(), burst: 0 }
    }
}

impl Lines {
    /// A line is complete.
    fn take(&mut self) {
        self.last = String::from_utf8_lossy(&self.partial).trim_end().to_string();
        self.partial.clear();
        self.last_at = Instant::now();
        self.burst += usize::from(self.last.starts_with("B "));
    }
}

//! What clients, servers and discovery saw, and the rules that follow from it. Nothing that a node says of itself counts but
//! its exit and its reports of broken rules.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// How long a client waits for its answer, as its line says.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// The class whose repeats servers discard, and for how long.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(600);
/// An answer this long after its deadline is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// An attempt may begin this long after its client has gone.
const GONE_GRACE: Duration = Duration::from_millis(100);
/// A server may get something new this long after its drain was told, with the slack of sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Limits on sockets are longer by this.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// What happened at the two ends of a connection within this may have happened in the other order.
const NOTICE_SLACK: Duration = Duration::from_millis(100);
/// How long a lateness of this thread counts.
const LATENESS_LASTS: Duration = Duration::from_secs(3);

/// What may be done with a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// They may be repeated.
    Live,
    /// Repeats are discarded for a while.
    Keyed,
    /// They must not run twice.
    Once,
}

impl Class {
    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Live => "live",
            Class::Keyed => "keyed",
            Class::Once => "once",
        }
    }
}

/// A final answer, as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Up,
    /// Rejected.
    Busy,
    /// Failed.
    Failed,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule's short name.
    pub rule: &'static str,
    /// When, in milliseconds from the start of the play.
    pub at_ms: u128,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {} ms: {}", self.rule, self.at_ms, self.detail)
    }
}

struct Attempt {
    server: usize,
    began_at: Instant,
    ended_at: Option<Instant>,
    /// The server has rejected it: it has not run.
    is_rejected: bool,
}

struct Request {
    node: usize,
    incarnation: u64,
    class: Class,
    line: String,
    gone_at: Option<Instant>,
    attempts: Vec<Attempt>,
}

#[derive(Default)]
struct NodeRecord {
    incarnation: u64,
    /// By server: when this process was told to send it nothing new.
    notified: HashMap<usize, Instant>,
    /// Stops of the process that the rules do not allow for, with their ends.
    stalls: Vec<(Instant, Duration)>,
    killed_at: Option<Instant>,
}

/// The checker of one run.
pub struct Checker {
    start: Instant,
    nodes: Vec<NodeRecord>,
    requests: HashMap<String, Request>,
    violations: Vec<Violation>,
    last_tick: Instant,
    late_ticks: Vec<(Instant, Duration)>,
    /// Requests sent completely, and those of them that were served.
    pub sent: u64,
    /// Requests that were served.
    pub served: u64,
}

impl Checker {
    /// A checker of so many nodes.
    pub fn new(nodes: usize) -> Checker {
        let now = Instant::now();
        Checker {
            start: now,
            nodes: (0..nodes).map(|_| NodeRecord::default()).collect(),
            requests: HashMap::new(),
            violations: Vec::new(),
            last_tick: now,
            late_ticks: Vec::new(),
            sent: 0,
            served: 0,
        }
    }

    /// Called at this interval: what the soak's own thread is late by is no node's fault.
    pub fn tick(&mut self, interval: Duration) {
        let lateness = self.last_tick.elapsed().saturating_sub(interval);
        self.last_tick = Instant::now();
        if lateness > Duration::from_millis(10) {
            self.late_ticks.push((self.last_tick, lateness));
        }
    }

    /// What a time limit is longer by now.
    pub fn lateness(&self) -> Duration {
        let recent = self.late_ticks.iter().rev().take_while(|(at, _)| at.elapsed() < LATENESS_LASTS);
        recent.map(|(_, lateness)| *lateness).max().unwrap_or_default() + self.last_tick.elapsed()
    }

    /// Reports a broken rule.
    pub fn report(&mut self, rule: &'static str, detail: String) {
        self.violations.push(Violation { rule, at_ms: self.start.elapsed().as_millis(), detail });
    }

    /// The broken rules so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    // ---- Nodes -------------------------------------------------------------------------------

    /// A new process of a node starts.
    pub fn on_start(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.incarnation += 1;
        node.notified.clear();
        node.stalls.clear();
        node.killed_at = None;
    }

    /// The process of a node is killed: what it owes is excused.
    pub fn on_kill(&mut self, node: usize) {
        self.nodes[node].killed_at = Some(Instant::now());
    }

    /// A node is stopped for longer than the rules allow for.
    pub fn on_stall(&mut self, node: usize, duration: Duration) {
        self.nodes[node].stalls.push((Instant::now() + duration, duration));
    }

    /// A number that is another one for each process of a node.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.nodes[node].incarnation
    }

    /// Whether the process with this incarnation was killed, or replaced after that.
    pub fn is_excused(&self, node: usize, incarnation: u64) -> bool {
        self.nodes[node].incarnation != incarnation || self.nodes[node].killed_at.is_some()
    }

    /// What was stalled of a node since a time.
    pub fn stalled_since(&self, node: usize, since: Instant) -> Duration {
        let stalls = self.nodes[node].stalls.iter().filter(|(end, _)| *end > since);
        stalls.map(|(_, duration)| *duration).sum()
    }

    /// Discovery has told a process of a node about a server, or counts as having told it.
    pub fn on_notified(&mut self, node: usize, incarnation: u64, server: usize, is_ready: bool) {
        let node = &mut self.nodes[node];
        if node.incarnation != incarnation {
            return;
        }
        if is_ready {
            node.notified.remove(&server);
        } else {
            node.notified.entry(server).or_insert_with(Instant::now);
        }
    }

    // ---- Requests ----------------------------------------------------------------------------

    /// A client has written a request's last byte, on a connection to the process with this incarnation.
    pub fn on_request(&mut self, id: &str, node: usize, incarnation: u64, class: Class, line: &str) {
        self.sent += 1;
        let request =
            Request { node, incarnation, class, line: line.to_string(), gone_at: None, attempts: Vec::new() };
        self.requests.insert(id.to_string(), request);
    }

    /// A client has closed its connection, or is about to.
    pub fn on_client_gone(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// A client has its final answer.
    pub fn on_answer(&mut self, id: &str, answer: Answer, waited: Duration) {
        self.served += u64::from(answer == Answer::Up);
        let Some(request) = self.requests.get(id) else { return };
        let stalled = self.stalled_since(request.node, Instant::now() - waited);
        let limit = DEADLINE + LOST_AFTER + SOCKET_SLACK + stalled + self.lateness();
        if waited > limit {
            let node = request.node;
            self.report("lost", format!("{id} at node {node} had {answer:?} after {waited:?}"));
        }
    }

    /// A client's connection has ended without an answer, or none came in time.
    pub fn on_no_answer(&mut self, id: &str, what: &str) {
        let Some(request) = self.requests.get(id) else { return };
        let (node, incarnation) = (request.node, request.incarnation);
        let attempts = request.attempts.len();
        if !self.is_excused(node, incarnation) {
            self.report("lost", format!("{id} at node {node}: {what}, {attempts} attempts"));
        }
    }

    // ---- Attempts ----------------------------------------------------------------------------

    /// A server has read a request's complete line.
    pub fn on_attempt(&mut self, id: &str, server: usize, line: &str) {
        let now = Instant::now();
        let lateness = self.lateness();
        let Some(request) = self.requests.get_mut(id) else {
            return self.report("form", format!("server {server} got a line that no client sent: {line:?}"));
        };
        let mut found: Vec<(&'static str, String)> = Vec::new();
        if without_deadline(line) != without_deadline(&request.line) {
            found.push(("form", format!("server {server} got {line:?} for {:?}", request.line)));
        }
        if let Some(gone_at) =
            request.gone_at.filter(|at| at.elapsed() > GONE_GRACE + SOCKET_SLACK + lateness)
        {
            found.push((
                "gone",
                format!("{id} at server {server} {:?} after its client left", gone_at.elapsed()),
            ));
        }
        found.extend(request.check_retry(id, server, lateness));
        request.attempts.push(Attempt { server, began_at: now, ended_at: None, is_rejected: false });
        let (node, incarnation) = (request.node, request.incarnation);
        if let Some(notified_at) = self.nodes[node].notified.get(&server).copied() {
            let limit = DRAIN_GRACE + lateness + self.stalled_since(node, notified_at);
            if self.nodes[node].incarnation == incarnation && notified_at.elapsed() > limit {
                let elapsed = notified_at.elapsed();
                found.push((
                    "drain",
                    format!("node {node} sent {id} to server {server} {elapsed:?} after it was told"),
                ));
            }
        }
        // What a stopped process had begun before is not its fault.
        let is_stalled = self.stalled_since(node, now - Duration::from_secs(1)) > Duration::ZERO;
        for (rule, detail) in found {
            if !(is_stalled && matches!(rule, "gone" | "duplicate")) {
                self.report(rule, detail);
            }
        }
    }

    /// A server rejects an attempt: it has not run.
    pub fn on_attempt_rejected(&mut self, id: &str, server: usize) {
        if let Some(attempt) = self.open_attempt(id, server) {
            attempt.is_rejected = true;
        }
    }

    /// An attempt's connection is over, as its server sees it.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        if let Some(attempt) = self.open_attempt(id, server) {
            attempt.ended_at = Some(Instant::now());
        }
    }

    fn open_attempt(&mut self, id: &str, server: usize) -> Option<&mut Attempt> {
        let attempts = self.requests.get_mut(id)?.attempts.iter_mut();
        attempts.rev().find(|attempt| attempt.server == server && attempt.ended_at.is_none())
    }
}

impl Request {
    /// The rules that one more attempt breaks now.
    fn check_retry(&self, id: &str, server: usize, lateness: Duration) -> Option<(&'static str, String)> {
        let first_run = self.attempts.iter().find(|attempt| !attempt.is_rejected)?;
        let since = first_run.began_at.elapsed();
        let still_out = self.attempts.iter().find(|attempt| {
            attempt.ended_at.is_none() && attempt.began_at.elapsed() > NOTICE_SLACK + lateness
        });
        if let Some(other) = still_out.filter(|other| !other.is_rejected) {
            let other = other.server;
            return Some(("duplicate", format!("{id} is out at servers {other} and {server}")));
        }
        match self.class {
            Class::Live => None,
            Class::Keyed if since > DEDUP_WINDOW + SOCKET_SLACK + lateness => {
                Some(("duplicate", format!("{id} repeated {since:?} after a run that may have been")))
            }
            Class::Keyed => None,
            Class::Once => {
                Some(("duplicate", format!("{id} sent again to server {server} after it may have run")))
            }
        }
    }
}

/// A request line without the value of its deadline, which nodes change.
fn without_deadline(line: &str) -> String {
    let line = line.trim_end();
    let Some(start) = line.find(",d=").map(|at| at + 3) else { return line.to_string() };
    let rest = line[start..].trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{}{rest}", &line[..start])
}

#[cfg(test)]
mod tests;

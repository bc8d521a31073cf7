//! The invariants of a run of nodes under faults, checked from what clients, servers and discovery see on the wire.
//!
//! The simulated peers of a run tell an [`InvariantChecker`] what happens ([`InvariantChecker::on_request`] and so on), and
//! it records a [`Violation`] where a [`Rule`] is broken. It shares no code with the node. What a run observes beyond
//! requests and attempts is reported by the run itself ([`InvariantChecker::report`]).
//!
//! Time limits are longer by how late the thread of the run is: such lateness is no fault of a node.

mod lateness;
mod process_record;
mod request_record;
mod violation;

use lateness::LatenessMeter;
use process_record::ProcessRecord;
use request_record::RequestRecord;
use std::collections::HashMap;
use std::time::{Duration, Instant};
pub use violation::{Rule, Violation};

/// An attempt may begin this long after its client has gone.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// A server may get something new this long after the node was notified: 250 ms by the settings, and what sockets add.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Limits on sockets are longer by this.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// What happened at the two ends of a connection within this may have happened in the other order.
const REORDERING_SLACK: Duration = Duration::from_millis(100);
/// What a process had begun before it was stalled may show up for this long.
const STALL_EFFECT: Duration = Duration::from_secs(1);

/// What a run's time limits are.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// A request has its final answer within this.
    pub answer_within: Duration,
    /// Servers discard retries of a request with an idempotency key for this long.
    pub dedup_window: Duration,
    /// A tick that is later than this is counted as lateness of the run's thread.
    pub min_lateness: Duration,
}

/// What may be done with a request that may have run already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may be retried.
    Idempotent,
    /// It has an idempotency key: servers discard retries for a while.
    Keyed,
    /// It must not run twice.
    NonIdempotent,
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

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// It takes requests.
    Ready,
    /// It drains or is gone: it is to be sent nothing new.
    Stop,
}

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Its id, which no other request of the run has.
    pub id: &'a str,
    /// The node that it is sent to.
    pub node: usize,
    /// The incarnation of the node's process at the other end of the connection.
    pub incarnation: u64,
    /// Whether it may be retried.
    pub safety: RetrySafety,
    /// Its line.
    pub line: &'a str,
}

/// The checker of one run.
#[derive(Debug)]
pub struct InvariantChecker {
    started_at: Instant,
    limits: Limits,
    processes: Vec<ProcessRecord>,
    requests: HashMap<String, RequestRecord>,
    violations: Vec<Violation>,
    lateness: LatenessMeter,
    sent: u64,
    served: u64,
}

impl InvariantChecker {
    /// A checker of so many nodes, none of which has been started.
    pub fn new(nodes: usize, limits: Limits) -> InvariantChecker {
        InvariantChecker {
            started_at: Instant::now(),
            limits,
            processes: (0..nodes).map(|_| ProcessRecord::default()).collect(),
            requests: HashMap::new(),
            violations: Vec::new(),
            lateness: LatenessMeter::new(limits.min_lateness),
            sent: 0,
            served: 0,
        }
    }

    /// Called at this interval by the thread of the run, whose lateness is measured by it.
    pub fn tick(&mut self, interval: Duration) {
        self.lateness.tick(interval);
    }

    /// What a time limit is longer by now.
    pub fn lateness(&self) -> Duration {
        self.lateness.current()
    }

    /// Records a broken rule.
    pub fn report(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation { rule, at_ms: self.started_at.elapsed().as_millis(), detail });
    }

    /// The broken rules so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Requests that clients sent.
    pub fn sent_requests(&self) -> u64 {
        self.sent
    }

    /// Requests that were served.
    pub fn served_requests(&self) -> u64 {
        self.served
    }

    // ---- Nodes -------------------------------------------------------------------------------

    /// A new process of a node starts, or a suspended one goes on and counts as new.
    pub fn on_start(&mut self, node: usize) {
        self.processes[node].restart();
    }

    /// The process of a node is killed: answers that it owes are excused.
    pub fn on_kill(&mut self, node: usize) {
        self.processes[node].is_killed = true;
    }

    /// The process of a node is killed or suspended, and all that it does from now on is excused.
    pub fn on_suspend(&mut self, node: usize) {
        self.processes[node].suspend();
    }

    /// A node is stopped for longer than the rules allow for.
    pub fn on_stall(&mut self, node: usize, duration: Duration) {
        self.processes[node].add_stall(duration);
    }

    /// A number that is another one for each process of a node.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.processes[node].incarnation
    }

    /// Whether the process with this incarnation was killed, or replaced after that.
    pub fn is_excused(&self, node: usize, incarnation: u64) -> bool {
        let process = &self.processes[node];
        process.incarnation != incarnation || process.is_killed
    }

    /// What was stalled of a node since a time.
    pub fn stalled_since(&self, node: usize, since: Instant) -> Duration {
        self.processes[node].stalled_since(since)
    }

    /// Discovery has notified a process of a node about a server, or counts as having done it.
    pub fn on_notified(&mut self, node: usize, incarnation: u64, server: usize, notice: ServerNotice) {
        let process = &mut self.processes[node];
        if process.incarnation == incarnation {
            process.on_notified(server, notice);
        }
    }

    // ---- Requests ----------------------------------------------------------------------------

    /// A client sends a request, or has written its last byte.
    pub fn on_request(&mut self, request: SentRequest<'_>) {
        self.sent += 1;
        self.requests.insert(request.id.to_string(), RequestRecord::new(&request));
    }

    /// A client has closed its connection, or is about to.
    pub fn on_client_gone(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.client_gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// A client has its final answer.
    pub fn on_answer(&mut self, id: &str, answer: Answer, waited: Duration) {
        self.served += u64::from(answer == Answer::Up);
        let Some(request) = self.requests.get(id) else { return };
        let node = request.node;
        let stalled = self.stalled_since(node, Instant::now() - waited);
        if waited > self.limits.answer_within + stalled + self.lateness() {
            self.report(Rule::Lost, format!("request {id} at node {node} had {answer:?} after {waited:?}"));
        }
    }

    /// A client's connection has ended without an answer, or none came in time.
    pub fn on_no_answer(&mut self, id: &str, what: &str) {
        let Some(request) = self.requests.get(id) else { return };
        let (node, attempts) = (request.node, request.attempts());
        if !self.is_excused(node, request.incarnation) {
            self.report(Rule::Lost, format!("request {id} at node {node}: {what}, {attempts} attempts"));
        }
    }

    /// The node that a request was sent to, unless its process is another one since.
    pub fn serving_node(&self, id: &str) -> Option<usize> {
        let request = self.requests.get(id)?;
        (self.incarnation(request.node) == request.incarnation).then_some(request.node)
    }

    /// Whether a request has an attempt whose server has not seen its end.
    pub fn has_open_attempt(&self, id: &str) -> bool {
        self.requests.get(id).is_some_and(RequestRecord::has_open_attempt)
    }

    // ---- Attempts ----------------------------------------------------------------------------

    /// A server has read a request's complete line.
    pub fn on_attempt(&mut self, id: &str, server: usize, line: &str) {
        let lateness = self.lateness();
        let Some(request) = self.requests.get_mut(id) else {
            let detail = format!("server {server} got a line that no client sent: {line:?}");
            return self.report(Rule::Line, detail);
        };
        let mut found: Vec<(Rule, String)> = Vec::new();
        found.extend(request.check_line(server, line));
        found.extend(request.check_client(id, server, lateness));
        found.extend(request.check_retry(id, server, lateness, self.limits.dedup_window));
        request.add_attempt(server);
        let process = &self.processes[request.node];
        if process.incarnation == request.incarnation {
            found.extend(process.check_drain(request.node, id, server, lateness));
        }
        let is_stalled = process.stalled_since(Instant::now() - STALL_EFFECT) > Duration::ZERO;
        for (rule, detail) in found {
            // What a stalled process had begun before is not its fault.
            if !(is_stalled && matches!(rule, Rule::ClientGone | Rule::Duplicate)) {
                self.report(rule, detail);
            }
        }
    }

    /// A server rejects an attempt: it has not run.
    pub fn on_attempt_rejected(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.reject_attempt(server);
        }
    }

    /// An attempt's connection is over, as its server sees it.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.end_attempt(server);
        }
    }
}

#[cfg(test)]
mod tests;

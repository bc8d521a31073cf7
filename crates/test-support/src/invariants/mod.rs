//! Invariants that nodes must keep under faults, checked from what clients, servers and discovery see on the wire.
//!
//! The simulated peers of a run report events to an [`InvariantChecker`] ([`InvariantChecker::on_request`] and so on),
//! which records a [`Violation`] when a [`Rule`] is broken. It shares no code with the node. The run itself checks
//! what goes beyond requests and attempts, and reports it with [`InvariantChecker::report`].
//!
//! Time limits are extended by the lateness of the run's thread, which is not the nodes' fault.

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

/// How long after its client's disconnect an attempt may still begin.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// How long after the node was notified of a drain a server may still get new requests: 250 ms by the settings, plus
/// the delay of the sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// Allowance for the delay of sockets, added to time limits.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// Events at the two ends of a connection that are closer together than this may have occurred in the reverse order.
const REORDERING_SLACK: Duration = Duration::from_millis(100);
/// How long after a stall the effects of what the process began before it may be observed.
const STALL_EFFECT: Duration = Duration::from_secs(1);

/// The time limits of a run.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time within which a request must get its final answer.
    pub answer_within: Duration,
    /// How long servers discard retries of a request with an idempotency key.
    pub dedup_window: Duration,
    /// Ticks that are late by more than this count as lateness of the run's thread.
    pub min_lateness: Duration,
}

/// Whether a request that may have run already may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may be retried at any time.
    Idempotent,
    /// The request has an idempotency key, and may be retried while servers discard duplicates
    /// ([`Limits::dedup_window`]).
    Keyed,
    /// The request must not run twice, so it must not be retried.
    NonIdempotent,
}

/// A final answer as seen by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: the client received `UP`.
    Up,
    /// Rejected: the client received `BUSY`.
    Busy,
    /// Failed: the client received any other answer.
    Failed,
}

/// The state of a server that discovery notifies a node of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerNotice {
    /// The server accepts requests.
    Ready,
    /// The server is draining or was removed from the list, and must get no new requests.
    Unavailable,
}

/// A request as sent by its client.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Request id, unique in the run.
    pub id: &'a str,
    /// Number of the node that it is sent to.
    pub node: usize,
    /// Incarnation of the node's process when the request is sent.
    pub incarnation: u64,
    /// Whether the request may be retried.
    pub safety: RetrySafety,
    /// The request line.
    pub line: &'a str,
    /// Set if the request restores a session that the client had at a server.
    pub restored: Option<RestoredSession>,
}

/// A session that a client had before its node started, and restores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoredSession {
    /// The server of the session, the only one that may get its attempts.
    pub server: usize,
    /// Time within which the session is up.
    pub up_within: Duration,
    /// Time within which it has its final answer if it is not up.
    pub answer_within: Duration,
    /// The number of attempts after which a node may give up.
    pub max_attempts: usize,
}

impl RestoredSession {
    fn time_for(self, answer: Answer) -> Duration {
        match answer {
            Answer::Up => self.up_within,
            Answer::Busy | Answer::Failed => self.answer_within,
        }
    }
}

/// Checks the invariants of one run.
#[derive(Debug)]
pub struct InvariantChecker {
    started_at: Instant,
    limits: Limits,
    processes: Vec<ProcessRecord>,
    requests: HashMap<String, RequestRecord>,
    violations: Vec<Violation>,
    lateness: LatenessMeter,
    /// Whether missing answers and cut-off connections of processes that have been replaced without a kill count.
    checks_replaced_processes: bool,
    sent: u64,
    served: u64,
}

impl InvariantChecker {
    /// Creates a checker for this many nodes, none of which has been started.
    pub fn new(nodes: usize, limits: Limits) -> InvariantChecker {
        InvariantChecker {
            started_at: Instant::now(),
            limits,
            processes: (0..nodes).map(|_| ProcessRecord::default()).collect(),
            requests: HashMap::new(),
            violations: Vec::new(),
            lateness: LatenessMeter::new(limits.min_lateness),
            checks_replaced_processes: false,
            sent: 0,
            served: 0,
        }
    }

    /// Holds processes that were replaced after an orderly shutdown to the rules, even if a violation is noticed only
    /// after their replacement. By default they are excused then.
    pub fn check_replaced_processes(&mut self) {
        self.checks_replaced_processes = true;
    }

    /// Measures the lateness of the run's thread, which must call this once per interval.
    pub fn tick(&mut self, interval: Duration) {
        self.lateness.tick(interval);
    }

    /// The lateness by which time limits are extended now.
    pub fn lateness(&self) -> Duration {
        self.lateness.current()
    }

    /// Records a violation of a rule.
    pub fn report(&mut self, rule: Rule, detail: String) {
        self.violations.push(Violation { rule, at_ms: self.started_at.elapsed().as_millis(), detail });
    }

    /// The violations recorded so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of requests that clients have sent.
    pub fn sent_requests(&self) -> u64 {
        self.sent
    }

    /// Number of requests that were served.
    pub fn served_requests(&self) -> u64 {
        self.served
    }

    /// A new process of a node starts, or a suspended one continues and counts as a new one.
    pub fn on_start(&mut self, node: usize) {
        self.processes[node].restart();
    }

    /// The process of a node is killed; missing answers of this process are no violation.
    pub fn on_kill(&mut self, node: usize) {
        self.processes[node].is_killed = true;
    }

    /// The process of a node is told to end; sessions that it has not restored get their final answers.
    pub fn on_shutdown(&mut self, node: usize) {
        self.processes[node].is_shutting_down = true;
    }

    /// The process of a node is killed or suspended; its missing answers and its attempts at draining servers are no
    /// violations from now on.
    pub fn on_suspend(&mut self, node: usize) {
        self.processes[node].suspend();
    }

    /// A node is stalled for longer than the rules allow.
    pub fn on_stall(&mut self, node: usize, duration: Duration) {
        self.processes[node].add_stall(duration);
    }

    /// The current incarnation of a node, which differs for each of its processes.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.processes[node].incarnation
    }

    /// Whether the process with this incarnation was killed or replaced, so that its missing answers are excused.
    pub fn is_excused(&self, node: usize, incarnation: u64) -> bool {
        let process = &self.processes[node];
        if self.checks_replaced_processes {
            return process.was_killed(incarnation);
        }
        process.incarnation != incarnation || process.is_killed
    }

    /// Total duration of a node's stalls that end after this time.
    pub fn stalled_since(&self, node: usize, since: Instant) -> Duration {
        self.processes[node].stalled_since(since)
    }

    /// Discovery has notified a process of a node about a server, or is assumed to have done so.
    pub fn on_notified(&mut self, node: usize, incarnation: u64, server: usize, notice: ServerNotice) {
        let process = &mut self.processes[node];
        if process.incarnation == incarnation {
            process.on_notified(server, notice);
        }
    }

    /// A client sends a request, or has just written its last byte.
    pub fn on_request(&mut self, request: SentRequest<'_>) {
        self.sent += 1;
        self.requests.insert(request.id.to_string(), RequestRecord::new(&request));
    }

    /// A client has disconnected, or is about to.
    pub fn on_client_gone(&mut self, id: &str) {
        if let Some(request) = self.requests.get_mut(id) {
            request.client_gone_at.get_or_insert_with(Instant::now);
        }
    }

    /// A node that is short of descriptors has closed the connection before it has read the request: the rules allow it to
    /// close new connections unread. A request that has reached a server has been read, so its answer is checked.
    pub fn on_closed_unread(&mut self, id: &str) {
        self.requests.retain(|other, request| other != id || request.has_attempts());
    }

    /// A client has received its final answer, this long after its request.
    pub fn on_answer(&mut self, id: &str, answer: Answer, waited: Duration) {
        self.served += u64::from(answer == Answer::Up);
        let Some(request) = self.requests.get(id) else { return };
        let node = request.node;
        let process = &self.processes[node];
        let is_ending = process.incarnation != request.incarnation || process.is_ending();
        let lost = request.check_restored(id, answer).filter(|_| !is_ending);
        let answer_within =
            request.restored().map_or(self.limits.answer_within, |session| session.time_for(answer));
        let stalled = self.stalled_since(node, Instant::now() - waited);
        if let Some((rule, detail)) = lost {
            self.report(rule, detail);
        }
        if waited > answer_within + stalled + self.lateness() {
            self.report(
                Rule::Lost,
                format!("request {id} at node {node} got its answer {answer:?} late, after {waited:?}"),
            );
        }
    }

    /// A client's connection has ended without an answer, or no answer arrived in time.
    pub fn on_no_answer(&mut self, id: &str, what: &str) {
        let Some(request) = self.requests.get(id) else { return };
        let (node, attempts) = (request.node, request.attempt_count());
        if !self.is_excused(node, request.incarnation) {
            self.report(
                Rule::Lost,
                format!("request {id} at node {node}: {what}; {attempts} attempts were made"),
            );
        }
    }

    /// The node that a request was sent to, if the process that received it is still the node's current one.
    pub fn serving_node(&self, id: &str) -> Option<usize> {
        let request = self.requests.get(id)?;
        (self.incarnation(request.node) == request.incarnation).then_some(request.node)
    }

    /// Whether a request has an attempt that has not ended at its server.
    pub fn has_open_attempt(&self, id: &str) -> bool {
        self.requests.get(id).is_some_and(RequestRecord::has_open_attempt)
    }

    /// A server has read the complete line of an attempt.
    pub fn on_attempt(&mut self, id: &str, server: usize, line: &str) {
        let lateness = self.lateness();
        let Some(request) = self.requests.get_mut(id) else {
            let detail = format!("server {server} received a line that no client sent: {line:?}");
            return self.report(Rule::Line, detail);
        };
        let mut found: Vec<(Rule, String)> = Vec::new();
        found.extend(request.check_line(server, line));
        found.extend(request.check_client(id, server, lateness));
        found.extend(request.check_retry(id, server, lateness, self.limits.dedup_window));
        request.add_attempt(server);
        let process = &self.processes[request.node];
        // A restored session returns to its server, whatever the server's state.
        if process.incarnation == request.incarnation && request.restored().is_none() {
            found.extend(process.check_drain(request.node, id, server, lateness));
        }
        let is_stalled = process.stalled_since(Instant::now() - STALL_EFFECT) > Duration::ZERO;
        for (rule, detail) in found {
            // The process may have sent the attempt before its stall, when it broke no rule.
            if !(is_stalled && matches!(rule, Rule::ClientGone | Rule::Duplicate)) {
                self.report(rule, detail);
            }
        }
    }

    /// A server rejects an attempt, which therefore has not run.
    pub fn on_attempt_rejected(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.reject_attempt(server);
        }
    }

    /// A server will not answer an attempt.
    pub fn on_attempt_ignored(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.ignore_attempt(server);
        }
    }

    /// The connection of an attempt has ended, as seen by its server.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            request.end_attempt(server);
        }
    }
}

#[cfg(test)]
mod tests;

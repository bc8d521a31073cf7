//! Records what the simulated peers observe, by their own clocks, and checks the invariants.
//!
//! Invariants ([`crate::invariants`]): an accepted request gets one final answer in time; no request has two attempts
//! in flight at once; a node sends no new requests to a server after it was notified that the server drains or was
//! removed; no server that is warming up is overloaded. Missing answers of a killed or stopped node are no
//! violations. Time limits are extended by the measured lateness of the harness's own thread.

use super::clients::ANSWER_TIMEOUT;
use super::endpoint_list::EndpointList;
pub use super::summary::Summary;
use super::summary::Timeline;
use super::ClusterConfig;
use crate::invariants::{Answer, InvariantChecker, Limits, RetrySafety, Rule, SentRequest, ServerNotice};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How a request ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The request got its final answer.
    Answered(Answer),
    /// The connection ended without an answer.
    ConnectionEnded,
    /// No answer arrived within [`ANSWER_TIMEOUT`], which includes a margin after the request's own time-out.
    TimedOut,
}

/// Ticks that are late by more than this count as lateness of the harness's thread.
const MIN_LATENESS: Duration = Duration::from_millis(20);
/// The time limits of a run.
const LIMITS: Limits = Limits {
    answer_within: ANSWER_TIMEOUT,
    // No request of a cluster has an idempotency key.
    dedup_window: Duration::ZERO,
    min_lateness: MIN_LATENESS,
};

/// Event counts of one second of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct PerSecondCounts {
    /// Requests sent by clients.
    pub requests: u32,
    /// Number of requests that were served (`UP`).
    pub up: u32,
    /// Number of requests that were rejected (`BUSY`).
    pub busy: u32,
    /// Number of requests that failed.
    pub failed: u32,
    /// Connections that servers started to set up.
    pub setups: u32,
    /// Polls received by discovery.
    pub polls: u32,
    /// Attempts at servers that were warming up.
    pub attempts_at_warming_up: u32,
    /// Attempts at servers whose process has ended.
    pub attempts_at_dead: u32,
}

impl PerSecondCounts {
    fn count(&mut self, answer: Answer) {
        match answer {
            Answer::Up => self.up += 1,
            Answer::Busy => self.busy += 1,
            Answer::Failed => self.failed += 1,
        }
    }
}

/// An attempt as seen by its server.
#[derive(Clone, Copy)]
pub struct ObservedAttempt {
    /// Number of the server.
    pub server: usize,
    /// Whether the server is warming up.
    pub is_warming_up: bool,
    /// Whether the server's process has ended.
    pub is_dead: bool,
}

/// The auditor of one run.
pub struct Auditor {
    timeline: Timeline,
    checker: InvariantChecker,
    /// By node: established connections, as seen by their clients.
    established: Vec<usize>,
    /// By node, and then by server: attempts of the node's newest process at the server while the server's process has
    /// ended.
    attempts_at_dead: Vec<HashMap<usize, u32>>,
    /// Names of servers for which an overload while warming up was reported.
    overloaded: HashSet<String>,
    attempts: u64,
    max_attempts_at_dead_server: u32,
    max_slow_start_load: f64,
}

impl Auditor {
    /// Creates an auditor for this many nodes, none of which is up.
    pub fn new(nodes: usize) -> Auditor {
        Auditor {
            timeline: Timeline::new(Instant::now()),
            checker: InvariantChecker::new(nodes, LIMITS),
            established: vec![0; nodes],
            attempts_at_dead: vec![HashMap::new(); nodes],
            overloaded: HashSet::new(),
            attempts: 0,
            max_attempts_at_dead_server: 0,
            max_slow_start_load: 0.0,
        }
    }

    /// Samples the established connections and measures the lateness of the thread; called once per interval.
    pub fn tick(&mut self, interval: Duration) {
        self.checker.tick(interval);
        self.timeline.sample(self.established() as i64);
    }

    /// Number of connections that are established now.
    pub fn established(&self) -> usize {
        self.established.iter().sum()
    }

    /// Number of connections that are established now through a node.
    pub fn established_at(&self, node: usize) -> usize {
        self.established[node]
    }

    /// A client's connection has been established through this node.
    pub fn on_connection_established(&mut self, node: usize) {
        self.established[node] += 1;
    }

    /// A client's established connection through this node was closed or lost.
    pub fn on_connection_closed(&mut self, node: usize) {
        self.established[node] -= 1;
    }

    /// Records a fault, from which recovery is measured.
    pub fn record_fault(&mut self, what: &str) {
        self.timeline.record_fault(what);
    }

    /// A node was started or continued.
    pub fn on_node_up(&mut self, node: usize) {
        self.checker.on_start(node);
        self.attempts_at_dead[node].clear();
    }

    /// A node was killed or stopped.
    pub fn on_node_down(&mut self, node: usize) {
        self.checker.on_suspend(node);
    }

    /// The current incarnation of a node, which changes with each start, stop and continuation.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.checker.incarnation(node)
    }

    /// Discovery has received a poll.
    pub fn on_poll(&mut self) {
        self.timeline.current_second().polls += 1;
    }

    /// A server starts to set up a connection.
    pub fn on_setup(&mut self) {
        self.timeline.current_second().setups += 1;
    }

    /// A list was written to the watch of a node's incarnation. Servers that a complete list leaves out are removed.
    pub fn on_list_sent(&mut self, node: usize, incarnation: u64, list: &EndpointList) {
        let mut notify = |server, notice| self.checker.on_notified(node, incarnation, server, notice);
        for endpoint in &list.endpoints {
            notify(
                endpoint.server,
                if endpoint.is_ready { ServerNotice::Ready } else { ServerNotice::Unavailable },
            );
        }
        if list.is_complete {
            let last = list.endpoints.iter().map(|endpoint| endpoint.server).max().unwrap_or(0);
            let is_named = |server: &usize| list.endpoints.iter().any(|endpoint| endpoint.server == *server);
            (0..=last)
                .filter(|server| !is_named(server))
                .for_each(|server| notify(server, ServerNotice::Unavailable));
        }
    }

    /// A client sends a request to a node.
    pub fn on_request(&mut self, id: &str, node: usize, line: &str) {
        self.timeline.current_second().requests += 1;
        let incarnation = self.checker.incarnation(node);
        let safety = RetrySafety::Idempotent;
        self.checker.on_request(SentRequest { id, node, incarnation, safety, line, restored: None });
    }

    /// A client's request has ended, this long after it was sent. A connection that ended without an open attempt is
    /// no violation: it is reset if the node's listener does not exist yet.
    pub fn on_outcome(&mut self, id: &str, outcome: Outcome, waited: Duration) {
        let second = self.timeline.current_second();
        match outcome {
            Outcome::Answered(answer) => {
                second.count(answer);
                self.checker.on_answer(id, answer, waited);
            }
            Outcome::ConnectionEnded if self.checker.has_open_attempt(id) => {
                self.checker.on_no_answer(id, "the connection ended");
            }
            Outcome::ConnectionEnded => {}
            Outcome::TimedOut => self.checker.on_no_answer(id, "no answer in time"),
        }
    }

    /// A node's request line has reached a server.
    pub fn on_attempt(&mut self, id: &str, attempt: ObservedAttempt, line: &str) {
        self.attempts += 1;
        let second = self.timeline.current_second();
        second.attempts_at_warming_up += u32::from(attempt.is_warming_up);
        second.attempts_at_dead += u32::from(attempt.is_dead);
        self.checker.on_attempt(id, attempt.server, line);
        if let Some(node) = self.checker.serving_node(id).filter(|_| attempt.is_dead) {
            let count = self.attempts_at_dead[node].entry(attempt.server).or_default();
            *count += 1;
            self.max_attempts_at_dead_server = self.max_attempts_at_dead_server.max(*count);
        }
    }

    /// A server observes the end of an attempt.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        self.checker.on_attempt_ended(id, server);
    }

    /// Records the load of a server that is warming up, relative to its limit. `is_overloaded` is set once the load
    /// has been over the limit for too long.
    pub fn on_slow_start_load(&mut self, name: &str, load: f64, is_overloaded: bool) {
        self.max_slow_start_load = self.max_slow_start_load.max(load);
        if is_overloaded && self.overloaded.insert(name.to_string()) {
            let detail = format!("server {name} is overloaded while warming up");
            self.checker.report(Rule::SlowStartOverload, detail);
        }
    }

    /// Formats the run second by second, for the message of a failed test.
    pub fn timeline(&self) -> String {
        self.timeline.to_string()
    }

    /// Summarizes the run. Peaks count from the first fault on.
    pub fn summarize(&self, config: &ClusterConfig) -> Summary {
        let recovery = self.timeline.recovery();
        let since_fault = self.timeline.seconds_since_first_fault();
        let seconds = self.timeline.seconds();
        Summary {
            violations: self.checker.violations().to_vec(),
            recovery_from_last_fault: recovery.from_last_fault,
            recovery_from_first_fault: recovery.from_first_fault,
            established_before: recovery.established_before,
            min_established: recovery.min_established,
            peak_setups: since_fault.iter().map(|second| second.setups).max().unwrap_or(0),
            peak_polls: since_fault.iter().map(|second| second.polls).max().unwrap_or(0),
            max_attempts_at_dead_server: self.max_attempts_at_dead_server,
            max_slow_start_load: self.max_slow_start_load,
            attempts: self.attempts,
            requests: seconds.iter().map(|second| u64::from(second.requests)).sum(),
            up: seconds.iter().map(|second| u64::from(second.up)).sum(),
            timeline: format!("{}{config:?}\n", self.timeline),
        }
    }
}

#[cfg(test)]
mod tests;

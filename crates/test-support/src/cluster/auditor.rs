//! What the simulated peers saw, by their own clocks, and the invariants that follow from it.
//!
//! Invariants ([`crate::invariants`]): an accepted request gets one final answer in its time; no request has two attempts in flight at once; a
//! node sends nothing new to a server once it was notified that the server drains or is gone; no server that is warming
//! up is overloaded. What a killed or stopped node owed is excused. How late the harness's own thread was is measured,
//! and time limits are longer by that.

use super::clients::ANSWER_TIMEOUT;
use super::endpoint_list::EndpointList;
pub use super::summary::Summary;
use super::summary::Timeline;
use super::ClusterConfig;
use crate::invariants::{Answer, InvariantChecker, Limits, RetrySafety, Rule, SentRequest, ServerNotice};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With its final answer.
    Answered(Answer),
    /// The connection ended without an answer.
    ConnectionEnded,
    /// No answer arrived in its time and long after it.
    TimedOut,
}

/// A tick that is later than this is counted as lateness of the harness's thread.
const MIN_LATENESS: Duration = Duration::from_millis(20);
/// The time limits of a run.
const LIMITS: Limits = Limits {
    answer_within: ANSWER_TIMEOUT,
    // No request of a cluster has an idempotency key.
    dedup_window: Duration::ZERO,
    min_lateness: MIN_LATENESS,
};
/// Counts of one second of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondCounts {
    /// Requests that clients sent.
    pub requests: u32,
    /// Requests that were served.
    pub up: u32,
    /// Requests that were rejected.
    pub busy: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Connections that servers began to set up.
    pub setups: u32,
    /// Polls of discovery.
    pub polls: u32,
    /// Attempts at servers that were warming up.
    pub attempts_at_warming_up: u32,
    /// Attempts at servers that were dead.
    pub attempts_at_dead: u32,
}

impl SecondCounts {
    fn count(&mut self, answer: Answer) {
        match answer {
            Answer::Up => self.up += 1,
            Answer::Busy => self.busy += 1,
            Answer::Failed => self.failed += 1,
        }
    }
}

/// An attempt as a server sees it.
#[derive(Clone, Copy)]
pub struct ObservedAttempt {
    /// The server.
    pub server: usize,
    /// Whether it is warming up.
    pub is_warming_up: bool,
    /// Whether its process is gone.
    pub is_dead: bool,
}

/// The auditor of one run.
pub struct Auditor {
    timeline: Timeline,
    checker: InvariantChecker,
    established: i64,
    /// By node and server: attempts of the node's newest process at a server that is dead.
    attempts_at_dead: Vec<HashMap<usize, u32>>,
    /// The names of servers that were overloaded while they were warming up.
    overloaded: HashSet<String>,
    attempts: u64,
    max_attempts_at_dead_server: u32,
    max_slow_start_load: f64,
}

impl Auditor {
    /// An auditor of so many nodes, none of which is up.
    pub fn new(nodes: usize) -> Auditor {
        Auditor {
            timeline: Timeline::new(Instant::now()),
            checker: InvariantChecker::new(nodes, LIMITS),
            established: 0,
            attempts_at_dead: vec![HashMap::new(); nodes],
            overloaded: HashSet::new(),
            attempts: 0,
            max_attempts_at_dead_server: 0,
            max_slow_start_load: 0.0,
        }
    }

    /// Called at this interval: samples the established connections, and notes how late the call comes.
    pub fn tick(&mut self, interval: Duration) {
        self.checker.tick(interval);
        self.timeline.sample(self.established);
    }

    /// Connections that are established now.
    pub fn established(&self) -> usize {
        self.established.max(0) as usize
    }

    /// A client has its connection.
    pub fn on_connection_established(&mut self) {
        self.established += 1;
    }

    /// A client has lost or closed its connection.
    pub fn on_connection_closed(&mut self) {
        self.established -= 1;
    }

    /// Notes a fault; recovery is measured from it.
    pub fn record_fault(&mut self, what: &str) {
        self.timeline.record_fault(what);
    }

    /// A node was started or goes on.
    pub fn on_node_up(&mut self, node: usize) {
        self.checker.on_start(node);
        self.attempts_at_dead[node].clear();
    }

    /// A node was killed or stopped.
    pub fn on_node_down(&mut self, node: usize) {
        self.checker.on_suspend(node);
    }

    /// A number that is another one after each start, stop and continuation of a node.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.checker.incarnation(node)
    }

    /// Discovery has received a poll.
    pub fn on_poll(&mut self) {
        self.timeline.current_second().polls += 1;
    }

    /// A server begins to set a connection up.
    pub fn on_setup(&mut self) {
        self.timeline.current_second().setups += 1;
    }

    /// A list was written to the watch of a node's incarnation: what a complete list leaves out is gone.
    pub fn on_list_sent(&mut self, node: usize, incarnation: u64, list: &EndpointList) {
        let mut notify = |server, notice| self.checker.on_notified(node, incarnation, server, notice);
        for endpoint in &list.endpoints {
            notify(endpoint.server, if endpoint.is_ready { ServerNotice::Ready } else { ServerNotice::Stop });
        }
        if list.is_complete {
            let last = list.endpoints.iter().map(|endpoint| endpoint.server).max().unwrap_or(0);
            let is_named = |server: &usize| list.endpoints.iter().any(|endpoint| endpoint.server == *server);
            (0..=last)
                .filter(|server| !is_named(server))
                .for_each(|server| notify(server, ServerNotice::Stop));
        }
    }

    /// A client sends a request to a node.
    pub fn on_request(&mut self, id: &str, node: usize, line: &str) {
        self.timeline.current_second().requests += 1;
        let incarnation = self.checker.incarnation(node);
        let safety = RetrySafety::Idempotent;
        self.checker.on_request(SentRequest { id, node, incarnation, safety, line });
    }

    /// A client's request has ended, so long after it was sent. A connection that ended before the node made any attempt
    /// is excused: a listener that is not there yet resets it.
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
            Outcome::TimedOut => self.checker.on_no_answer(id, "no answer in its time"),
        }
    }

    /// A node's line has reached a server.
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

    /// A server notices that an attempt is over.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        self.checker.on_attempt_ended(id, server);
    }

    /// Load of a server that is warming up, over what it can serve; `is_overloaded` after it was over that for too
    /// long.
    pub fn on_slow_start_load(&mut self, name: &str, load: f64, is_overloaded: bool) {
        self.max_slow_start_load = self.max_slow_start_load.max(load);
        if is_overloaded && self.overloaded.insert(name.to_string()) {
            let detail = format!("server {name} is overloaded while it warms up");
            self.checker.report(Rule::SlowStartOverload, detail);
        }
    }

    /// The run second by second, for who reads a failure.
    pub fn timeline(&self) -> String {
        self.timeline.to_string()
    }

    /// The result of the run, from the first fault on.
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

//! What the simulated peers saw, by their own clocks, and the invariants that follow from it.
//!
//! Invariants: an accepted request gets one final answer in its time; no request has two attempts in flight at once; a
//! node sends nothing new to a server once it was notified that the server drains or is gone; no server that is warming
//! up is overloaded. What a killed or stopped node owed is excused. How late the harness's own thread was is measured,
//! and time limits are longer by that.

use super::servers::EndpointList;
pub use super::summary::Summary;
use super::summary::Timeline;
use super::ClusterConfig;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How a request ended at its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// It was served.
    Up,
    /// It was rejected.
    Busy,
    /// It failed.
    Failed,
    /// The connection ended without an answer.
    ConnectionEnded,
    /// No answer arrived in its time and long after it.
    TimedOut,
}

/// A node may use a server for so long after it was notified to stop: 250 ms by the settings, and 50 ms for the sockets.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(300);
/// A server notices a connection's end a little after the node has ended it.
const ATTEMPT_OVERLAP: Duration = Duration::from_millis(100);
/// A tick that is later than this is counted as lateness of the harness's thread.
const MIN_LATENESS: Duration = Duration::from_millis(20);
/// After the thread was late, what it reads for this long may be older than it seems.
const LATENESS_LASTS: Duration = Duration::from_secs(3);

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

#[derive(Default)]
struct NodeRecord {
    is_up: bool,
    /// Rises with each start, stop and continuation.
    incarnation: u64,
    changed_at: Option<Instant>,
    /// By server: when this process was notified to send it nothing new.
    stop_notices: HashMap<usize, Instant>,
    /// By server: attempts at one that is dead.
    attempts_at_dead: HashMap<usize, u32>,
}

struct AttemptRecord {
    server: usize,
    since: Instant,
}

struct RequestRecord {
    node: usize,
    incarnation: u64,
    sent_at: Instant,
    in_flight: Option<AttemptRecord>,
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
    established: i64,
    nodes: Vec<NodeRecord>,
    requests: HashMap<String, RequestRecord>,
    violations: Vec<String>,
    late_ticks: Vec<(Instant, Duration)>,
    last_tick: Instant,
    attempts: u64,
    max_attempts_at_dead_server: u32,
    max_slow_start_load: f64,
}

impl Auditor {
    /// An auditor of so many nodes, none of which is up.
    pub fn new(nodes: usize) -> Auditor {
        let now = Instant::now();
        Auditor {
            timeline: Timeline::new(now),
            established: 0,
            nodes: (0..nodes).map(|_| NodeRecord::default()).collect(),
            requests: HashMap::new(),
            violations: Vec::new(),
            late_ticks: Vec::new(),
            last_tick: now,
            attempts: 0,
            max_attempts_at_dead_server: 0,
            max_slow_start_load: 0.0,
        }
    }

    /// Called at this interval: samples the established connections, and notes how late the call comes.
    pub fn tick(&mut self, interval: Duration) {
        let lateness = self.last_tick.elapsed().saturating_sub(interval);
        self.last_tick = Instant::now();
        if lateness > MIN_LATENESS {
            self.late_ticks.push((self.last_tick, lateness));
        }
        self.timeline.sample(self.established);
    }

    /// How late this thread has been of late.
    fn lateness(&self) -> Duration {
        let recent = self.late_ticks.iter().rev().take_while(|(at, _)| at.elapsed() < LATENESS_LASTS);
        recent.map(|(_, lateness)| *lateness).max().unwrap_or_default() + self.last_tick.elapsed()
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
        let node = &mut self.nodes[node];
        node.change_state(true);
        node.stop_notices.clear();
        node.attempts_at_dead.clear();
    }

    /// A node was killed or stopped.
    pub fn on_node_down(&mut self, node: usize) {
        self.nodes[node].change_state(false);
    }

    /// A number that is another one after each start, stop and continuation of a node.
    pub fn incarnation(&self, node: usize) -> u64 {
        self.nodes[node].incarnation
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
        let node = &mut self.nodes[node];
        if node.incarnation != incarnation {
            return;
        }
        let now = Instant::now();
        for endpoint in &list.endpoints {
            if endpoint.is_ready {
                node.stop_notices.remove(&endpoint.server);
            } else {
                node.stop_notices.entry(endpoint.server).or_insert(now);
            }
        }
        if list.is_complete {
            let last = list.endpoints.iter().map(|endpoint| endpoint.server).max().unwrap_or(0);
            for server in 0..=last {
                if !list.endpoints.iter().any(|endpoint| endpoint.server == server) {
                    node.stop_notices.entry(server).or_insert(now);
                }
            }
        }
    }

    /// A client has sent a request to a node.
    pub fn on_request(&mut self, id: &str, node: usize) {
        self.timeline.current_second().requests += 1;
        let incarnation = self.nodes[node].incarnation;
        let request = RequestRecord { node, incarnation, sent_at: Instant::now(), in_flight: None };
        self.requests.insert(id.to_string(), request);
    }

    /// A client's request has ended.
    pub fn on_answer(&mut self, id: &str, answer: Answer) {
        let second = self.timeline.current_second();
        match answer {
            Answer::Up => second.up += 1,
            Answer::Busy => second.busy += 1,
            Answer::Failed => second.failed += 1,
            Answer::ConnectionEnded | Answer::TimedOut => {}
        }
        let Some(request) = self.requests.get(id) else { return };
        if self.is_lost(request, answer) {
            let node = request.node;
            let elapsed_ms = request.sent_at.elapsed().as_millis();
            self.violations
                .push(format!("lost: request {id} at node {node} had {answer:?} after {elapsed_ms} ms"));
        }
        if answer != Answer::Up {
            self.requests.remove(id);
        }
    }

    /// Whether a request should have had another answer. What was at a process that is gone, or was stopped since, is
    /// excused. So is a connection that ended before the node made any attempt: a listener that is not there yet
    /// resets it.
    fn is_lost(&self, request: &RequestRecord, answer: Answer) -> bool {
        let node = &self.nodes[request.node];
        let is_same_incarnation = node.incarnation == request.incarnation;
        match answer {
            Answer::ConnectionEnded => is_same_incarnation && node.is_up && request.in_flight.is_some(),
            Answer::TimedOut => is_same_incarnation && node.is_up,
            Answer::Up | Answer::Busy | Answer::Failed => false,
        }
    }

    /// A node's line has reached a server.
    pub fn on_attempt(&mut self, id: &str, attempt: ObservedAttempt) {
        self.attempts += 1;
        let second = self.timeline.current_second();
        second.attempts_at_warming_up += u32::from(attempt.is_warming_up);
        second.attempts_at_dead += u32::from(attempt.is_dead);
        let server = attempt.server;
        let lateness = self.lateness();
        let Some(request) = self.requests.get_mut(id) else { return };
        let in_flight = AttemptRecord { server, since: Instant::now() };
        if let Some(other) = request.in_flight.replace(in_flight) {
            if other.server != server && other.since.elapsed() > ATTEMPT_OVERLAP + lateness {
                let other = other.server;
                self.violations.push(format!("dup: request {id} is out at servers {other} and {server}"));
            }
        }
        let node = &mut self.nodes[request.node];
        if node.incarnation != request.incarnation {
            return;
        }
        if attempt.is_dead {
            let count = node.attempts_at_dead.entry(server).or_default();
            *count += 1;
            self.max_attempts_at_dead_server = self.max_attempts_at_dead_server.max(*count);
        }
        let Some(notified_at) = node.stop_notice(server) else { return };
        if notified_at.elapsed() > STOP_SENDING_WITHIN + lateness {
            let elapsed_ms = notified_at.elapsed().as_millis();
            let node = request.node;
            self.violations.push(format!(
                "stale: node {node} sent {id} to server {server} {elapsed_ms} ms after it was told to stop"
            ));
        }
    }

    /// A server notices that an attempt is over.
    pub fn on_attempt_ended(&mut self, id: &str, server: usize) {
        if let Some(request) = self.requests.get_mut(id) {
            if request.in_flight.as_ref().is_some_and(|attempt| attempt.server == server) {
                request.in_flight = None;
            }
        }
    }

    /// Load of a server that is warming up, over what it can serve; `is_overloaded` after it was over that for too
    /// long.
    pub fn on_slow_start_load(&mut self, name: &str, load: f64, is_overloaded: bool) {
        self.max_slow_start_load = self.max_slow_start_load.max(load);
        let violation = format!("failback: server {name} is overloaded while it warms up");
        if is_overloaded && !self.violations.contains(&violation) {
            self.violations.push(violation);
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
            violations: self.violations.clone(),
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

impl NodeRecord {
    fn change_state(&mut self, is_up: bool) {
        self.is_up = is_up;
        self.changed_at = Some(Instant::now());
        self.incarnation += 1;
    }

    /// When this process was notified to send a server nothing new, at the earliest at its start.
    fn stop_notice(&self, server: usize) -> Option<Instant> {
        let notified_at = *self.stop_notices.get(&server)?;
        Some(self.changed_at.map_or(notified_at, |changed_at| changed_at.max(notified_at)))
    }
}

//! What a node tells the balancer and what the balancer answers: the whole public vocabulary.
//!
//! Times are nanoseconds on the node's own clock. Nothing here decides anything.

use std::fmt;

/// A moment or a span, in nanoseconds.
pub type Nanos = u64;

/// A client request, as numbered by the node. Never reused. Below 2^62.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server, numbered by the node in the order in which it first heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Whether a request may be repeated once an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating is harmless.
    ReadLike,
    /// Repeats are discarded by the servers of one [`Scope`] while they remember the first.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The servers that discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How the list of servers comes, and what a call for it costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes come unasked.
    #[default]
    Pushed,
    /// An agent on this machine has what is pushed to it, and answers calls at once and at no cost.
    LocalAgent,
    /// One service for all nodes, which works through their calls one at a time.
    Polled,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A set-up within this time earns the full worth.
    pub objective: Nanos,
    /// How long a client waits, over all its tries.
    pub hard_limit: Nanos,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For keyed classes: who discards repeats.
    pub scope: Scope,
    /// For keyed classes: for how long after the first send that may have run.
    pub window: Nanos,
    /// What a request (or a second of its connection) is worth.
    pub priority_weight: f64,
    /// A message on an open connection is wanted within this time.
    pub message_latency_objective: Option<Nanos>,
}

/// What an instance is told once, at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of nodes.
    pub instances: u32,
    /// The zone of this node.
    pub zone: u32,
    /// The request classes.
    pub classes: Vec<Class>,
    /// How the list of servers comes.
    pub discovery: Discovery,
    /// Worth counts by work rather than by request.
    pub weight_by_work: bool,
    /// Tries allowed for one request.
    pub max_attempts: u32,
    /// An attempt may be recalled.
    pub may_cancel: bool,
    /// The longest advice to stay away that clients honour; zero where none is passed on.
    pub max_retry_after: Nanos,
    /// Where discovery is asked: an instance that has not asked for this long is deemed told.
    pub poll_within: Nanos,
    /// A connection that is not up after this has failed: an attempt's line goes out no later.
    pub dial_timeout: Nanos,
    /// A cold server begins at this fraction of its capacity.
    pub slow_start_floor: f64,
    /// A cold server is warm after this time.
    pub slow_start_duration: Nanos,
    /// A cold server sent more than this multiple of its present capacity falls over.
    pub overload_multiple: f64,
    /// And it does so when that lasts this long.
    pub overload_after: Nanos,
    /// Connections that all nodes together may hold within the tenants' shares; zero where it is not told.
    pub quota_connections: f64,
    /// New connections a second that all nodes together may get within the shares; zero where not told.
    pub quota_setups_per_second: f64,
    /// A server may be probed, and its report tells the load asked of it over what it can do.
    pub probes: bool,
}

/// Why settings were refused: the name of the setting and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field of [`Settings`].
    pub field: &'static str,
    /// What is wrong.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// Takes requests.
    Serving,
    /// Finishes its work; gets nothing new.
    Draining,
    /// Removed, or not heard of.
    #[default]
    Removed,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// A number drawn from its name, the same at every node.
    pub tag: u64,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its size compared with others. Zero or less counts as one.
    pub nominal: f64,
    /// When its process last started; zero is long ago.
    pub started_at: Nanos,
    /// Its state.
    pub status: Status,
}

/// What kind of list a [`Event::EndpointList`] brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The whole list as last held, perhaps stale.
    Saved,
    /// The whole list: what is absent is gone.
    Full,
    /// Changed lines only.
    Incremental,
    /// A call failed or the subscription broke: no lines, the old list stays.
    Failed,
}

/// How an attempt (or a probe) ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// An error answer; it may have run. Also stands for codes that are not known.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection came about.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Recalled, or the client left; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrives, or a connection handed over at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its number.
    pub id: RequestId,
    /// Its class, a place in [`Settings::classes`].
    pub class: usize,
    /// Time left before the client gives up.
    pub grace: Nanos,
    /// The load to expect, in nanoseconds of work a second; absent at some sites.
    pub cost: Option<Nanos>,
    /// Its subject.
    pub key: Option<u64>,
    /// Those that share work on a server: each server that holds any of them pays for that once.
    pub group: Option<u64>,
    /// The client comes again after a break or a move.
    pub reconnect: bool,
    /// The client repeats a try that failed or was refused.
    pub client_retry: bool,
    /// Packets of an open connection that another node carried until now.
    pub rerouted: bool,
}

/// What a node tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request.
    Request(Arrival),
    /// A connection that already runs through this node at its start.
    Resumed(Arrival, ServerId),
    /// The connection stands.
    Established {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Time since it was sent.
        waited: Nanos,
    },
    /// The load of an open connection is now this, in nanoseconds of work a second.
    LoadReport {
        /// The request.
        id: RequestId,
        /// Work a second.
        cost: Nanos,
    },
    /// What a probe found: the load asked of the server over what it can do, where it answered with that.
    HealthCheckResult {
        /// The server.
        server: ServerId,
        /// Load over capacity; None where the probe failed or the report lacks it.
        over: Option<f64>,
    },
    /// Messages at this server take this long.
    LatencyReport {
        /// The server.
        server: ServerId,
        /// What a message takes.
        delay: Nanos,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The request has had its final answer.
        done: bool,
    },
    /// The client left.
    ClientDisconnected(RequestId),
    /// A timer set by [`Action::SetTimer`] is due.
    Timer(u64),
    /// A list of servers, or the failure to get one.
    EndpointList(ListKind, Vec<Endpoint>),
}

/// What the balancer wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this.
        give_up: Nanos,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, a further try does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Advice to stay away, zero for none.
        cool_down: Nanos,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// End an open connection politely: the client comes again.
    Migrate(RequestId),
    /// Ask a server for its load, once: an [`Event::HealthCheckResult`] follows.
    HealthCheck(ServerId),
    /// Ask for an [`Event::Timer`] with this token.
    SetTimer {
        /// From now.
        after: Nanos,
        /// Returned as it is.
        token: u64,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
    /// A line for the people on call.
    Log(String),
}

impl Settings {
    /// Refuses settings that cannot be right, by name.
    pub fn check(&self) -> Result<(), SettingsError> {
        let unit = |x: f64| x.is_finite() && (0.0..=1.0).contains(&x);
        let problems = [
            (self.classes.is_empty(), "classes", "there must be a request class"),
            (self.classes.iter().any(|c| c.hard_limit == 0), "hard_limit", "must be above zero"),
            (self.max_attempts == 0, "max_attempts", "must be at least one"),
            (self.instances == 0, "instances", "must be at least one"),
            (!unit(self.slow_start_floor), "cold_from", "must be a fraction"),
            (
                !(self.overload_multiple.is_finite() && self.overload_multiple > 0.0),
                "fall_multiple",
                "must be above zero",
            ),
        ];
        match problems.into_iter().find(|(wrong, ..)| *wrong) {
            Some((_, field, problem)) => Err(SettingsError { field, problem }),
            None => Ok(()),
        }
    }
}

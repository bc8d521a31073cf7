//! Events: the input of the balancer.

use super::{Endpoint, ListKind, RequestId, ServerId};
use std::time::Duration;

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was served, or the health check succeeded.
    Ok,
    /// The server answered with an error, or with an unknown status code; the request may have run.
    Error,
    /// The server rejected the request before running it.
    Rejected,
    /// No answer within the timeout; the request may have run.
    Timeout,
    /// No connection was established.
    ConnectFailed,
    /// The connection was reset; the request may have run.
    Reset,
    /// Cancelled by the balancer or by the client; the request may have run.
    Cancelled,
    /// The request was not sent.
    NotSent,
    /// The request was not sent because this machine lacks a descriptor, a port or memory. This counts neither as an
    /// attempt nor as a failure of the server.
    LocalShortage,
}

impl Outcome {
    /// Whether this outcome proves that the server did not run the request.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent | Outcome::LocalShortage)
    }
}

/// The kind of an attempt, for retry admission.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AttemptKind {
    /// The first attempt for a new client.
    #[default]
    First,
    /// An attempt after a failed one, or the first one for a client that reconnects or retries its request.
    Retry,
}

/// A request that has arrived, or a connection that was handed over at start-up.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The id of the request, by which later events and actions refer to it.
    pub id: RequestId,
    /// Index into [`Settings::classes`](super::Settings::classes).
    pub class: usize,
    /// Time left until the client stops waiting for an answer.
    pub time_left: Duration,
    /// Expected load, as work time per second; unknown in some deployments.
    pub cost: Option<Duration>,
    /// The idempotency key, or the subject of the request.
    pub key: Option<u64>,
    /// The group of the request. Requests of a group share work: a server bears the cost of a group once, for any
    /// number of its requests.
    pub group: Option<u64>,
    /// The client reconnects because its connection was reset or migrated.
    pub reconnect: bool,
    /// The client retries a request that failed or was rejected.
    pub client_retry: bool,
    /// The connection is established already: its packets were routed through another node until now.
    pub rerouted: bool,
}

impl Arrival {
    /// Returns the value that determines the request's candidates, the same at all nodes: the group, or else the key
    /// unless the client reconnects. Requests of a group have the same candidates, so that few servers bear its cost.
    pub fn affinity_key(&self) -> Option<u64> {
        self.group.or(self.key.filter(|_| !self.reconnect))
    }

    /// Returns the kind of the request's first attempt.
    pub fn first_attempt_kind(&self) -> AttemptKind {
        if self.reconnect || self.client_retry {
            AttemptKind::Retry
        } else {
            AttemptKind::First
        }
    }
}

/// An event that the node reports to the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client's request has arrived.
    Request(Arrival),
    /// A connection to the server was already established when this node started.
    Resumed(Arrival, ServerId),
    /// An attempt succeeded: the connection is established.
    Established {
        /// The request of the attempt.
        id: RequestId,
        /// The server that accepted the attempt.
        server: ServerId,
        /// The time since the attempt was started.
        setup_time: Duration,
    },
    /// The current load of an established connection.
    LoadReport {
        /// The request that established the connection.
        id: RequestId,
        /// Load, as work time per second.
        cost: Duration,
    },
    /// The result of a health check.
    HealthCheckResult {
        /// The server that was checked.
        server: ServerId,
        /// Load divided by capacity; `None` if the check failed or its report does not contain the utilization.
        utilization: Option<f64>,
    },
    /// The current latency of messages at a server.
    LatencyReport {
        /// The server that reported the latency.
        server: ServerId,
        /// The latency of a message.
        latency: Duration,
    },
    /// An attempt or the connection that it established has ended.
    AttemptEnded {
        /// The request of the attempt.
        id: RequestId,
        /// The server of the attempt.
        server: ServerId,
        /// How the attempt or its connection ended.
        outcome: Outcome,
        /// The client has its final answer, so no retry follows.
        done: bool,
    },
    /// The client has disconnected.
    ClientDisconnected(RequestId),
    /// The timer that [`Action::SetTimer`](super::Action::SetTimer) set with this token has elapsed.
    Timer(u64),
    /// An endpoint list was received, or getting one failed.
    EndpointList(ListKind, Vec<Endpoint>),
}

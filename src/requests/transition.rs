//! Inputs and results of the state transitions that the ledger performs on requests.

use super::open_requests::RequestState;
use crate::frontend_id::FrontendId;
use crate::model::ServerId;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An attempt that the balancer has decided to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// The server to send the request to.
    pub server: ServerId,
    /// The attempt fails if it has not succeeded after this time.
    pub timeout: Duration,
    /// The request must not be written to the server at or after this time.
    pub send_by: MonotonicTime,
}

/// The time limits of an attempt, from its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptTimeouts {
    /// The time for establishing the connection.
    pub connect: Duration,
    /// The time until the server has answered.
    pub answer: Duration,
}

/// An attempt that has been started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    pub frontend: FrontendId,
    /// The attempt's time-out, limited to the time left until the request's deadline.
    pub timeout: Duration,
}

/// Why an attempt cannot be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRefusal {
    /// The request has ended, or is not waiting for an attempt.
    NotAwaitingAttempt,
    /// The quotas do not admit a retry now.
    OverQuota,
}

/// An attempt whose connection has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstablishedAttempt {
    /// The server of the connection.
    pub server: ServerId,
    /// Time since the attempt was started.
    pub setup_time: Duration,
}

/// An attempt that has ended, or whose established connection has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The server of the attempt.
    pub server: ServerId,
    /// Whether the request has ended too.
    pub is_final: bool,
}

/// An established connection that has been released to the successor process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasedConnection {
    /// The server of the connection.
    pub server: ServerId,
    /// When the request arrived.
    pub started_at: MonotonicTime,
}

/// A connection that has been closed so that its client reconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MigratedConnection {
    pub frontend: FrontendId,
    /// The server of the connection.
    pub server: ServerId,
}

/// A request that this node has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    pub frontend: FrontendId,
    /// The request's state before it ended.
    pub state: RequestState,
}

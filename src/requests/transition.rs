//! The inputs and results of the transitions of a request that the ledger makes.

use super::open_requests::RequestState;
use crate::frontend_id::FrontendId;
use crate::model::ServerId;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An attempt as the balancer wants it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptPlan {
    /// Its server.
    pub server: ServerId,
    /// The attempt fails if it has not succeeded after this time.
    pub timeout: Duration,
    /// The request is not to be written to the server from this time on.
    pub send_by: MonotonicTime,
}

/// An attempt that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    /// The request's frontend.
    pub frontend: FrontendId,
    /// The time that it has: no longer than the request's client waits.
    pub timeout: Duration,
}

/// Why an attempt was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The request waits for no attempt any more.
    NotWaiting,
    /// The quotas do not admit a retry now.
    OverQuota,
}

/// An attempt whose connection has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstablishedAttempt {
    /// Its server.
    pub server: ServerId,
    /// Time since it was sent.
    pub setup_time: Duration,
}

/// An attempt, or the connection that it established, that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Its server.
    pub server: ServerId,
    /// The request has ended with it.
    pub is_final: bool,
}

/// An established connection that has been handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleasedConnection {
    /// Its server.
    pub server: ServerId,
    /// When its request arrived.
    pub started_at: MonotonicTime,
}

/// An established connection that its client is to open anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MigratedConnection {
    /// The request's frontend.
    pub frontend: FrontendId,
    /// Its server.
    pub server: ServerId,
}

/// A request that this node has ended, with the state that it had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRequest {
    /// Its frontend.
    pub frontend: FrontendId,
    /// Its state until then.
    pub state: RequestState,
}

//! What the balancer wants a node to do.

use super::{Notice, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// What the balancer wants a node to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// The attempt fails if it has not succeeded after this time.
        timeout: Duration,
        /// The request is not to be written to the server from this time on.
        send_by: MonotonicTime,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt's number, from zero.
        attempt: u32,
    },
    /// Final answer: rejected. A retry by the client cannot run an effect twice.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. Nothing is promised about effects.
    Fail(RequestId),
    /// Close an established connection gracefully: the client reconnects and is placed anew.
    Migrate(RequestId),
    /// Check the server's load once: an [`Event::HealthCheckResult`](super::Event::HealthCheckResult) follows.
    HealthCheck(ServerId),
    /// Deliver an [`Event::Timer`](super::Event::Timer) with this token after a delay.
    SetTimer {
        /// The delay from now.
        after: Duration,
        /// Returned unchanged in the event.
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a notice to the log.
    Log(Notice),
}

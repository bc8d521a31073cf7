//! Actions: the output of the balancer.

use super::{Notice, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An action that the balancer requests from the node. Actions are carried out in the order in which they are emitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request that is sent; it has no other attempt in flight.
        id: RequestId,
        /// The server to which the request is sent.
        server: ServerId,
        /// The attempt fails if it has not succeeded within this time.
        timeout: Duration,
        /// The request must be written to the server before this time, or not at all.
        send_by: MonotonicTime,
    },
    /// Cancel an attempt in flight.
    CancelAttempt {
        /// The request whose attempt is cancelled.
        id: RequestId,
        /// The number of the attempt, counted from zero.
        attempt: u32,
    },
    /// Final answer: rejected. A retry by the client cannot run an effect twice.
    Reject {
        /// The request, which has no attempt in flight.
        id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Final answer: failed. The request may have had an effect.
    Fail(RequestId),
    /// Close an established connection gracefully; the client reconnects and a server is selected again.
    Migrate(RequestId),
    /// Check the server's load once. The result is an [`Event::HealthCheckResult`](super::Event::HealthCheckResult).
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

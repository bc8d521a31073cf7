//! Commands that the request table issues to the node.

use crate::frontend_id::FrontendId;
use crate::model::{Notice, RequestId, ServerId};
use std::time::Duration;

/// A command for the node to execute. `frontend` is the frontend through which the request arrived; the command is
/// addressed to it.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt of a request that has no other attempt in flight.
    StartAttempt {
        frontend: FrontendId,
        request_id: RequestId,
        /// The server to send the request to.
        server: ServerId,
        /// The attempt fails if it has not succeeded after this time.
        timeout: Duration,
    },
    /// Cancel the attempt in flight of a request.
    CancelAttempt { frontend: FrontendId, request_id: RequestId },
    /// Send the final answer "rejected".
    Reject {
        frontend: FrontendId,
        request_id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Send the final answer "failed".
    Fail { frontend: FrontendId, request_id: RequestId },
    /// Close an established connection gracefully, so that its client reconnects.
    Migrate { frontend: FrontendId, request_id: RequestId },
    /// Check a server's load once; the result is an
    /// [`Event::HealthCheckResult`](crate::model::Event::HealthCheckResult).
    HealthCheck { server: ServerId },
    /// Push an [`Event::Timer`](crate::model::Event::Timer) with this token after a delay.
    SetTimer {
        /// The delay from now.
        after: Duration,
        /// Returned unchanged in the event.
        token: u64,
    },
    /// Start a watch on the endpoint registry.
    Subscribe,
    /// Write a notice to the log.
    Log(Notice),
}

//! Commands of the request table to the node.

use crate::frontend_id::FrontendId;
use crate::model::{Notice, RequestId, ServerId};
use std::time::Duration;

/// A command that the node carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start the only attempt of a request.
    StartAttempt {
        /// The request's frontend.
        frontend: FrontendId,
        /// The request.
        request_id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// How long the attempt may take.
        timeout: Duration,
    },
    /// Cancel the attempt of a request.
    CancelAttempt {
        /// The request's frontend.
        frontend: FrontendId,
        /// The request.
        request_id: RequestId,
    },
    /// Send the final answer "rejected".
    Reject {
        /// The request's frontend.
        frontend: FrontendId,
        /// The request.
        request_id: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Send the final answer "failed".
    Fail {
        /// The request's frontend.
        frontend: FrontendId,
        /// The request.
        request_id: RequestId,
    },
    /// Tell the client of an established connection to reconnect.
    Migrate {
        /// The request's frontend.
        frontend: FrontendId,
        /// The request.
        request_id: RequestId,
    },
    /// Request a server's load report; an [`Event::HealthCheckResult`](crate::model::Event::HealthCheckResult)
    /// answers it.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Push an [`Event::Timer`](crate::model::Event::Timer) with this token.
    SetTimer {
        /// The delay from now.
        after: Duration,
        /// Returned as it is.
        token: u64,
    },
    /// Start a watch on the endpoint registry.
    Subscribe,
    /// Write a notice to the log.
    Log(Notice),
}

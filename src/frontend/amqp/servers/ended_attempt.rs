//! Ended attempts at servers, which the handler of server events reports to the owners of the requests.

use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::model::{Outcome, RequestId};

/// An attempt at a server that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedAttempt {
    /// The attempt of a delivery.
    Delivery {
        /// The request of the delivery.
        request_id: RequestId,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
    /// The attempt of a forwarder for which no link could be attached.
    Forwarder {
        /// The forwarder of the request.
        id: ForwarderId,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
}

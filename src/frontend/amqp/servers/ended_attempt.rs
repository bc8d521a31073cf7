//! The ends of attempts at servers, which the handler of servers' events passes on to the attempts' owners.

use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::model::{Outcome, RequestId};

/// An attempt at a server that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndedAttempt {
    /// A delivery's attempt.
    Delivery {
        /// The request.
        request_id: RequestId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A forwarder's attempt: it got no link.
    Forwarder {
        /// The forwarder.
        id: ForwarderId,
        /// Its outcome.
        outcome: Outcome,
    },
}

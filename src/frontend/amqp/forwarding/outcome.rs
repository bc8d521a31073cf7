//! What a server's detach says about the attempt of a forwarder.

use crate::model::Outcome;
use sparbank_amqp::condition;

/// The outcome of an attempt whose attach the server refused with this condition.
pub fn refused_attach_outcome(condition: Option<&str>) -> Outcome {
    match condition {
        None => Outcome::Rejected,
        Some(
            condition::RESOURCE_LIMIT_EXCEEDED
            | condition::DETACH_FORCED
            | condition::LINK_REDIRECT
            | condition::CONNECTION_FORCED,
        ) => Outcome::Rejected,
        Some(_) => Outcome::Error,
    }
}

/// The outcome of an established connection that the server detached with this condition.
pub fn detached_outcome(condition: Option<&str>) -> Outcome {
    match condition {
        None => Outcome::Ok,
        Some(condition::DETACH_FORCED | condition::LINK_REDIRECT) => Outcome::Cancelled,
        Some(_) => Outcome::Reset,
    }
}

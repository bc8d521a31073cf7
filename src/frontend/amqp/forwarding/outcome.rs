//! Maps the error condition of a server's detach to the outcome of a forwarder's attempt.

use crate::model::Outcome;
use sparbank_amqp::condition;

/// Returns the outcome of an attempt whose attach the server refused with this condition.
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

/// Returns the outcome of an established connection whose link the server detached with this condition.
pub fn detached_outcome(condition: Option<&str>) -> Outcome {
    match condition {
        None => Outcome::Ok,
        Some(condition::DETACH_FORCED | condition::LINK_REDIRECT) => Outcome::Cancelled,
        Some(_) => Outcome::Reset,
    }
}

//! The answers that clients get: delivery states and errors. Their texts belong to the wire.

use super::config::Redirect;
use sparbank_amqp::{condition, Error, State, Value};

/// When clients that were rejected for lack of capacity may retry, in milliseconds.
pub const RETRY_AFTER_MS: u32 = 500;

/// The request was rejected and did not run: it may be retried after this time.
pub fn rejected_state(retry_after_ms: u32) -> State {
    let annotations = Value::Map(vec![(Value::symbol("retry-after"), Value::Uint(retry_after_ms))]);
    State::Modified { failed: false, undeliverable_here: false, annotations: Some(Box::new(annotations)) }
}

/// The request failed: it may have run.
pub fn failed_state() -> State {
    State::Modified { failed: true, undeliverable_here: false, annotations: None }
}

/// Nothing is known any more of a delivery in the peer's unsettled map: it may have run.
pub fn unknown_state() -> State {
    let annotations = Value::Map(vec![(Value::symbol("fate"), Value::symbol("unknown"))]);
    State::Modified { failed: true, undeliverable_here: false, annotations: Some(Box::new(annotations)) }
}

/// The message breaks the standard or names no class: retrying is of no use.
pub fn invalid_state(error: Error) -> State {
    State::Rejected(Some(Box::new(error)))
}

/// An error that says when to retry.
pub fn retry_error(condition: &str, description: &str, retry_after_ms: u32) -> Error {
    let info = Value::Map(vec![(Value::symbol("retry-after"), Value::Uint(retry_after_ms))]);
    Error { info: Some(info), ..Error::new(condition, description) }
}

/// Why the node closes a connection when it shuts down (standard, section 2.8.16).
pub fn shutdown_error(redirect: Option<&Redirect>) -> Error {
    let Some(redirect) = redirect else {
        return Error::new(condition::CONNECTION_FORCED, "the node leaves");
    };
    let info = vec![
        (Value::symbol("hostname"), Value::text(&redirect.hostname)),
        (Value::symbol("network-host"), Value::text(&redirect.network_host)),
        (Value::symbol("port"), Value::Ushort(redirect.port)),
    ];
    Error {
        info: Some(Value::Map(info)),
        ..Error::new(condition::CONNECTION_REDIRECT, "the node leaves; connect there")
    }
}

//! The delivery states and errors that are sent to clients. Their texts are part of the wire format.

use super::config::Redirect;
use sparbank_amqp::{condition, Error, State, Value};

/// The time, in milliseconds, after which clients that were rejected for lack of capacity may retry.
pub const RETRY_AFTER_MS: u32 = 500;

/// The state of a request that was rejected and has not run. The client may retry it after this time.
pub fn rejected_state(retry_after_ms: u32) -> State {
    let annotations = Value::Map(vec![(Value::symbol("retry-after"), Value::Uint(retry_after_ms))]);
    State::Modified {
        delivery_failed: false,
        undeliverable_here: false,
        annotations: Some(Box::new(annotations)),
    }
}

/// The state of a request that failed and may have run.
pub fn failed_state() -> State {
    State::Modified { delivery_failed: true, undeliverable_here: false, annotations: None }
}

/// The state of a resumed delivery whose status is not retained. Its request may have run.
pub fn unknown_state() -> State {
    let annotations = Value::Map(vec![(Value::symbol("fate"), Value::symbol("unknown"))]);
    State::Modified {
        delivery_failed: true,
        undeliverable_here: false,
        annotations: Some(Box::new(annotations)),
    }
}

/// The state of a message that the node cannot accept: it violates the standard, or it names no class that the client
/// may use. A retry cannot succeed.
pub fn invalid_state(error: Error) -> State {
    State::Rejected(Some(Box::new(error)))
}

/// An error whose `retry-after` information holds the time, in milliseconds, after which the client may retry.
pub fn retry_error(condition: &str, description: &str, retry_after_ms: u32) -> Error {
    let info = Value::Map(vec![(Value::symbol("retry-after"), Value::Uint(retry_after_ms))]);
    Error { info: Some(info), ..Error::new(condition, description) }
}

/// The error with which the node closes connections when it shuts down (AMQP 1.0, section 2.8.16).
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

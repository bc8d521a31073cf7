//! Errors in batches and events from the simulator.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::fmt;

/// The reason why an event cannot be handled. Its text names the invalid field, if that is known.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventError {
    /// The line is not UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// A document does not have the expected format.
    #[error(transparent)]
    InvalidDocument(#[from] JsonError),
    /// The settings of an instance are inconsistent or out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The reply cannot be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// A field is missing.
    #[error("field {0}: missing")]
    MissingField(&'static str),
    /// The event is for an instance that was never started, or that has crashed.
    #[error("field I: this instance was never started")]
    UnknownInstance,
    /// The event refers to an endpoint list that was never sent.
    #[error("field Slot: list {0} was never sent")]
    UnknownList(usize),
    /// The name of the event is not known.
    #[error("field msg: unknown event")]
    UnknownEvent,
}

/// The reason why a batch cannot be handled: the error and its location in the batch, if that is known.
#[derive(Debug, thiserror::Error)]
#[error("frame {}, instance {}, {event}: {error}", NumberOrUnknown(.frame), NumberOrUnknown(.instance))]
pub struct BatchError {
    pub(super) frame: Option<u64>,
    pub(super) instance: Option<u64>,
    /// The name of the event, `event` if it cannot be decoded, or `batch` for the batch itself.
    pub(super) event: String,
    #[source]
    pub(super) error: EventError,
}

impl BatchError {
    /// Creates an error of the batch itself rather than of one of its events.
    pub(super) fn in_batch(error: impl Into<EventError>) -> BatchError {
        BatchError { frame: None, instance: None, event: "batch".to_string(), error: error.into() }
    }
}

/// Displays a number, or `unknown` if there is none.
struct NumberOrUnknown<'a>(&'a Option<u64>);

impl fmt::Display for NumberOrUnknown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("unknown"),
        }
    }
}

//! Errors of the simulator's wire.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::fmt;

/// Why an event cannot be handled. Displays with the field at fault, as far as it is known.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum EventError {
    /// The line is not UTF-8.
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    /// A document does not have its form.
    #[error(transparent)]
    InvalidDocument(#[from] JsonError),
    /// The settings of an instance are contradictory or out of range.
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
    /// The event has a name that is not known.
    #[error("field msg: unknown event")]
    UnknownEvent,
}

/// Why a batch cannot be handled: the error, and where in the batch it is, as far as that is known.
#[derive(Debug, thiserror::Error)]
#[error("frame {}, instance {}, {event}: {error}", OrUnknown(.frame), OrUnknown(.instance))]
pub struct BatchError {
    pub(super) frame: Option<u64>,
    pub(super) instance: Option<u64>,
    /// Name of the event, or `batch` for the batch itself.
    pub(super) event: String,
    #[source]
    pub(super) error: EventError,
}

impl BatchError {
    /// An error of the batch itself, before any event.
    pub(super) fn of_batch(error: impl Into<EventError>) -> BatchError {
        BatchError { frame: None, instance: None, event: "batch".to_string(), error: error.into() }
    }
}

/// Displays a number that may not be known.
struct OrUnknown<'a>(&'a Option<u64>);

impl fmt::Display for OrUnknown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number}"),
            None => f.write_str("unknown"),
        }
    }
}

//! Errors of the simulator's wire.

use crate::json::JsonError;
use crate::model::SettingsError;
use std::fmt;

/// Why an event cannot be handled. `Display` names the field, as far as it is known.
#[derive(Debug)]
#[non_exhaustive]
pub enum EventError {
    /// The line is not UTF-8.
    NotUtf8(std::str::Utf8Error),
    /// A document does not have its form.
    InvalidDocument(JsonError),
    /// The settings of an instance are contradictory or out of range.
    Settings(SettingsError),
    /// The reply cannot be encoded.
    Encode(serde_json::Error),
    /// A field is missing.
    MissingField(&'static str),
    /// The event is for an instance that was never started, or that has crashed.
    UnknownInstance,
    /// The event refers to an endpoint list that was never sent.
    UnknownList(usize),
    /// The event has a name that is not known.
    UnknownEvent,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::NotUtf8(error) => write!(f, "not UTF-8: {error}"),
            EventError::InvalidDocument(error) => write!(f, "{error}"),
            EventError::Settings(error) => write!(f, "{error}"),
            EventError::Encode(error) => write!(f, "{error}"),
            EventError::MissingField(field) => write!(f, "field {field}: missing"),
            EventError::UnknownInstance => write!(f, "field I: this instance was never started"),
            EventError::UnknownList(slot) => write!(f, "field Slot: list {slot} was never sent"),
            EventError::UnknownEvent => write!(f, "field msg: unknown event"),
        }
    }
}

impl std::error::Error for EventError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            EventError::NotUtf8(error) => Some(error),
            EventError::InvalidDocument(error) => Some(error),
            EventError::Settings(error) => Some(error),
            EventError::Encode(error) => Some(error),
            _ => None,
        }
    }
}

/// Why a batch cannot be handled: the error, and where in the batch it is, as far as that is known.
#[derive(Debug)]
pub struct BatchError {
    pub(super) frame: Option<u64>,
    pub(super) instance: Option<u64>,
    /// Name of the event, or `batch` for the batch itself.
    pub(super) event: String,
    pub(super) error: EventError,
}

impl BatchError {
    /// An error of the batch itself, before any event.
    pub(super) fn of_batch(error: EventError) -> BatchError {
        BatchError { frame: None, instance: None, event: "batch".to_string(), error }
    }
}

impl fmt::Display for BatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let or_unknown = |number: Option<u64>| number.map_or("unknown".to_string(), |n| n.to_string());
        let frame = or_unknown(self.frame);
        let instance = or_unknown(self.instance);
        write!(f, "frame {frame}, instance {instance}, {}: {}", self.event, self.error)
    }
}

impl std::error::Error for BatchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

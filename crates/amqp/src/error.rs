//! Error conditions and what ends a connection, session or link.

use crate::codec::DecodeError;
use crate::performative::Composite;
use crate::value::Value;
use std::fmt;

/// Standard error conditions (part 2, 2.8.15 to 2.8.18; part 4, 4.5.8).
#[allow(missing_docs)]
pub mod condition {
    pub const INTERNAL_ERROR: &str = "amqp:internal-error";
    pub const NOT_FOUND: &str = "amqp:not-found";
    pub const UNAUTHORIZED_ACCESS: &str = "amqp:unauthorized-access";
    pub const DECODE_ERROR: &str = "amqp:decode-error";
    pub const RESOURCE_LIMIT_EXCEEDED: &str = "amqp:resource-limit-exceeded";
    pub const NOT_ALLOWED: &str = "amqp:not-allowed";
    pub const INVALID_FIELD: &str = "amqp:invalid-field";
    pub const NOT_IMPLEMENTED: &str = "amqp:not-implemented";
    pub const PRECONDITION_FAILED: &str = "amqp:precondition-failed";
    pub const ILLEGAL_STATE: &str = "amqp:illegal-state";
    pub const FRAME_SIZE_TOO_SMALL: &str = "amqp:frame-size-too-small";
    pub const CONNECTION_FORCED: &str = "amqp:connection:forced";
    pub const FRAMING_ERROR: &str = "amqp:connection:framing-error";
    pub const CONNECTION_REDIRECT: &str = "amqp:connection:redirect";
    pub const WINDOW_VIOLATION: &str = "amqp:session:window-violation";
    pub const ERRANT_LINK: &str = "amqp:session:errant-link";
    pub const HANDLE_IN_USE: &str = "amqp:session:handle-in-use";
    pub const UNATTACHED_HANDLE: &str = "amqp:session:unattached-handle";
    pub const DETACH_FORCED: &str = "amqp:link:detach-forced";
    pub const TRANSFER_LIMIT_EXCEEDED: &str = "amqp:link:transfer-limit-exceeded";
    pub const MESSAGE_SIZE_EXCEEDED: &str = "amqp:link:message-size-exceeded";
    pub const LINK_REDIRECT: &str = "amqp:link:redirect";
    pub const STOLEN: &str = "amqp:link:stolen";
}

/// Why this side ends a connection: a standard condition and words for people.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// One of [`condition`].
    pub condition: &'static str,
    /// For people.
    pub words: String,
}

/// A fault with a standard condition.
pub fn fault(condition: &'static str, words: impl Into<String>) -> Fault {
    Fault { condition, words: words.into() }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.condition, self.words)
    }
}

impl std::error::Error for Fault {}

impl From<DecodeError> for Fault {
    fn from(error: DecodeError) -> Fault {
        let condition = match error {
            DecodeError::FrameSize => condition::FRAMING_ERROR,
            DecodeError::Field(_) => condition::INVALID_FIELD,
            _ => condition::DECODE_ERROR,
        };
        fault(condition, error.to_string())
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Error {
        Error { condition: fault.condition.to_string(), description: Some(fault.words), info: None }
    }
}

/// An error as it stands on the wire (part 2, 2.8.14).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Error {
    /// A symbol, standard or the sender's own.
    pub condition: String,
    /// For people.
    pub description: Option<String>,
    /// A map of further facts.
    pub info: Option<Value>,
}

impl Error {
    /// An error of this condition.
    pub fn new(condition: &str, description: &str) -> Error {
        Error { condition: condition.into(), description: Some(description.into()), info: None }
    }
}

impl Composite for Error {
    const CODE: u64 = 0x1d;
    const NAME: &'static str = "amqp:error:list";

    fn read_fields(body: &mut crate::performative::Fields<'_>) -> crate::codec::Result<Error> {
        let crate::performative::Symbol(condition) =
            body.next("condition")?.ok_or(DecodeError::Field("condition"))?;
        Ok(Error { condition, description: body.next("description")?, info: body.next("info")? })
    }

    fn write_fields(&self, out: &mut crate::performative::Writer<'_>) {
        out.put(&Some(crate::performative::Symbol(self.condition.clone())));
        out.put(&self.description);
        out.put(&self.info);
    }
}

//! Error conditions, and the errors with which a connection, session or link ends.

use crate::codec::{DecodeError, Reader, Result};
use crate::composite::{Composite, Field, FieldReader, FieldWriter};
use crate::primitives::Symbol;
use crate::value::Value;

/// The error conditions that the standard defines (sections 2.8.15 to 2.8.18 and 4.5.8).
#[allow(missing_docs)] // The symbols are documented in the standard.
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

/// An error detected locally that ends the connection or, for session conditions, the session.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{condition}: {description}")]
pub struct Fault {
    /// One of the constants in [`condition`].
    pub condition: &'static str,
    /// The text for logs, and for the error that is sent to the peer.
    pub description: String,
}

/// Creates a fault with one of the standard conditions.
pub fn fault(condition: &'static str, description: impl Into<String>) -> Fault {
    Fault { condition, description: description.into() }
}

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

/// An error as sent to or received from a peer (standard, section 2.8.14).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Error {
    /// The error condition: a symbol of the standard or one defined by the sender.
    pub condition: String,
    /// A text for people, which programs do not interpret; `None` if the sender gave none.
    pub description: Option<String>,
    /// A map with additional information, whose keys depend on the condition.
    pub info: Option<Value>,
}

impl Error {
    /// Creates an error without an `info` map.
    pub fn new(condition: &str, description: &str) -> Error {
        Error { condition: condition.into(), description: Some(description.into()), info: None }
    }
}

impl From<Fault> for Error {
    fn from(fault: Fault) -> Error {
        Error { condition: fault.condition.to_string(), description: Some(fault.description), info: None }
    }
}

impl From<DecodeError> for Error {
    fn from(error: DecodeError) -> Error {
        Fault::from(error).into()
    }
}

impl Composite for Error {
    const CODE: u64 = 0x1d;
    const NAME: &'static str = "amqp:error:list";

    fn read_fields(fields: &mut FieldReader<'_>) -> Result<Error> {
        let Symbol(condition) = fields.required("condition")?;
        Ok(Error { condition, description: fields.next("description")?, info: fields.next("info")? })
    }

    fn write_fields(&self, out: &mut FieldWriter<'_>) {
        out.put(&Some(Symbol(self.condition.clone())));
        out.put(&self.description);
        out.put(&self.info);
    }

    fn fields_heap_bytes(&self) -> usize {
        let in_description = self.description.as_ref().map_or(0, Field::heap_bytes);
        self.condition.capacity() + in_description + self.info.as_ref().map_or(0, Value::heap_bytes)
    }
}

impl Field for Box<Error> {
    fn read(reader: &mut Reader<'_>) -> Result<Box<Error>> {
        Error::read(reader).map(Box::new)
    }

    fn write(&self, out: &mut Vec<u8>) {
        (**self).write(out);
    }
}

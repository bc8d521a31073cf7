//! Errors of decoding.

use std::fmt;

/// Bytes that are not AMQP 1.0, or more of it than is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// A value ends before its time.
    Short,
    /// A constructor that the standard does not know.
    Code(u8),
    /// Text that is not UTF-8, a symbol that is not ASCII, or a character that is none.
    Text,
    /// Values nested deeper, or more of them, than is taken.
    TooMuch,
    /// A map with an odd count or with one key twice.
    Map,
    /// A frame above the size that was agreed, or below its own header.
    FrameSize,
    /// A field that is missing or of the wrong type.
    Field(&'static str),
    /// A descriptor that means nothing here.
    Descriptor,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DecodeError::Short => write!(f, "a value is cut short"),
            DecodeError::Code(code) => write!(f, "unknown constructor {code:#04x}"),
            DecodeError::Text => write!(f, "text that cannot be read"),
            DecodeError::TooMuch => write!(f, "nested too deep or too many values"),
            DecodeError::Map => write!(f, "a map of an odd count or with a key twice"),
            DecodeError::FrameSize => write!(f, "a frame of the wrong size"),
            DecodeError::Field(name) => write!(f, "field {name} is missing or of the wrong type"),
            DecodeError::Descriptor => write!(f, "an unexpected descriptor"),
        }
    }
}

impl std::error::Error for DecodeError {}

/// What decoding gives.
pub type Result<T> = std::result::Result<T, DecodeError>;

//! Decoding errors.

/// Why octets cannot be decoded: they are not valid AMQP 1.0, or exceed a limit of this library.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The input ends in the middle of a value.
    #[error("a value is cut short")]
    Truncated,
    /// A format code that the standard does not define, or a boolean octet other than 0 and 1.
    #[error("unknown constructor {0:#04x}")]
    InvalidConstructor(u8),
    /// A string that is not UTF-8, a symbol that is not ASCII, or a char that is not a Unicode scalar value.
    #[error("text that cannot be read")]
    InvalidText,
    /// Values are nested too deeply, there are too many of them, or a compound value is longer than its elements.
    #[error("nested too deep or too many values")]
    LimitExceeded,
    /// A map has an odd number of elements, or a duplicate key.
    #[error("a map of an odd count or with a key twice")]
    InvalidMap,
    /// A frame exceeds the negotiated maximum size, or is smaller than its own header.
    #[error("a frame of the wrong size")]
    FrameSize,
    /// The named field is missing or of the wrong type.
    #[error("field {0} is missing or of the wrong type")]
    Field(&'static str),
    /// A descriptor that is not valid in this position.
    #[error("an unexpected descriptor")]
    UnexpectedDescriptor,
}

/// The result of a decoding operation.
pub type Result<T> = std::result::Result<T, DecodeError>;

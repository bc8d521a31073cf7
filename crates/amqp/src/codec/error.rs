//! Errors of decoding.

/// Octets that are not AMQP 1.0, or that exceed what this library accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The octets end before a value does.
    #[error("a value is cut short")]
    Short,
    /// A constructor that the standard does not define.
    #[error("unknown constructor {0:#04x}")]
    Code(u8),
    /// Text that is not UTF-8, a symbol that is not ASCII, or a number that is no Unicode character.
    #[error("text that cannot be read")]
    Text,
    /// Values are nested deeper, or there are more of them, than this library accepts.
    #[error("nested too deep or too many values")]
    TooMuch,
    /// A map has an odd count of elements, or a key twice.
    #[error("a map of an odd count or with a key twice")]
    Map,
    /// A frame is larger than what was agreed, or smaller than its own header.
    #[error("a frame of the wrong size")]
    FrameSize,
    /// A field is missing or of the wrong type.
    #[error("field {0} is missing or of the wrong type")]
    Field(&'static str),
    /// A descriptor that has no meaning here.
    #[error("an unexpected descriptor")]
    Descriptor,
}

/// The result of decoding.
pub type Result<T> = std::result::Result<T, DecodeError>;

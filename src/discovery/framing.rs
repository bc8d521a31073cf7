//! Divides the body of a watch into JSON objects and empty lines, sans I/O.
//!
//! An object may span several lines, and its bytes may arrive in pieces. Only strings and brackets are tracked here;
//! the object itself is parsed once it is complete.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest incomplete object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// Why the body cannot be divided into objects.
///
/// The text is what `docs/ON-CALL.md` lists for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// An object was truncated: a line end inside a string, or an empty line inside an object.
    #[error("malformed JSON")]
    Truncated,
    /// An object is longer than [`MAX_OBJECT_BYTES`].
    #[error("object too long")]
    TooLong,
}

/// Position of a byte in a JSON text. The handover carries its serde names, so they are fixed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Nesting {
    /// Open brackets.
    depth: u32,
    in_string: bool,
    /// The last byte was a backslash that escapes the next one.
    escaped: bool,
    /// Only blanks have followed the last line end.
    #[serde(rename = "blank")]
    line_is_blank: bool,
}

impl Nesting {
    /// Advances over the next byte; true where it is the line end after an object, or that of an empty line.
    fn advance(&mut self, byte: u8) -> Result<bool, FramingError> {
        if self.in_string {
            self.advance_in_string(byte)?;
            return Ok(false);
        }
        match byte {
            // No service writes an empty line inside an object: the object was truncated.
            b'\n' if self.depth > 0 && self.line_is_blank => return Err(FramingError::Truncated),
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        self.line_is_blank = byte == b'\n' || (self.line_is_blank && byte.is_ascii_whitespace());
        Ok(byte == b'\n' && self.depth == 0)
    }

    fn advance_in_string(&mut self, byte: u8) -> Result<(), FramingError> {
        match byte {
            b'\n' => return Err(FramingError::Truncated),
            b'"' if !self.escaped => self.in_string = false,
            _ => {}
        }
        self.escaped = byte == b'\\' && !self.escaped;
        Ok(())
    }
}

/// The body of a watch as far as it has arrived.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct ObjectFramer {
    /// The bytes of the next object or empty line.
    #[serde(rename = "line")]
    partial: Vec<u8>,
    #[serde(default)]
    nesting: Nesting,
}

impl ObjectFramer {
    /// Number of bytes of the object that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds bytes of the body and appends each object or empty line that they complete to `frames`, with its line
    /// end. What was completed before an error is appended too.
    ///
    /// # Errors
    ///
    /// [`FramingError`] where an object is truncated or too long. The framer must not be used afterwards.
    pub fn push(
        &mut self,
        bytes: impl Iterator<Item = u8>,
        frames: &mut Vec<Vec<u8>>,
    ) -> Result<(), FramingError> {
        for byte in bytes {
            self.partial.push(byte);
            if self.nesting.advance(byte)? {
                frames.push(std::mem::take(&mut self.partial));
            }
        }
        if self.partial.len() > MAX_OBJECT_BYTES {
            return Err(FramingError::TooLong);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

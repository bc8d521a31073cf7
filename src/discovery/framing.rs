//! Splits the body of a watch into JSON objects and empty lines, without I/O.
//!
//! An object may span several lines, and its bytes may arrive in pieces. The scanner only tracks strings and brackets;
//! an object is parsed once it is complete.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum size of an incomplete object, in bytes.
const MAX_OBJECT_BYTES: usize = 1024 * 1024;

/// The reason why the body cannot be split into objects.
///
/// `docs/ON-CALL.md` lists these texts for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// An object is truncated: there is a line end inside a string, or an empty line inside an object.
    #[error("malformed JSON")]
    Truncated,
    /// An incomplete object is longer than [`MAX_OBJECT_BYTES`].
    #[error("object too long")]
    TooLong,
}

/// State of the JSON scanner. It is part of the handover state, so the serde names are fixed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct ScannerState {
    /// Number of open brackets.
    depth: u32,
    in_string: bool,
    /// The last byte was a backslash that escapes the next one.
    escaped: bool,
    /// Only whitespace has followed the last line end.
    #[serde(rename = "blank")]
    line_is_blank: bool,
}

impl ScannerState {
    /// Scans the next byte. Returns whether it completes a frame: it is the line end after an object or that of an
    /// empty line.
    fn advance(&mut self, byte: u8) -> Result<bool, FramingError> {
        if self.in_string {
            self.advance_in_string(byte)?;
            return Ok(false);
        }
        match byte {
            // The service never writes an empty line inside an object, so the object was truncated.
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

/// Splits the body of one watch into frames: JSON objects and empty lines, each with its line end.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct ObjectFramer {
    /// The bytes of the incomplete frame.
    #[serde(rename = "line")]
    partial_frame: Vec<u8>,
    #[serde(default, rename = "nesting")]
    scanner: ScannerState,
}

impl ObjectFramer {
    /// Returns the size of the incomplete frame.
    pub fn buffered_bytes(&self) -> usize {
        self.partial_frame.len()
    }

    /// Scans bytes of the body and appends each frame that they complete to `frames`. Frames that were completed before
    /// an error are appended too.
    ///
    /// # Errors
    ///
    /// [`FramingError`] if an object is truncated or too long. The framer must not be used after an error.
    pub fn push(
        &mut self,
        bytes: impl Iterator<Item = u8>,
        frames: &mut Vec<Vec<u8>>,
    ) -> Result<(), FramingError> {
        for byte in bytes {
            self.partial_frame.push(byte);
            if self.scanner.advance(byte)? {
                frames.push(std::mem::take(&mut self.partial_frame));
            }
        }
        if self.partial_frame.len() > MAX_OBJECT_BYTES {
            return Err(FramingError::TooLong);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;

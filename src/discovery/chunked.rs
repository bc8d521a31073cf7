//! Decoder for a chunked HTTP/1.1 response, sans I/O.
//!
//! Bytes are fed in as they arrive, cut anywhere; [`ChunkedDecoder::next_data`] is polled for the body's bytes.

use serde::{Deserialize, Serialize};
use std::vec::Drain;
use thiserror::Error;

/// Longest response head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Longest chunk-size line, extensions included, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 64;

/// Why a response cannot be decoded any further.
///
/// The text is what `docs/ON-CALL.md` lists for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The response is complete.
    #[error("ended")]
    Ended,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("response head too long")]
    HeadTooLong,
    /// The head is not that of an HTTP/1.x response.
    #[error("response is not HTTP")]
    NotHttp,
    /// The status code is not 200.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The body is not in the chunked transfer coding.
    #[error("response is not chunked")]
    NotChunked,
    /// A chunk size or the end of a chunk is malformed.
    #[error("malformed chunk")]
    InvalidChunk,
}

/// The element of the response that is decoded next. The handover carries its serde names, so they are fixed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
enum Stage {
    /// The status line and the header fields.
    #[default]
    #[serde(rename = "Head")]
    Head,
    /// The line with a chunk's size.
    #[serde(rename = "Size")]
    ChunkSize,
    /// So many more bytes of a chunk's data.
    #[serde(rename = "Data")]
    ChunkData(usize),
    /// The line end after a chunk's data.
    #[serde(rename = "DataEnd")]
    ChunkEnd,
}

/// A response as far as it has arrived.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct ChunkedDecoder {
    stage: Stage,
    /// Bytes that have arrived and are not decoded yet.
    #[serde(rename = "bytes")]
    buffer: Vec<u8>,
}

impl ChunkedDecoder {
    /// Adds bytes that have arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes that have arrived and are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next bytes of the body; none until more has been fed.
    ///
    /// # Errors
    ///
    /// [`ResponseError::Ended`] after the last chunk, the other variants for anything but a chunked response with status
    /// 200. The decoder must not be used afterwards.
    pub fn next_data(&mut self) -> Result<Option<Drain<'_, u8>>, ResponseError> {
        loop {
            let next_stage = match self.stage {
                Stage::Head => self.decode_head()?,
                Stage::ChunkSize => self.decode_chunk_size()?,
                Stage::ChunkData(remaining) => return Ok(self.decode_chunk_data(remaining)),
                Stage::ChunkEnd => self.decode_chunk_end()?,
            };
            match next_stage {
                Some(stage) => self.stage = stage,
                None => return Ok(None),
            }
        }
    }

    fn decode_head(&mut self) -> Result<Option<Stage>, ResponseError> {
        let Some(head_length) = find(&self.buffer, b"\r\n\r\n") else {
            let too_long = self.buffer.len() > MAX_HEAD_BYTES;
            return if too_long { Err(ResponseError::HeadTooLong) } else { Ok(None) };
        };
        check_head(&self.buffer[..head_length])?;
        self.buffer.drain(..head_length + 4);
        Ok(Some(Stage::ChunkSize))
    }

    fn decode_chunk_size(&mut self) -> Result<Option<Stage>, ResponseError> {
        let Some(line_length) = find(&self.buffer, b"\r\n") else {
            let too_long = self.buffer.len() > MAX_CHUNK_SIZE_LINE_BYTES;
            return if too_long { Err(ResponseError::InvalidChunk) } else { Ok(None) };
        };
        let line = &self.buffer[..line_length];
        let line = std::str::from_utf8(line).map_err(|_| ResponseError::InvalidChunk)?;
        let digits = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(digits, 16).map_err(|_| ResponseError::InvalidChunk)?;
        self.buffer.drain(..line_length + 2);
        if size == 0 {
            return Err(ResponseError::Ended);
        }
        Ok(Some(Stage::ChunkData(size)))
    }

    fn decode_chunk_data(&mut self, remaining: usize) -> Option<Drain<'_, u8>> {
        let count = remaining.min(self.buffer.len());
        if count == 0 {
            return None;
        }
        self.stage = if remaining == count { Stage::ChunkEnd } else { Stage::ChunkData(remaining - count) };
        Some(self.buffer.drain(..count))
    }

    fn decode_chunk_end(&mut self) -> Result<Option<Stage>, ResponseError> {
        if self.buffer.len() < 2 {
            return Ok(None);
        }
        if &self.buffer[..2] != b"\r\n" {
            return Err(ResponseError::InvalidChunk);
        }
        self.buffer.drain(..2);
        Ok(Some(Stage::ChunkSize))
    }
}

/// Accepts the head of a response with status 200 and a chunked body.
fn check_head(head: &[u8]) -> Result<(), ResponseError> {
    let text = std::str::from_utf8(head).map_err(|_| ResponseError::NotHttp)?;
    let mut lines = text.split("\r\n");
    let mut status_line = lines.next().unwrap_or("").split(' ');
    if !status_line.next().is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Err(ResponseError::NotHttp);
    }
    match status_line.next().and_then(|code| code.parse().ok()) {
        Some(200) => {}
        Some(code) => return Err(ResponseError::Status(code)),
        None => return Err(ResponseError::NotHttp),
    }
    if lines.any(is_chunked_header) {
        Ok(())
    } else {
        Err(ResponseError::NotChunked)
    }
}

fn is_chunked_header(line: &str) -> bool {
    line.split_once(':').is_some_and(|(name, value)| {
        name.eq_ignore_ascii_case("transfer-encoding") && value.trim().eq_ignore_ascii_case("chunked")
    })
}

/// Position of the first occurrence of a sequence of bytes.
fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

#[cfg(test)]
mod tests;

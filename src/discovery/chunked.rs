//! Incremental decoder for a chunked HTTP/1.1 response, without I/O.
//!
//! Input is fed as it arrives, split at arbitrary positions; [`ChunkedDecoder::next_data`] returns the bytes of the
//! body.

use serde::{Deserialize, Serialize};
use std::vec::Drain;
use thiserror::Error;

/// Maximum length of the response head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a chunk-size line, including chunk extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 64;

/// The reason why decoding of a response has stopped.
///
/// `docs/ON-CALL.md` lists these texts for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResponseError {
    /// The last chunk has arrived, or the connection ended.
    #[error("discovery ended the response")]
    Ended,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("response head too long")]
    HeadTooLong,
    /// The head is not a valid HTTP/1.x response head.
    #[error("response is not HTTP")]
    NotHttp,
    /// The status code is not 200.
    #[error("HTTP status {0}")]
    Status(u16),
    /// The body does not use the chunked transfer coding.
    #[error("response is not chunked")]
    NotChunked,
    /// A chunk-size line or the line end after a chunk is malformed.
    #[error("malformed chunk")]
    InvalidChunk,
}

/// The element of the response that is decoded next. It is part of the handover state, so the serde names are fixed.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
enum Stage {
    /// The status line and the header fields.
    #[default]
    #[serde(rename = "Head")]
    Head,
    /// The line before the data of a chunk that gives its size.
    #[serde(rename = "Size")]
    ChunkSize,
    /// The data of a chunk, with the number of bytes that remain.
    #[serde(rename = "Data")]
    ChunkData(usize),
    /// The line end after a chunk's data.
    #[serde(rename = "DataEnd")]
    ChunkEnd,
}

/// Decoder state of one response.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct ChunkedDecoder {
    stage: Stage,
    /// Input that is not decoded yet.
    #[serde(rename = "bytes")]
    buffer: Vec<u8>,
}

impl ChunkedDecoder {
    /// Appends received bytes, which [`ChunkedDecoder::next_data`] decodes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the number of input bytes that are not decoded yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns the next bytes of the body, or `None` if more input is needed.
    ///
    /// # Errors
    ///
    /// [`ResponseError::Ended`] after the last chunk, another variant if the input is not a chunked response with status
    /// 200. The decoder must not be used after an error.
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
        let Some(head_length) = find_subslice(&self.buffer, b"\r\n\r\n") else {
            let too_long = self.buffer.len() > MAX_HEAD_BYTES;
            return if too_long { Err(ResponseError::HeadTooLong) } else { Ok(None) };
        };
        check_head(&self.buffer[..head_length])?;
        self.buffer.drain(..head_length + 4);
        Ok(Some(Stage::ChunkSize))
    }

    fn decode_chunk_size(&mut self) -> Result<Option<Stage>, ResponseError> {
        let Some(line_length) = find_subslice(&self.buffer, b"\r\n") else {
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

/// Checks that a response head has status 200 and announces a chunked body.
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

/// Returns the position of the first occurrence of `needle`.
fn find_subslice(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|window| window == needle)
}

#[cfg(test)]
mod tests;

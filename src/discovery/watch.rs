//! The state of one watch: response decoding and time limits, sans I/O.

use super::chunked::{ChunkedDecoder, ResponseError};
use super::document::EndpointListDocument;
use super::framing::{FramingError, ObjectFramer};
use crate::json;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;
use thiserror::Error;

/// A watch request without a byte of response for this long has failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch is lost without a byte for this long; the service writes a line every 2 s. A change has to reach the node
/// within 6 s, which include this timeout and the next watch request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_200);
/// A watch is lost without a complete object or empty line for this long, even if bytes arrive.
const OBJECT_TIMEOUT: Duration = Duration::from_millis(5_200);
/// A watch with more undecoded bytes than this is not handed over to another process.
const MAX_TRANSFERRED_BYTES: usize = 8 * 1024;

/// Why a watch was lost.
///
/// The text is what `docs/ON-CALL.md` lists for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// The response cannot be decoded any further, or the connection ended.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// The body is no sequence of JSON objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// An object is no endpoint list.
    #[error("malformed JSON")]
    InvalidDocument,
    /// Nothing has arrived for longer than the time limits allow.
    #[error("silent")]
    Silent,
}

/// Decodes the response to a watch request into the lines of its body.
#[derive(Debug, Default, Deserialize, Serialize)]
struct WatchDecoder {
    #[serde(flatten)]
    response: ChunkedDecoder,
    #[serde(flatten)]
    body: ObjectFramer,
}

impl WatchDecoder {
    /// Decodes bytes that have arrived and appends each complete object or empty line to `frames`.
    fn decode(&mut self, bytes: &[u8], frames: &mut Vec<Vec<u8>>) -> Result<(), WatchError> {
        self.response.feed(bytes);
        while let Some(data) = self.response.next_data()? {
            self.body.push(data, frames)?;
        }
        Ok(())
    }

    fn buffered_bytes(&self) -> usize {
        self.response.buffered_bytes() + self.body.buffered_bytes()
    }
}

/// A watch's state. It is handed over to the process that continues the watch, so its serde names are fixed.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchState {
    /// When the last complete object or empty line arrived, at first when the watch was requested.
    #[serde(rename = "heard")]
    last_frame_at: MonotonicTime,
    /// When the last byte arrived, at first when the watch was requested.
    #[serde(rename = "moved", default)]
    last_byte_at: MonotonicTime,
    /// Complete objects and empty lines so far.
    #[serde(rename = "lines")]
    frame_count: u32,
    #[serde(rename = "answer")]
    decoder: WatchDecoder,
}

/// What bytes of a watch contained.
pub struct Received {
    /// The lists, in the order of their arrival.
    pub lists: Vec<EndpointListDocument>,
    /// The response began with an empty line: nothing has changed since the requested generation.
    pub starts_unchanged: bool,
    /// Whether the watch continues.
    pub outcome: Result<(), WatchError>,
}

impl WatchState {
    /// A watch that is requested now.
    pub fn new(now: MonotonicTime) -> WatchState {
        WatchState { last_frame_at: now, last_byte_at: now, frame_count: 0, decoder: WatchDecoder::default() }
    }

    /// Decodes bytes that have arrived. The lists before an error count.
    pub fn receive(&mut self, now: MonotonicTime, bytes: &[u8]) -> Received {
        if !bytes.is_empty() {
            self.last_byte_at = now;
        }
        let mut frames = Vec::new();
        let outcome = self.decoder.decode(bytes, &mut frames);
        let mut received = Received { lists: Vec::new(), starts_unchanged: false, outcome };
        for frame in frames {
            self.last_frame_at = now;
            self.frame_count = self.frame_count.saturating_add(1);
            match parse_frame(&frame) {
                Ok(Some(list)) => received.lists.push(list),
                Ok(None) => received.starts_unchanged |= self.frame_count == 1,
                Err(error) => {
                    received.outcome = Err(error);
                    break;
                }
            }
        }
        received
    }

    /// Whether the watch has become silent, or yields bytes that never complete an object.
    pub fn is_silent(&self, now: MonotonicTime) -> bool {
        let is_unanswered = self.frame_count == 0 && self.last_byte_at == self.last_frame_at;
        let idle_timeout = if is_unanswered { RESPONSE_TIMEOUT } else { IDLE_TIMEOUT };
        let is_idle = now.saturating_duration_since(self.last_byte_at) > idle_timeout;
        let is_stuck = now.saturating_duration_since(self.last_frame_at) > OBJECT_TIMEOUT;
        is_idle || is_stuck
    }

    /// Whether the state is small enough to be handed over. In the middle of a long list, the next process requests a
    /// watch of its own.
    pub fn is_transferable(&self) -> bool {
        self.decoder.buffered_bytes() <= MAX_TRANSFERRED_BYTES
    }
}

/// The list that a complete object describes; none for an empty line.
fn parse_frame(frame: &[u8]) -> Result<Option<EndpointListDocument>, WatchError> {
    let text = std::str::from_utf8(frame).map_err(|_| WatchError::InvalidDocument)?.trim();
    if text.is_empty() {
        return Ok(None);
    }
    json::parse(text).map(Some).map_err(|_| WatchError::InvalidDocument)
}

#[cfg(test)]
mod tests;

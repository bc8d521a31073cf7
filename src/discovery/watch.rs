//! The state of one watch: response decoding and timeouts, without I/O.

use super::chunked::{ChunkedDecoder, ResponseError};
use super::document::EndpointListDocument;
use super::framing::{FramingError, ObjectFramer};
use crate::json;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;
use thiserror::Error;

/// A watch request fails if no byte of the response arrives for this long.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// A watch fails if no byte arrives for this long. The service writes a line every 2 s. A change must reach the node
/// within 6 s, which includes this timeout and the next watch request.
const IDLE_TIMEOUT: Duration = Duration::from_millis(4_200);
/// A watch fails if no object or empty line is completed for this long, even if bytes arrive.
const FRAME_TIMEOUT: Duration = Duration::from_millis(5_200);
/// A watch with more undecoded bytes than this is not handed over to the successor.
const MAX_TRANSFERRED_BYTES: usize = 8 * 1024;

/// The reason why a watch was lost.
///
/// `docs/ON-CALL.md` lists these texts for the log event "endpoint watch lost".
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WatchError {
    /// The response is invalid or has ended, or the connection ended.
    #[error(transparent)]
    Response(#[from] ResponseError),
    /// The body is not a sequence of JSON objects.
    #[error(transparent)]
    Framing(#[from] FramingError),
    /// An object is not an endpoint list.
    #[error("malformed JSON")]
    InvalidDocument,
    /// One of the timeouts of the watch has elapsed.
    #[error("no data within the time limit")]
    TimedOut,
}

/// Decodes the response to a watch request into frames: the JSON objects and empty lines of its body.
#[derive(Debug, Default, Deserialize, Serialize)]
struct WatchDecoder {
    #[serde(flatten)]
    response: ChunkedDecoder,
    #[serde(flatten)]
    body: ObjectFramer,
}

impl WatchDecoder {
    /// Decodes received bytes and appends each complete frame to `frames`.
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

/// The state of a watch. It is handed over to the successor, which continues the watch, so the serde names are fixed.
#[derive(Debug, Serialize, Deserialize)]
pub struct WatchState {
    /// When the last frame was completed; initially when the watch was requested.
    #[serde(rename = "heard")]
    last_frame_at: MonotonicTime,
    /// When the last byte arrived; initially when the watch was requested.
    #[serde(rename = "moved", default)]
    last_byte_at: MonotonicTime,
    /// Number of complete frames.
    #[serde(rename = "lines")]
    frame_count: u32,
    #[serde(rename = "answer")]
    decoder: WatchDecoder,
}

/// The endpoint lists decoded from received bytes, and whether the watch is still valid.
pub struct ReceivedLists {
    /// The lists, in the order of their arrival.
    pub lists: Vec<EndpointListDocument>,
    /// The response begins with an empty line: nothing has changed since the requested generation.
    pub confirms_generation: bool,
    /// The error that ends the watch, if there is one.
    pub outcome: Result<(), WatchError>,
}

impl WatchState {
    /// Creates the state of a watch that is requested now.
    pub fn new(now: MonotonicTime) -> WatchState {
        WatchState { last_frame_at: now, last_byte_at: now, frame_count: 0, decoder: WatchDecoder::default() }
    }

    /// Decodes received bytes. The result includes the lists that precede an error.
    pub fn receive(&mut self, now: MonotonicTime, bytes: &[u8]) -> ReceivedLists {
        if !bytes.is_empty() {
            self.last_byte_at = now;
        }
        let mut frames = Vec::new();
        let outcome = self.decoder.decode(bytes, &mut frames);
        let mut received = ReceivedLists { lists: Vec::new(), confirms_generation: false, outcome };
        for frame in frames {
            self.last_frame_at = now;
            self.frame_count = self.frame_count.saturating_add(1);
            match parse_frame(&frame) {
                Ok(Some(list)) => received.lists.push(list),
                Ok(None) => received.confirms_generation |= self.frame_count == 1,
                Err(error) => {
                    received.outcome = Err(error);
                    break;
                }
            }
        }
        received
    }

    /// Returns whether one of the timeouts has elapsed: nothing arrives, or the bytes that arrive complete no frame.
    pub fn has_timed_out(&self, now: MonotonicTime) -> bool {
        let is_unanswered = self.frame_count == 0 && self.last_byte_at == self.last_frame_at;
        let idle_timeout = if is_unanswered { RESPONSE_TIMEOUT } else { IDLE_TIMEOUT };
        let is_idle = now.saturating_duration_since(self.last_byte_at) > idle_timeout;
        let is_frame_overdue = now.saturating_duration_since(self.last_frame_at) > FRAME_TIMEOUT;
        is_idle || is_frame_overdue
    }

    /// Returns whether the state is small enough to be handed over. In the middle of a long list it is not, and the
    /// successor requests a watch of its own.
    pub fn is_transferable(&self) -> bool {
        self.decoder.buffered_bytes() <= MAX_TRANSFERRED_BYTES
    }
}

/// Parses a frame: the endpoint list of a JSON object, or `None` for an empty line.
fn parse_frame(frame: &[u8]) -> Result<Option<EndpointListDocument>, WatchError> {
    let text = std::str::from_utf8(frame).map_err(|_| WatchError::InvalidDocument)?.trim();
    if text.is_empty() {
        return Ok(None);
    }
    json::parse(text).map(Some).map_err(|_| WatchError::InvalidDocument)
}

#[cfg(test)]
mod tests;

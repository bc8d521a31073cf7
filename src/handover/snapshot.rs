//! The state that a process sends to its successor, split into chunks that fit into one message each.

use super::message::{Message, MessageError};
use crate::discovery::EndpointListDocument;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;

/// The longest chunk of a state.
const MAX_CHUNK_BYTES: usize = 32 * 1024;
/// The longest state that is accepted. The endpoint list and the balancer's state for 10,000 endpoints take 5 MB.
pub(super) const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// The state of a process, from which its successor starts. The names on the wire are those of version 00677b7.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Whether an operator has drained the node.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// The endpoint list, in the format of the discovery service.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListDocument,
    /// The serialized state of the balancer.
    #[serde(rename = "learned")]
    pub balancer_state: String,
    /// Number of descriptors that the process has open.
    #[serde(rename = "descriptors")]
    pub open_descriptors: usize,
    /// The current time of the process's clock. All times of the state refer to this clock, so the successor continues
    /// it. Older versions do not send it.
    #[serde(default, rename = "clock", skip_serializing_if = "Option::is_none")]
    pub clock: Option<MonotonicTime>,
}

impl StateSnapshot {
    /// Splits the state into chunks, one message for each.
    ///
    /// # Errors
    /// If serialization to JSON fails.
    pub(super) fn to_chunks(&self) -> Result<Vec<Message>, MessageError> {
        let text = serde_json::to_string(self)?;
        let mut rest = text.as_str();
        let mut chunks = Vec::new();
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(chunk_length(rest));
            chunks.push(Message::StateChunk { chunk: chunk.to_string() });
            rest = after;
        }
        Ok(chunks)
    }
}

/// The length of the longest chunk at the start of a text. A chunk does not end within a character.
fn chunk_length(text: &str) -> usize {
    let longest = MAX_CHUNK_BYTES.min(text.len());
    (0..=longest).rev().find(|length| text.is_char_boundary(*length)).unwrap_or(0)
}

/// Reassembles a state from its chunks.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    text: String,
}

impl SnapshotAssembler {
    /// Appends the next chunk.
    ///
    /// # Errors
    /// If the state becomes longer than [`MAX_STATE_BYTES`].
    pub(super) fn add(&mut self, chunk: &str) -> Result<(), MessageError> {
        if self.text.len() + chunk.len() > MAX_STATE_BYTES {
            return Err(MessageError::StateTooLong { max_bytes: MAX_STATE_BYTES });
        }
        self.text.push_str(chunk);
        Ok(())
    }

    /// Decodes the state once all of its chunks have been added.
    ///
    /// # Errors
    /// If the chunks do not form a valid state.
    pub(super) fn finish(&self) -> Result<StateSnapshot, MessageError> {
        Ok(serde_json::from_str(&self.text)?)
    }
}

#[cfg(test)]
mod tests;

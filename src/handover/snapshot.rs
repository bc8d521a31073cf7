//! The state that a process sends its successor, in pieces that fit the handover socket.

use super::message::{Message, MessageError};
use crate::discovery::EndpointListDocument;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;

/// The longest piece of the state.
const MAX_PIECE_BYTES: usize = 32 * 1024;
/// The longest state that is accepted. A list of 10,000 endpoints and the balancer's state of them take 5 MB.
pub(super) const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// The state of a process that its successor starts from. The names on the wire are those of version 00677b7.
#[derive(Debug, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// An operator has drained the node.
    #[serde(rename = "drained")]
    pub is_drained: bool,
    /// The endpoint list, as the discovery service writes it.
    #[serde(rename = "list")]
    pub endpoint_list: EndpointListDocument,
    /// The state of the balancer, as the balancer wrote it.
    #[serde(rename = "learned")]
    pub balancer_state: String,
    /// Descriptors that the process has open.
    #[serde(rename = "descriptors")]
    pub open_descriptors: usize,
    /// The process's clock, on which all its times are: the successor continues it. Earlier versions do not send it.
    #[serde(default, rename = "clock", skip_serializing_if = "Option::is_none")]
    pub clock: Option<MonotonicTime>,
}

impl StateSnapshot {
    /// The state as messages, each with one piece of it.
    ///
    /// # Errors
    /// Where it cannot be written as JSON.
    pub(super) fn to_pieces(&self) -> Result<Vec<Message>, MessageError> {
        let text = serde_json::to_string(self)?;
        let mut rest = text.as_str();
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(piece_length(rest));
            pieces.push(Message::StatePiece { piece: piece.to_string() });
            rest = after;
        }
        Ok(pieces)
    }
}

/// The length of the longest piece that a text can begin with: pieces end between characters.
fn piece_length(text: &str) -> usize {
    let longest = MAX_PIECE_BYTES.min(text.len());
    (0..=longest).rev().find(|length| text.is_char_boundary(*length)).unwrap_or(0)
}

/// Reassembles a state from its pieces.
#[derive(Debug, Default)]
pub(super) struct SnapshotAssembler {
    text: String,
}

impl SnapshotAssembler {
    /// Adds the next piece.
    ///
    /// # Errors
    /// Where the state becomes longer than [`MAX_STATE_BYTES`].
    pub(super) fn add(&mut self, piece: &str) -> Result<(), MessageError> {
        if self.text.len() + piece.len() > MAX_STATE_BYTES {
            return Err(MessageError::StateTooLong { max_bytes: MAX_STATE_BYTES });
        }
        self.text.push_str(piece);
        Ok(())
    }

    /// The state, once all of its pieces have been added.
    ///
    /// # Errors
    /// Where the pieces are no state.
    pub(super) fn finish(&self) -> Result<StateSnapshot, MessageError> {
        Ok(serde_json::from_str(&self.text)?)
    }
}

#[cfg(test)]
mod tests;

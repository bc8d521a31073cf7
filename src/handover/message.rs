//! The messages that a process and its successor exchange, and their encoding. No I/O.
//!
//! ```text
//! successor      predecessor
//! StateRequest     -->                the successor has read its configuration and is able to serve
//!                  <-- StateChunk ... the endpoint list and the balancer's state, in chunks
//!                  <-- Listener *     listening sockets of the optional frontends
//!                  <-- Watch ?        the watch on the discovery service
//!                  <-- StateComplete
//! Ready            -->                the successor serves; the predecessor accepts no more connections
//!                  <-- Connection *   connections, each as soon as it can be transferred
//!                  <-- (closed)       the predecessor has exited
//! ```
//!
//! If the socket is closed before `Ready`, the predecessor continues to serve as before. A message is one JSON value.
//! The names in it are those of version 00677b7, since the process on either side may be of an older version.

use super::channel::{EncodedMessage, MAX_DESCRIPTORS_PER_MESSAGE};
use crate::discovery::{TransferredWatch, WatchState};
use crate::frontend::TransferredConnection;
use crate::net::BufferedConnection;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// Incremented with each incompatible change of the messages. A process closes the link to one with another version.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message and its file descriptors.
pub enum Message {
    /// The successor requests the state of the predecessor.
    StateRequest {
        /// The successor's [`PROTOCOL_VERSION`]. The predecessor closes the link if it has another one.
        version: u32,
        /// The name of the successor's node. It is not checked: the path of the socket already identifies the node.
        name: String,
    },
    /// A chunk of the JSON text of a [`StateSnapshot`](super::StateSnapshot).
    StateChunk {
        /// The part of the text that follows the previous chunk.
        chunk: String,
    },
    /// A listening socket of an optional frontend.
    Listener {
        /// The address that the socket is bound to.
        address: SocketAddr,
        socket: OwnedFd,
    },
    /// The watch on the discovery service.
    Watch(TransferredWatch),
    /// All of the predecessor's state has been sent.
    StateComplete,
    /// The successor serves clients now.
    Ready,
    /// The connection of a client.
    Connection {
        /// The name of the frontend that the connection belongs to.
        frontend: String,
        /// The frontend's state of the connection, and its descriptors.
        connection: TransferredConnection,
        /// Number of descriptors that the predecessor still has open.
        open_descriptors: usize,
    },
}

/// The JSON form of a message. Its descriptors are passed as ancillary data.
#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    #[serde(rename = "Take")]
    StateRequest {
        version: u32,
        name: String,
    },
    #[serde(rename = "State")]
    StateChunk {
        #[serde(rename = "piece")]
        chunk: String,
    },
    Listener {
        #[serde(rename = "at")]
        address: SocketAddr,
    },
    Watch(WatchState, BufferedConnection),
    #[serde(rename = "Whole")]
    StateComplete,
    Ready,
    #[serde(rename = "Terminal")]
    Connection {
        #[serde(rename = "front")]
        frontend: String,
        #[serde(rename = "luggage")]
        connection: String,
        #[serde(rename = "descriptors")]
        open_descriptors: usize,
    },
}

/// Why a message cannot be encoded or decoded, or a state cannot be reassembled.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The message or the state is not JSON of the expected form.
    #[error("invalid message: {0}")]
    InvalidJson(String),
    /// The message has more or fewer descriptors than its kind requires.
    #[error("message has the wrong number of descriptors")]
    WrongDescriptors,
    /// The state is longer than the limit.
    #[error("state exceeds {max_bytes} bytes")]
    StateTooLong { max_bytes: usize },
}

impl From<serde_json::Error> for MessageError {
    fn from(error: serde_json::Error) -> MessageError {
        MessageError::InvalidJson(error.to_string())
    }
}

impl Message {
    /// Encodes the message for the handover socket.
    ///
    /// # Errors
    /// If serialization to JSON fails.
    pub fn encode(self) -> Result<EncodedMessage, MessageError> {
        let (wire_message, fds) = self.into_wire();
        Ok(EncodedMessage { bytes: serde_json::to_vec(&wire_message)?, fds })
    }

    /// Decodes a message that was received on the handover socket.
    ///
    /// # Errors
    /// If the bytes are not a valid message, or the message does not have the number of descriptors that its kind
    /// requires.
    pub fn decode(encoded: EncodedMessage) -> Result<Message, MessageError> {
        let wire_message = serde_json::from_slice(&encoded.bytes)?;
        Message::from_wire(wire_message, encoded.fds)
    }

    fn into_wire(self) -> (WireMessage, Vec<OwnedFd>) {
        match self {
            Message::StateRequest { version, name } => {
                (WireMessage::StateRequest { version, name }, Vec::new())
            }
            Message::StateChunk { chunk } => (WireMessage::StateChunk { chunk }, Vec::new()),
            Message::Listener { address, socket } => (WireMessage::Listener { address }, vec![socket]),
            Message::Watch(TransferredWatch { socket, state, connection }) => {
                (WireMessage::Watch(state, connection), vec![socket])
            }
            Message::StateComplete => (WireMessage::StateComplete, Vec::new()),
            Message::Ready => (WireMessage::Ready, Vec::new()),
            Message::Connection { frontend, connection, open_descriptors } => {
                let TransferredConnection { state, fds } = connection;
                (WireMessage::Connection { frontend, connection: state, open_descriptors }, fds)
            }
        }
    }

    fn from_wire(wire_message: WireMessage, fds: Vec<OwnedFd>) -> Result<Message, MessageError> {
        match wire_message {
            WireMessage::StateRequest { version, name } => {
                no_descriptor(fds)?;
                Ok(Message::StateRequest { version, name })
            }
            WireMessage::StateChunk { chunk } => {
                no_descriptor(fds)?;
                Ok(Message::StateChunk { chunk })
            }
            WireMessage::Listener { address } => {
                Ok(Message::Listener { address, socket: one_descriptor(fds)? })
            }
            WireMessage::Watch(state, connection) => {
                Ok(Message::Watch(TransferredWatch { socket: one_descriptor(fds)?, state, connection }))
            }
            WireMessage::StateComplete => {
                no_descriptor(fds)?;
                Ok(Message::StateComplete)
            }
            WireMessage::Ready => {
                no_descriptor(fds)?;
                Ok(Message::Ready)
            }
            WireMessage::Connection { frontend, connection, open_descriptors } => {
                if !(1..=MAX_DESCRIPTORS_PER_MESSAGE).contains(&fds.len()) {
                    return Err(MessageError::WrongDescriptors);
                }
                let connection = TransferredConnection { state: connection, fds };
                Ok(Message::Connection { frontend, connection, open_descriptors })
            }
        }
    }
}

fn no_descriptor(fds: Vec<OwnedFd>) -> Result<(), MessageError> {
    if fds.is_empty() {
        Ok(())
    } else {
        Err(MessageError::WrongDescriptors)
    }
}

fn one_descriptor(fds: Vec<OwnedFd>) -> Result<OwnedFd, MessageError> {
    let [fd] = <[OwnedFd; 1]>::try_from(fds).map_err(|_| MessageError::WrongDescriptors)?;
    Ok(fd)
}

#[cfg(test)]
mod tests;

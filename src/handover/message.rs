//! The messages between a process and its successor. No I/O.
//!
//! ```text
//! successor      predecessor
//! StateRequest     -->                the successor has read its configuration and could serve
//!                  <-- StatePiece ... the endpoint list and the balancer's state, in pieces
//!                  <-- Listener *     listening sockets of the optional frontends
//!                  <-- Watch ?        the watch of the discovery service
//!                  <-- StateComplete
//! Ready            -->                the successor serves; the predecessor accepts nothing more
//!                  <-- Connection *   connections, as each can be transferred
//!                  <-- (end)          the predecessor has exited
//! ```
//!
//! An end before `Ready` changes nothing for the predecessor. A message is one JSON value; its names are those of
//! version 00677b7, since either side may be an older process.

use super::channel::{FramedMessage, MAX_DESCRIPTORS_PER_MESSAGE};
use crate::discovery::{TransferredWatch, WatchState};
use crate::frontend::TransferredConnection;
use crate::net::BufferedConnection;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// Incremented with every incompatible change of the messages. A process ends the exchange with another version.
pub const PROTOCOL_VERSION: u32 = 1;

/// A message with the descriptors that belong to it.
pub enum Message {
    /// The successor requests this process's state.
    StateRequest {
        /// [`PROTOCOL_VERSION`] of the successor.
        version: u32,
        /// The node's name.
        name: String,
    },
    /// A piece of a [`StateSnapshot`](super::StateSnapshot), in JSON.
    StatePiece {
        /// The next characters of the text.
        piece: String,
    },
    /// A listening socket of an optional frontend.
    Listener {
        /// The address that it is bound to.
        address: SocketAddr,
        /// The socket.
        socket: OwnedFd,
    },
    /// The watch of the discovery service.
    Watch(TransferredWatch),
    /// The state has been sent completely.
    StateComplete,
    /// The successor serves.
    Ready,
    /// A client's connection.
    Connection {
        /// Name of the frontend that owns it.
        frontend: String,
        /// The connection.
        connection: TransferredConnection,
        /// Descriptors that the sender still has open.
        open_descriptors: usize,
    },
}

/// A message as JSON; its descriptors travel beside it.
#[derive(Debug, Serialize, Deserialize)]
enum WireMessage {
    #[serde(rename = "Take")]
    StateRequest {
        version: u32,
        name: String,
    },
    #[serde(rename = "State")]
    StatePiece {
        piece: String,
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

/// Why a message cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// It is no JSON value of the expected form.
    #[error("invalid message: {0}")]
    InvalidJson(String),
    /// Its descriptors are missing, or it has some that it should not have.
    #[error("message with the wrong number of descriptors")]
    WrongDescriptors,
    /// The state is longer than a process accepts.
    #[error("state of more than {max_bytes} bytes")]
    StateTooLong {
        /// The longest state that is accepted.
        max_bytes: usize,
    },
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
    /// Where it cannot be written as JSON.
    pub fn encode(self) -> Result<FramedMessage, MessageError> {
        let (wire_message, fds) = self.into_wire();
        Ok(FramedMessage { bytes: serde_json::to_vec(&wire_message)?, fds })
    }

    /// Decodes a message of the handover socket.
    ///
    /// # Errors
    /// Where it is no message, or has other descriptors than such a message has.
    pub fn decode(framed: FramedMessage) -> Result<Message, MessageError> {
        let wire_message = serde_json::from_slice(&framed.bytes)?;
        Message::from_wire(wire_message, framed.fds)
    }

    fn into_wire(self) -> (WireMessage, Vec<OwnedFd>) {
        match self {
            Message::StateRequest { version, name } => {
                (WireMessage::StateRequest { version, name }, Vec::new())
            }
            Message::StatePiece { piece } => (WireMessage::StatePiece { piece }, Vec::new()),
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
            WireMessage::StatePiece { piece } => {
                no_descriptor(fds)?;
                Ok(Message::StatePiece { piece })
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

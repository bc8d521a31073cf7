//! What the links to the predecessor and to the successor share: reading the messages of the handover socket.

use super::channel::{self, ChannelError};
use super::event::HandoverEvent;
use super::message::{Message, MessageError};
use crate::net::{SocketReactor, Token};
use std::os::fd::OwnedFd;
use thiserror::Error;

/// The most connections that are transferred in one iteration of the event loop.
pub const CONNECTIONS_PER_ITERATION: usize = 32;

/// Why the link to the other process ends.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The other process is gone, or sent no message.
    #[error("ended")]
    Closed,
    /// It sent a message that cannot be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// It is gone, or its socket fails.
    #[error("it does not read")]
    NotReading,
    /// It sent a message that it may not send, or not at this stage.
    #[error("unexpected message")]
    UnexpectedMessage,
}

/// The other process.
#[derive(Clone, Copy, Debug)]
pub(super) enum Peer {
    Predecessor,
    Successor,
}

impl Peer {
    /// Logs the end of the link.
    pub(super) fn log_end(self, error: &LinkError) {
        let peer = match self {
            Peer::Predecessor => "predecessor",
            Peer::Successor => "successor",
        };
        tracing::warn!(%peer, %error, "handover ended");
    }
}

/// The messages that one iteration of the event loop has read.
pub(super) struct ReceivedMessages {
    /// What the node has to do for them.
    pub(super) events: Vec<HandoverEvent>,
    /// Why the link ends, if it does.
    pub(super) link_error: Option<LinkError>,
}

/// Reads messages that have arrived and maps each to an event. The socket stays readable where more have arrived than
/// one iteration of the event loop reads.
pub(super) fn read_messages(
    net: &SocketReactor,
    token: Token,
    mut handle: impl FnMut(Message) -> Result<HandoverEvent, LinkError>,
) -> ReceivedMessages {
    let mut events = Vec::new();
    for _ in 0..CONNECTIONS_PER_ITERATION {
        let Some(socket) = net.raw_descriptor(token) else { break };
        match read_message(socket).and_then(|message| message.map(&mut handle).transpose()) {
            Ok(Some(event)) => events.push(event),
            Ok(None) => break,
            Err(error) => return ReceivedMessages { events, link_error: Some(error) },
        }
    }
    ReceivedMessages { events, link_error: None }
}

/// The next message; none where none has arrived.
fn read_message(socket: &OwnedFd) -> Result<Option<Message>, LinkError> {
    match channel::receive(socket) {
        Ok(framed) => Ok(Some(Message::decode(framed)?)),
        Err(ChannelError::WouldBlock) => Ok(None),
        Err(ChannelError::Closed) => Err(LinkError::Closed),
    }
}

//! Reads messages of the handover socket, for the links to the predecessor and to the successor.

use super::channel::{self, ChannelError};
use super::event::HandoverEvent;
use super::message::{Message, MessageError};
use crate::net::{SocketReactor, Token};
use std::os::fd::OwnedFd;
use thiserror::Error;

/// The maximum number of connections that are sent or received in one iteration of the event loop.
pub const CONNECTIONS_PER_ITERATION: usize = 32;

/// Why the link to the other process is closed.
#[derive(Debug, Error)]
pub(super) enum LinkError {
    /// The other process closed the socket, the socket failed, or a message arrived truncated.
    #[error("handover socket closed")]
    Closed,
    /// A message cannot be decoded.
    #[error(transparent)]
    Message(#[from] MessageError),
    /// A message cannot be sent: the other process closed the socket, or the socket failed.
    #[error("cannot send: handover socket closed")]
    NotSent,
    /// The other process sent a message that is not allowed on this link, or has another protocol version.
    #[error("unexpected message or other protocol version")]
    UnexpectedMessage,
}

/// The process at the other end of a link.
#[derive(Clone, Copy, Debug)]
pub(super) enum Peer {
    Predecessor,
    Successor,
}

impl Peer {
    /// Logs why the link is closed.
    pub(super) fn log_end(self, error: &LinkError) {
        let peer = match self {
            Peer::Predecessor => "predecessor",
            Peer::Successor => "successor",
        };
        tracing::warn!(%peer, %error, "handover ended");
    }
}

/// The result of reading messages in one iteration of the event loop.
pub(super) struct ReceivedMessages {
    /// The events of the messages, in order.
    pub(super) events: Vec<HandoverEvent>,
    /// Why the link must be closed; `None` if it stays open.
    pub(super) link_error: Option<LinkError>,
}

/// Reads the messages that have arrived, up to [`CONNECTIONS_PER_ITERATION`], and maps each to an event. If more have
/// arrived, the socket stays readable and the next iteration of the event loop reads them.
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

/// Reads the next message; `None` if no message has arrived.
fn read_message(socket: &OwnedFd) -> Result<Option<Message>, LinkError> {
    match channel::receive(socket) {
        Ok(encoded) => Ok(Some(Message::decode(encoded)?)),
        Err(ChannelError::WouldBlock) => Ok(None),
        Err(ChannelError::Closed) => Err(LinkError::Closed),
    }
}

//! What both roles share: reading the messages of the handover socket on the event loop.

use super::channel::{self, ChannelError};
use super::message::{Message, MessageError};
use super::{HandoverEvent, CONNECTIONS_PER_ITERATION};
use crate::net::{SocketReactor, Token};
use std::fmt;

/// Why the link to the other process ends.
#[derive(Debug)]
pub(super) enum LinkError {
    /// The other process is gone, or sent no message.
    Closed,
    /// It sent a message that cannot be read.
    Message(MessageError),
    /// It is gone, or its socket fails.
    NotReading,
    /// It sent a message that it may not send, or not now.
    UnexpectedMessage,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Closed => write!(f, "ended"),
            LinkError::Message(error) => write!(f, "{error}"),
            LinkError::NotReading => write!(f, "it does not read"),
            LinkError::UnexpectedMessage => write!(f, "unexpected message"),
        }
    }
}

impl std::error::Error for LinkError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LinkError::Message(error) => Some(error),
            LinkError::Closed | LinkError::NotReading | LinkError::UnexpectedMessage => None,
        }
    }
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

/// The messages of one iteration of the event loop.
pub(super) struct Turn {
    /// What the event loop has to do for them.
    pub(super) events: Vec<HandoverEvent>,
    /// Why the link ends, if it does.
    pub(super) end: Option<LinkError>,
}

/// Reads the messages that have arrived and maps each to an event. The socket stays readable while there are more than
/// one iteration's.
pub(super) fn read_iteration(
    net: &SocketReactor,
    token: Token,
    mut handle: impl FnMut(Message) -> Result<HandoverEvent, LinkError>,
) -> Turn {
    let mut turn = Turn { events: Vec::new(), end: None };
    for _ in 0..CONNECTIONS_PER_ITERATION {
        let Some(socket) = net.raw_descriptor(token) else { break };
        let framed = match channel::receive(socket) {
            Ok(framed) => framed,
            Err(ChannelError::WouldBlock) => break,
            Err(ChannelError::Closed) => {
                turn.end = Some(LinkError::Closed);
                break;
            }
        };
        let handled = Message::decode(framed).map_err(LinkError::Message).and_then(&mut handle);
        match handled {
            Ok(event) => turn.events.push(event),
            Err(error) => {
                turn.end = Some(error);
                break;
            }
        }
    }
    turn
}

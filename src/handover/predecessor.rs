//! The link to the predecessor, from the time at which this process serves.

use super::channel;
use super::event::{FrontendConnection, HandoverEvent};
use super::link::{read_messages, LinkError, ReceivedMessages};
use super::message::Message;
use crate::net::{SocketOwner, SocketReactor, Token};
use std::os::fd::OwnedFd;

/// The link to the process that this one replaces.
pub(super) struct PredecessorLink {
    token: Token,
}

impl PredecessorLink {
    /// Notifies the predecessor that this process serves. `None` if the predecessor has exited.
    pub(super) fn open(net: &mut SocketReactor, channel: OwnedFd) -> Option<PredecessorLink> {
        let ready = Message::Ready.encode().ok()?;
        let token = net.register_raw(channel, SocketOwner::Handover).ok()?;
        if channel::send(net.raw_descriptor(token)?, &ready).is_err() {
            net.close(token);
            return None;
        }
        Some(PredecessorLink { token })
    }

    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Receives the transferred connections that have arrived, up to the limit of one iteration of the event loop.
    pub(super) fn receive(&self, net: &SocketReactor) -> ReceivedMessages {
        read_messages(net, self.token, on_message)
    }

    pub(super) fn close(self, net: &mut SocketReactor) {
        net.close(self.token);
    }
}

fn on_message(message: Message) -> Result<HandoverEvent, LinkError> {
    match message {
        Message::Connection { frontend, connection, open_descriptors } => {
            Ok(HandoverEvent::ConnectionReceived {
                received: FrontendConnection { frontend, connection },
                predecessor_descriptors: open_descriptors,
            })
        }
        _ => Err(LinkError::UnexpectedMessage),
    }
}

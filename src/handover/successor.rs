//! The link to the successor: the role of a process that serves and may be replaced.

use super::channel::{self, ChannelError, FramedMessage};
use super::event::{FrontendConnection, HandoverEvent};
use super::link::{read_messages, LinkError, ReceivedMessages};
use super::message::{Message, PROTOCOL_VERSION};
use crate::net::{SocketOwner, SocketReactor, Token};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;

/// The progress of a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It has connected, and may request the state.
    Starting,
    /// It serves, and accepts connections.
    Serving,
}

/// The link to the process that replaces this one.
pub(super) struct SuccessorLink {
    token: Token,
    stage: Stage,
    /// Messages that are not sent yet: at most one state and the connections of one iteration of the event loop.
    outbox: VecDeque<FramedMessage>,
}

impl SuccessorLink {
    /// The link to a successor that has connected. None where its socket cannot be watched.
    pub(super) fn open(net: &mut SocketReactor, channel: OwnedFd) -> Option<SuccessorLink> {
        let token = net.register_raw(channel, SocketOwner::Handover).ok()?;
        Some(SuccessorLink { token, stage: Stage::Starting, outbox: VecDeque::new() })
    }

    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Whether the successor serves and all messages so far are sent.
    pub(super) fn can_transfer(&self) -> bool {
        self.stage == Stage::Serving && self.outbox.is_empty()
    }

    /// Receives the successor's requests.
    pub(super) fn receive(&mut self, net: &SocketReactor) -> ReceivedMessages {
        let stage = &mut self.stage;
        read_messages(net, self.token, |message| on_message(stage, message))
    }

    /// Queues a message; [`SuccessorLink::flush`] sends it.
    pub(super) fn queue(&mut self, message: Message) {
        if let Ok(framed) = message.encode() {
            self.outbox.push_back(framed);
        }
    }

    /// Sends the queued messages that the socket accepts now.
    ///
    /// # Errors
    /// Where the successor is gone: the link is to be closed.
    pub(super) fn flush(&mut self, net: &mut SocketReactor) -> Result<(), LinkError> {
        while let Some(framed) = self.outbox.front() {
            let Some(socket) = net.raw_descriptor(self.token) else { return Ok(()) };
            match channel::send(socket, framed) {
                // This closes its descriptors here; the successor has them now.
                Ok(()) => drop(self.outbox.pop_front()),
                Err(ChannelError::WouldBlock) => break,
                Err(ChannelError::Closed) => return Err(LinkError::NotReading),
            }
        }
        net.set_writable_interest(self.token, !self.outbox.is_empty());
        Ok(())
    }

    /// Closes the link. Returns the connections that were not sent.
    pub(super) fn close(self, net: &mut SocketReactor) -> Vec<FrontendConnection> {
        net.close(self.token);
        self.outbox.into_iter().filter_map(unsent_connection).collect()
    }
}

fn on_message(stage: &mut Stage, message: Message) -> Result<HandoverEvent, LinkError> {
    match message {
        Message::StateRequest { version: PROTOCOL_VERSION, .. } => Ok(HandoverEvent::StateRequested),
        Message::Ready => {
            *stage = Stage::Serving;
            Ok(HandoverEvent::SuccessorReady)
        }
        _ => Err(LinkError::UnexpectedMessage),
    }
}

fn unsent_connection(framed: FramedMessage) -> Option<FrontendConnection> {
    match Message::decode(framed) {
        Ok(Message::Connection { frontend, connection, .. }) => {
            Some(FrontendConnection { frontend, connection })
        }
        _ => None,
    }
}

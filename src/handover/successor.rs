//! The link to the successor, for a process that serves and is to be replaced.

use super::channel::{self, ChannelError, EncodedMessage};
use super::event::{FrontendConnection, HandoverEvent};
use super::link::{read_messages, LinkError, ReceivedMessages};
use super::message::{Message, PROTOCOL_VERSION};
use crate::net::{SocketOwner, SocketReactor, Token};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;

/// The progress of the start of the successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The successor has connected and may request the state.
    Starting,
    /// The successor serves and accepts transferred connections.
    Serving,
}

/// The link to the process that replaces this one.
pub(super) struct SuccessorLink {
    token: Token,
    stage: Stage,
    /// Messages that have not been sent yet: at most one state, and the connections of one iteration of the event loop.
    send_queue: VecDeque<EncodedMessage>,
}

impl SuccessorLink {
    /// Opens the link to a successor that has connected. `None` if its socket cannot be registered with the reactor.
    pub(super) fn open(net: &mut SocketReactor, channel: OwnedFd) -> Option<SuccessorLink> {
        let token = net.register_raw(channel, SocketOwner::Handover).ok()?;
        Some(SuccessorLink { token, stage: Stage::Starting, send_queue: VecDeque::new() })
    }

    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Whether the successor serves and no message is queued.
    pub(super) fn can_transfer(&self) -> bool {
        self.stage == Stage::Serving && self.send_queue.is_empty()
    }

    /// Receives the successor's messages.
    pub(super) fn receive(&mut self, net: &SocketReactor) -> ReceivedMessages {
        let stage = &mut self.stage;
        read_messages(net, self.token, |message| on_message(stage, message))
    }

    /// Queues a message for [`SuccessorLink::flush`].
    pub(super) fn queue(&mut self, message: Message) {
        if let Ok(encoded) = message.encode() {
            self.send_queue.push_back(encoded);
        }
    }

    /// Sends as many queued messages as the socket accepts now.
    ///
    /// # Errors
    /// If the successor has closed the socket or the socket failed. The caller then closes the link.
    pub(super) fn flush(&mut self, net: &mut SocketReactor) -> Result<(), LinkError> {
        while let Some(encoded) = self.send_queue.front() {
            let Some(socket) = net.raw_descriptor(self.token) else { return Ok(()) };
            match channel::send(socket, encoded) {
                // Closes this process's copies of the descriptors; the successor has its own.
                Ok(()) => drop(self.send_queue.pop_front()),
                Err(ChannelError::WouldBlock) => break,
                Err(ChannelError::Closed) => return Err(LinkError::NotSent),
            }
        }
        net.set_writable_interest(self.token, !self.send_queue.is_empty());
        Ok(())
    }

    /// Closes the link and returns the connections that were not sent.
    pub(super) fn close(self, net: &mut SocketReactor) -> Vec<FrontendConnection> {
        net.close(self.token);
        self.send_queue.into_iter().filter_map(unsent_connection).collect()
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

fn unsent_connection(encoded: EncodedMessage) -> Option<FrontendConnection> {
    match Message::decode(encoded) {
        Ok(Message::Connection { frontend, connection, .. }) => {
            Some(FrontendConnection { frontend, connection })
        }
        _ => None,
    }
}

//! The link to the successor: the role of a process that serves and may be replaced.

use super::channel::{self, ChannelError, FramedMessage};
use super::link::{read_iteration, LinkError, Peer, Turn};
use super::message::{Message, PROTOCOL_VERSION};
use super::{FrontendConnection, HandoverEvent};
use crate::net::{SocketOwner, SocketReactor, Token};
use std::collections::VecDeque;
use std::os::fd::OwnedFd;

/// How far a successor has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It starts, and may request the state.
    Starting,
    /// It serves, and takes connections.
    Serving,
}

/// The link to the process that replaces this one.
pub(super) struct SuccessorLink {
    token: Token,
    stage: Stage,
    /// Messages that the socket has not taken yet: at most one state and one iteration's connections.
    outbox: VecDeque<FramedMessage>,
}

impl SuccessorLink {
    /// The link to a successor that has connected.
    pub(super) fn open(net: &mut SocketReactor, channel: OwnedFd) -> Option<SuccessorLink> {
        let token = net.register_raw(channel, SocketOwner::Handover).ok()?;
        Some(SuccessorLink { token, stage: Stage::Starting, outbox: VecDeque::new() })
    }

    pub(super) fn token(&self) -> Token {
        self.token
    }

    /// Whether the successor serves and all connections so far are sent.
    pub(super) fn can_transfer(&self) -> bool {
        self.stage == Stage::Serving && self.outbox.is_empty()
    }

    /// Receives the successor's requests.
    pub(super) fn receive(&mut self, net: &SocketReactor) -> Turn {
        let stage = &mut self.stage;
        read_iteration(net, self.token, |message| on_message(stage, message))
    }

    /// Queues a message; [`SuccessorLink::flush`] sends it.
    pub(super) fn queue(&mut self, message: Message) {
        if let Ok(framed) = message.encode() {
            self.outbox.push_back(framed);
        }
    }

    /// Sends what the socket takes now. An error ends the link.
    pub(super) fn flush(&mut self, net: &mut SocketReactor) -> Result<(), ChannelError> {
        while let Some(framed) = self.outbox.front() {
            let Some(socket) = net.raw_descriptor(self.token) else { return Ok(()) };
            match channel::send(socket, framed) {
                // This closes its descriptors here; the successor has them now.
                Ok(()) => drop(self.outbox.pop_front()),
                Err(ChannelError::WouldBlock) => break,
                Err(ChannelError::Closed) => {
                    Peer::Successor.log_end(&LinkError::NotReading);
                    return Err(ChannelError::Closed);
                }
            }
        }
        net.set_writable_interest(self.token, !self.outbox.is_empty());
        Ok(())
    }

    /// Ends the link and yields the connections that were not sent.
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

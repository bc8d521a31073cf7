//! Handover from a running process of the node to a new one (hot restart).
//!
//! If the platform passes in the listening socket for clients, each process also listens on the handover socket, a
//! Unix socket in `$TMPDIR`. A starting process that finds another one listening there requests its state. Once the new
//! process serves, the old one transfers its established connections to it, which stay open for the clients.
//! [`message`] documents the sequence of messages.
//!
//! A process can have a predecessor and a successor at the same time. [`Handover`] owns both links and reports
//! [`HandoverEvent`]s to the node, which handles them.

mod channel;
mod event;
mod link;
mod listener;
mod message;
mod predecessor;
mod snapshot;
mod state_request;
mod successor;
#[cfg(test)]
mod tests;

pub use channel::socket_path;
pub use event::{FrontendConnection, HandoverEvent};
pub use link::CONNECTIONS_PER_ITERATION;
pub use listener::{passed_listener, PassedListenerError};
pub use snapshot::StateSnapshot;
pub use state_request::{request_state, PredecessorState};

use crate::discovery::TransferredWatch;
use crate::frontend::TransferredConnection;
use crate::net::{ListeningSocket, SocketEvent, SocketOwner, SocketReactor, Token};
use link::{Peer, ReceivedMessages};
use message::Message;
use predecessor::PredecessorLink;
use std::os::fd::OwnedFd;
use std::path::Path;
use successor::SuccessorLink;

/// File descriptors, out of the node's limit, that are reserved for a starting successor.
pub const SUCCESSOR_DESCRIPTORS: usize = 20;

/// The handover socket and the links to the predecessor and the successor, driven by the event loop.
pub struct Handover {
    listener: Option<Token>,
    predecessor: Option<PredecessorLink>,
    successor: Option<SuccessorLink>,
}

impl Handover {
    /// Listens for a successor on a Unix socket at `path`. `predecessor` is the connection to the predecessor, if any,
    /// which is notified that this process serves.
    pub fn open(net: &mut SocketReactor, path: &Path, predecessor: Option<OwnedFd>) -> Handover {
        let listener = channel::listen(path).and_then(|fd| net.register_raw(fd, SocketOwner::Handover));
        if let Err(error) = &listener {
            tracing::warn!(error = %format_args!("listen: {error}"), "handover disabled");
        }
        let predecessor = predecessor.and_then(|channel| PredecessorLink::open(net, channel));
        Handover { listener: listener.ok(), predecessor, successor: None }
    }

    /// Whether there is a successor that accepts connections now.
    pub fn can_transfer(&self) -> bool {
        self.successor.as_ref().is_some_and(SuccessorLink::can_transfer)
    }

    /// Handles an event of the handover socket or of one of the links.
    pub fn on_socket_event(&mut self, net: &mut SocketReactor, event: SocketEvent) -> Vec<HandoverEvent> {
        if self.listener == Some(event.token) {
            self.accept_successor(net);
            return Vec::new();
        }
        let mut events = if self.predecessor.as_ref().map(PredecessorLink::token) == Some(event.token) {
            self.receive_from_predecessor(net)
        } else if self.successor.as_ref().map(SuccessorLink::token) == Some(event.token) {
            self.receive_from_successor(net)
        } else {
            Vec::new()
        };
        events.extend(self.flush(net));
        events
    }

    /// Accepts a successor. Only one is served at a time: the connection of a further one is closed, and that process
    /// starts without a predecessor.
    fn accept_successor(&mut self, net: &mut SocketReactor) {
        let listener = self.listener.and_then(|token| net.raw_descriptor(token));
        let Some(channel) = listener.and_then(channel::accept) else { return };
        if self.successor.is_none() {
            self.successor = SuccessorLink::open(net, channel);
        }
    }

    fn receive_from_predecessor(&mut self, net: &mut SocketReactor) -> Vec<HandoverEvent> {
        let Some(predecessor) = &self.predecessor else { return Vec::new() };
        let ReceivedMessages { mut events, link_error } = predecessor.receive(net);
        if let Some(error) = link_error {
            Peer::Predecessor.log_end(&error);
            events.extend(self.close_predecessor(net));
        }
        events
    }

    fn receive_from_successor(&mut self, net: &mut SocketReactor) -> Vec<HandoverEvent> {
        let Some(successor) = &mut self.successor else { return Vec::new() };
        let ReceivedMessages { mut events, link_error } = successor.receive(net);
        if let Some(error) = link_error {
            Peer::Successor.log_end(&error);
            events.extend(self.close_successor(net));
        }
        events
    }

    fn close_predecessor(&mut self, net: &mut SocketReactor) -> Option<HandoverEvent> {
        self.predecessor.take()?.close(net);
        Some(HandoverEvent::PredecessorExited)
    }

    fn close_successor(&mut self, net: &mut SocketReactor) -> Option<HandoverEvent> {
        let unsent = self.successor.take()?.close(net);
        Some(HandoverEvent::SuccessorLost { unsent })
    }

    /// Sends the successor the state of this process, the listening sockets of the optional frontends and the watch on
    /// the discovery service.
    pub fn send_state(
        &mut self,
        net: &mut SocketReactor,
        snapshot: &StateSnapshot,
        listeners: Vec<ListeningSocket>,
        watch: Option<TransferredWatch>,
    ) -> Vec<HandoverEvent> {
        let Some(successor) = &mut self.successor else { return Vec::new() };
        for chunk in snapshot.to_chunks().unwrap_or_default() {
            successor.queue(chunk);
        }
        for ListeningSocket { addr: address, fd: socket } in listeners {
            successor.queue(Message::Listener { address, socket });
        }
        if let Some(watch) = watch {
            successor.queue(Message::Watch(watch));
        }
        successor.queue(Message::StateComplete);
        self.flush(net).into_iter().collect()
    }

    /// Transfers connections of a frontend to the successor.
    pub fn transfer(
        &mut self,
        net: &mut SocketReactor,
        frontend: &str,
        connections: Vec<TransferredConnection>,
    ) -> Vec<HandoverEvent> {
        let Some(successor) = &mut self.successor else { return Vec::new() };
        let open_descriptors = net.descriptors_in_use();
        for connection in connections {
            successor.queue(Message::Connection {
                frontend: frontend.to_string(),
                connection,
                open_descriptors,
            });
        }
        self.flush(net).into_iter().collect()
    }

    fn flush(&mut self, net: &mut SocketReactor) -> Option<HandoverEvent> {
        match self.successor.as_mut()?.flush(net) {
            Ok(()) => None,
            Err(error) => {
                Peer::Successor.log_end(&error);
                self.close_successor(net)
            }
        }
    }
}

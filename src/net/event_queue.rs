//! Events that wait for the next poll.

use super::event::{SocketEvent, SocketEventKind};
use super::slab::Token;
use super::socket::Socket;

/// Events in the order in which they happened.
#[derive(Default)]
pub(super) struct EventQueue {
    pending: Vec<SocketEvent>,
}

impl EventQueue {
    /// Queues an event of a socket, unless its owner has closed it.
    pub(super) fn push(&mut self, token: Token, socket: &Socket, kind: SocketEventKind) {
        if !socket.is_lingering() {
            self.pending.push(SocketEvent { token, owner: socket.owner, kind });
        }
    }

    /// Takes all events.
    pub(super) fn take(&mut self) -> Vec<SocketEvent> {
        std::mem::take(&mut self.pending)
    }

    /// The number of events.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

//! Queue of events that the next poll returns.

use super::event::{SocketEvent, SocketEventKind};
use super::slab::Token;
use super::socket::Socket;

/// Events in order of occurrence.
#[derive(Default)]
pub(super) struct EventQueue {
    pending: Vec<SocketEvent>,
}

impl EventQueue {
    /// Queues an event of a socket, unless the owner has already closed the socket.
    pub(super) fn push(&mut self, token: Token, socket: &Socket, kind: SocketEventKind) {
        if !socket.is_lingering() {
            self.pending.push(SocketEvent { token, owner: socket.owner, kind });
        }
    }

    /// Takes all queued events.
    pub(super) fn take(&mut self) -> Vec<SocketEvent> {
        std::mem::take(&mut self.pending)
    }

    /// Number of queued events.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

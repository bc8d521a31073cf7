//! The descriptor limit: what is reserved, what stays free, and who is evicted for others.

use super::event::{SocketEvent, SocketEventKind};
use super::reactor::SocketReactor;
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::system;
use sparbank_time::MonotonicTime;

/// Descriptors that no attempt takes: for the list's watch and the one after it, and for what is open beside the
/// sockets counted here (the standard streams, epoll, the other ends of the signals' pipes).
const MIN_FREE_DESCRIPTORS: usize = 14;
/// Descriptors run short when fewer than this and one in [`SHORTAGE_LIMIT_DIVISOR`] of the limit are free.
const SHORTAGE_DESCRIPTORS: usize = 16;
const SHORTAGE_LIMIT_DIVISOR: usize = 16;

impl SocketReactor {
    /// Changes how many descriptors the process may hold.
    pub fn set_descriptor_limit(&mut self, limit: usize) {
        self.descriptor_limit = limit;
    }

    /// Sets this many descriptors aside for what is not counted here.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.reserve.enlarge(descriptors);
    }

    /// Whether descriptors run short: new clients are to be rejected.
    pub fn is_short_of_descriptors(&self) -> bool {
        let margin = self.descriptor_limit / SHORTAGE_LIMIT_DIVISOR + SHORTAGE_DESCRIPTORS;
        self.committed_descriptors() + margin > self.descriptor_limit
    }

    /// Whether one more attempt may have a descriptor.
    pub fn has_descriptor_for_attempt(&self) -> bool {
        self.committed_descriptors() + MIN_FREE_DESCRIPTORS < self.descriptor_limit
    }

    /// Evicts connections while descriptors run short: closed ones that linger, the oldest first, then those that
    /// have not completed their handshake. False where only connections in use are left.
    pub fn reclaim_descriptors(&mut self) -> bool {
        while self.is_short_of_descriptors() {
            if !self.evict() {
                return false;
            }
        }
        true
    }

    /// Descriptors in use, with all that are reserved.
    fn committed_descriptors(&self) -> usize {
        self.reserve.committed(self.sockets.len())
    }

    /// Evicts one connection, if one can be.
    pub(super) fn evict(&mut self) -> bool {
        if let Some(deadline) = self.lingering.pop_front() {
            self.drop_socket(deadline.token);
            return true;
        }
        let mut spared = Vec::new();
        let mut evicted = false;
        while let Some(deadline) = self.awaiting_handshake.pop_front() {
            if self.has_unhandled_line(deadline.token) {
                spared.push(deadline);
                continue;
            }
            self.evict_unless_complete(deadline.token);
            evicted = true;
            break;
        }
        for deadline in spared.into_iter().rev() {
            self.awaiting_handshake.push_front(deadline);
        }
        evicted
    }

    /// Whether a complete line has arrived from a peer whose handshake is incomplete, read or not: its owner is
    /// about to handle it, so the connection is not idle.
    fn has_unhandled_line(&mut self, token: Token) -> bool {
        let has_line = |socket: &Socket| socket.input.contains(&b'\n');
        if self.sockets.get(token).is_some_and(|socket| socket.awaiting_handshake && !has_line(socket)) {
            self.read_available(token);
        }
        self.sockets.get(token).is_some_and(|socket| socket.awaiting_handshake && has_line(socket))
    }

    /// Closes a connection whose handshake is still incomplete, and tells its owner.
    fn evict_unless_complete(&mut self, token: Token) {
        let Some(socket) = self.sockets.get(token) else { return };
        if socket.awaiting_handshake && socket.state == SocketState::Open {
            let owner = socket.owner;
            if let Some(farewell) = socket.farewell {
                // As much as the peer takes at once: a request may be on its way that crosses the end.
                let _ = system::write(&socket.fd, farewell);
            }
            self.pending_events.push(SocketEvent { token, owner, kind: SocketEventKind::Evicted });
            self.drop_socket(token);
        }
    }

    /// What a peer is sent if its connection is evicted before its handshake is complete; none is sent where it has had
    /// an answer already.
    pub fn set_farewell(&mut self, token: Token, farewell: Option<&'static [u8]>) {
        if let Some(socket) = self.sockets.get_mut(token) {
            socket.farewell = farewell;
        }
    }

    /// When the handshake of a connection must be complete, if it is not yet.
    pub(super) fn handshake_deadline(&self, token: Token) -> Option<MonotonicTime> {
        if !self.sockets.get(token)?.awaiting_handshake {
            return None;
        }
        self.awaiting_handshake.iter().find(|deadline| deadline.token == token).map(|deadline| deadline.at)
    }
}

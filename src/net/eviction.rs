//! Connections that are closed before others when descriptors run short, and the time limits of the same connections:
//! closed ones that linger, and accepted ones whose handshake is incomplete.

use super::buffered_sockets::{BufferedSockets, Closing};
use super::deadlines::DeadlineQueue;
use super::event::SocketEventKind;
use super::slab::Token;
use super::socket::Socket;
use super::socket_store::SocketStore;
use super::system;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How long a closed connection waits for the peer's end.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// An accepted peer has this long to complete its handshake: less than the 3 s that are promised, by more than an
/// iteration of the event loop.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Connections that nobody uses yet, or any more.
#[derive(Default)]
pub(super) struct EvictionCandidates {
    /// Closed connections that wait for the peer's end, the one closed first in front.
    lingering: DeadlineQueue,
    /// Accepted connections whose handshake may be incomplete, by deadline.
    awaiting_handshake: DeadlineQueue,
}

impl EvictionCandidates {
    // ---- Closed connections --------------------------------------------------------------------

    /// Closes a connection after its output is written, and waits a while for the peer's end.
    pub(super) fn close(&mut self, sockets: &mut BufferedSockets, token: Token) {
        if sockets.close(token) == Closing::Lingering {
            self.lingering.push_latest(sockets.store.now() + LINGER_TIMEOUT, token);
        }
    }

    /// Closes the connections that have waited long enough for the peer's end.
    pub(super) fn end_expired_lingering(&mut self, store: &mut SocketStore) {
        while let Some(token) = self.lingering.pop_reached(store.now()) {
            store.close(token);
        }
    }

    /// Whether every connection that was closed is over on both sides.
    pub(super) fn all_closes_complete(&self, store: &SocketStore) -> bool {
        self.lingering.tokens().all(|token| store.get(token).is_none())
    }

    // ---- Incomplete handshakes -----------------------------------------------------------------

    /// A connection has been accepted: its handshake is to be complete in time.
    pub(super) fn await_handshake(&mut self, now: MonotonicTime, token: Token) {
        self.awaiting_handshake.push_latest(now + HANDSHAKE_TIMEOUT, token);
    }

    /// The handshake of a connection from another process is to be complete by then.
    pub(super) fn await_handshake_until(&mut self, deadline: MonotonicTime, token: Token) {
        self.awaiting_handshake.insert(deadline, token);
    }

    /// When the handshake of a connection must be complete, if it is not yet.
    pub(super) fn handshake_deadline(&self, store: &SocketStore, token: Token) -> Option<MonotonicTime> {
        if !store.get(token)?.is_awaiting_handshake() {
            return None;
        }
        self.awaiting_handshake.deadline_of(token)
    }

    /// Tells the owners of connections whose handshake has taken too long.
    pub(super) fn report_handshake_timeouts(&mut self, store: &mut SocketStore) {
        while let Some(token) = self.awaiting_handshake.pop_reached(store.now()) {
            if store.get(token).is_some_and(Socket::is_awaiting_handshake) {
                store.emit(token, SocketEventKind::HandshakeTimeout);
            }
        }
    }

    // ---- Eviction ------------------------------------------------------------------------------

    /// Evicts connections while descriptors run short: closed ones that linger, the oldest first, then those that
    /// have not completed their handshake. False where only connections in use are left.
    pub(super) fn reclaim_descriptors(&mut self, sockets: &mut BufferedSockets) -> bool {
        while sockets.store.is_short_of_descriptors() {
            if !self.evict(sockets) {
                return false;
            }
        }
        true
    }

    /// Evicts one connection, if one can be.
    pub(super) fn evict(&mut self, sockets: &mut BufferedSockets) -> bool {
        if let Some(deadline) = self.lingering.pop_earliest() {
            sockets.store.close(deadline.token());
            return true;
        }
        let mut spared = Vec::new();
        let mut evicted = false;
        while let Some(deadline) = self.awaiting_handshake.pop_earliest() {
            if has_unhandled_line(sockets, deadline.token()) {
                spared.push(deadline);
                continue;
            }
            evict_unless_complete(&mut sockets.store, deadline.token());
            evicted = true;
            break;
        }
        self.awaiting_handshake.put_back(spared);
        evicted
    }
}

/// Whether a complete line has arrived from a peer whose handshake is incomplete, read or not: its owner is
/// about to handle it, so the connection is not idle.
fn has_unhandled_line(sockets: &mut BufferedSockets, token: Token) -> bool {
    let has_line = |socket: &Socket| socket.buffers.input().contains(&b'\n');
    let awaiting_line = |socket: &Socket| socket.is_awaiting_handshake() && !has_line(socket);
    if sockets.store.get(token).is_some_and(awaiting_line) {
        sockets.read_available(token);
    }
    sockets.store.get(token).is_some_and(|socket| socket.is_awaiting_handshake() && has_line(socket))
}

/// Closes a connection whose handshake is still incomplete, and tells its owner.
fn evict_unless_complete(store: &mut SocketStore, token: Token) {
    let Some(socket) = store.get(token) else { return };
    if socket.is_awaiting_handshake() && socket.is_open() {
        if let Some(farewell) = socket.farewell() {
            // As much as the peer takes at once: a request may be on its way that crosses the end.
            let _ = system::write(&socket.fd, farewell);
        }
        store.emit(token, SocketEventKind::Evicted);
        store.close(token);
    }
}

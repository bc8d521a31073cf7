//! Eviction: which connections are closed first when descriptors are short. These are lingering closed
//! connections and accepted connections with an incomplete handshake, whose time limits are enforced here
//! too.

use super::buffered_sockets::{BufferedSockets, CloseStatus};
use super::deadlines::DeadlineQueue;
use super::event::{SocketEventKind, SocketOwner};
use super::linger::{release, LingerEnd};
use super::slab::Token;
use super::socket::Socket;
use super::socket_store::SocketStore;
use super::system;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How long a closed connection waits for the peer to close its side.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection that was closed after delivery waits for the peer to read its output and close its side.
const DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for an accepted peer to complete its handshake. The guaranteed limit is 3 s; this is shorter by
/// more than one iteration of the event loop, so that the limit is kept.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The least time to complete a handshake after the accept, for peers that have waited in a listener's backlog.
const MIN_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections that can be evicted because no request uses them: not yet, or no longer.
#[derive(Default)]
pub(super) struct EvictionCandidates {
    /// Closed connections that wait for the peer to close its side, ordered by time of close.
    lingering: DeadlineQueue,
    /// Closed connections whose peers may still have much output to read, ordered by time of close.
    delivering: DeadlineQueue,
    /// Accepted connections whose handshake may be incomplete, ordered by deadline.
    awaiting_handshake: DeadlineQueue,
    /// What the peers of these owners are sent when their connections are evicted.
    answers: Vec<(SocketOwner, &'static [u8])>,
}

impl EvictionCandidates {
    /// Closes a connection once its output is written, then waits a limited time for the peer to close its
    /// side.
    pub(super) fn close(&mut self, sockets: &mut BufferedSockets, token: Token) {
        if sockets.close(token) == CloseStatus::Lingering {
            self.lingering.push_latest(sockets.store.now() + LINGER_TIMEOUT, token);
        }
    }

    /// Like [`EvictionCandidates::close`], but waits up to [`DELIVERY_TIMEOUT`].
    pub(super) fn close_after_delivery(&mut self, sockets: &mut BufferedSockets, token: Token) {
        if sockets.close(token) == CloseStatus::Lingering {
            // Most peers close within milliseconds, long before their deadlines.
            self.delivering.drop_front_while(|token| sockets.store.get(token).is_none());
            self.delivering.push_latest(sockets.store.now() + DELIVERY_TIMEOUT, token);
        }
    }

    /// Closes the connections whose wait for the peer has expired.
    pub(super) fn close_expired_lingering(&mut self, store: &mut SocketStore) {
        for queue in [&mut self.lingering, &mut self.delivering] {
            while let Some(token) = queue.pop_expired(store.now()) {
                release(store, token, LingerEnd::TimedOut);
            }
        }
    }

    /// Whether both sides of every closed connection have finished closing.
    pub(super) fn all_closes_complete(&self, store: &SocketStore) -> bool {
        let mut closed = self.lingering.tokens().chain(self.delivering.tokens());
        closed.all(|token| store.get(token).is_none())
    }

    /// Sets what the peers of an owner are sent when their connections are evicted with an incomplete handshake.
    pub(super) fn set_answer(&mut self, owner: SocketOwner, answer: &'static [u8]) {
        self.answers.retain(|(other, _)| *other != owner);
        self.answers.push((owner, answer));
    }

    /// Closes a connection if its handshake is still incomplete, and notifies its owner. Returns whether it was closed.
    fn evict_if_handshake_incomplete(&self, store: &mut SocketStore, token: Token) -> bool {
        let is_candidate = |socket: &&Socket| socket.is_awaiting_handshake() && socket.is_open();
        let Some(socket) = store.get(token).filter(is_candidate) else { return false };
        let answer = self.answers.iter().find(|(owner, _)| *owner == socket.owner);
        if let Some((_, answer)) = answer {
            // Best effort, without buffering the rest. A request may already be on its way, and this is its answer.
            let _ = system::write(&socket.fd, answer);
        }
        store.emit(token, SocketEventKind::Evicted);
        store.close(token);
        true
    }

    /// Starts the time limit for the handshake of a connection that is accepted now. It counts from the arrival in the
    /// listener's backlog.
    pub(super) fn await_handshake(&mut self, now: MonotonicTime, arrived_at: MonotonicTime, token: Token) {
        let deadline = (arrived_at + HANDSHAKE_TIMEOUT).max(now + MIN_HANDSHAKE_TIMEOUT);
        self.awaiting_handshake.insert(deadline, token);
    }

    /// Sets the handshake deadline of a connection that another process exported.
    pub(super) fn await_handshake_until(&mut self, deadline: MonotonicTime, token: Token) {
        self.awaiting_handshake.insert(deadline, token);
    }

    /// Returns the handshake deadline of a connection, or `None` if its handshake is complete.
    pub(super) fn handshake_deadline(&self, store: &SocketStore, token: Token) -> Option<MonotonicTime> {
        if !store.get(token)?.is_awaiting_handshake() {
            return None;
        }
        self.awaiting_handshake.deadline_of(token)
    }

    /// Notifies the owners of connections whose handshake deadline has passed.
    pub(super) fn report_handshake_timeouts(&mut self, store: &mut SocketStore) {
        while let Some(token) = self.awaiting_handshake.pop_expired(store.now()) {
            if store.get(token).is_some_and(Socket::is_awaiting_handshake) {
                store.emit(token, SocketEventKind::HandshakeTimeout);
            }
        }
    }

    /// Evicts connections while descriptors are short, in the order of [`EvictionCandidates::evict`]. Returns false if
    /// only connections in use are left.
    pub(super) fn reclaim_descriptors(&mut self, sockets: &mut BufferedSockets) -> bool {
        while sockets.store.is_short_of_descriptors() {
            if !self.evict(sockets) {
                return false;
            }
        }
        true
    }

    /// Evicts one connection: a lingering one, else one with an incomplete handshake, else one whose peer may still
    /// have to read the last lines of its session; the oldest of its kind first. Returns false if there is no
    /// candidate.
    pub(super) fn evict(&mut self, sockets: &mut BufferedSockets) -> bool {
        evict_closed(&mut self.lingering, sockets)
            || self.evict_awaiting_handshake(sockets)
            || evict_closed(&mut self.delivering, sockets)
    }

    fn evict_awaiting_handshake(&mut self, sockets: &mut BufferedSockets) -> bool {
        let mut skipped = Vec::new();
        let mut evicted = false;
        while let Some(deadline) = self.awaiting_handshake.pop_earliest() {
            if has_unhandled_line(sockets, deadline.token()) {
                skipped.push(deadline);
                continue;
            }
            evicted = self.evict_if_handshake_incomplete(&mut sockets.store, deadline.token());
            if evicted {
                break;
            }
        }
        self.awaiting_handshake.put_back(skipped);
        evicted
    }
}

/// Evicts the earliest closed connection of a queue. Returns false if there is none.
fn evict_closed(queue: &mut DeadlineQueue, sockets: &mut BufferedSockets) -> bool {
    while let Some(deadline) = queue.pop_earliest() {
        if sockets.store.get(deadline.token()).is_some() {
            release(&mut sockets.store, deadline.token(), LingerEnd::Evicted);
            return true;
        }
    }
    false
}

/// Whether a peer whose handshake is incomplete has sent a complete line, in the buffer or still in the
/// kernel. Its owner is about to handle that line, so the connection is not idle.
fn has_unhandled_line(sockets: &mut BufferedSockets, token: Token) -> bool {
    let has_line = |socket: &Socket| socket.buffers.input().contains(&b'\n');
    let awaiting_line = |socket: &Socket| socket.is_awaiting_handshake() && !has_line(socket);
    if sockets.store.get(token).is_some_and(awaiting_line) {
        sockets.read_available(token);
    }
    sockets.store.get(token).is_some_and(|socket| socket.is_awaiting_handshake() && has_line(socket))
}

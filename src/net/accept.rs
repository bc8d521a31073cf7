//! Accepting connections, and backpressure on the listeners when descriptors are short.

use super::buffered_sockets::BufferedSockets;
use super::event::{SocketEventKind, SocketOwner};
use super::eviction::EvictionCandidates;
use super::listener::LISTEN_BACKLOG;
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::socket_store::SocketStore;
use super::system::{self, Interest};
use rustix::io::Errno;
use rustix::net::sockopt;
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Connections accepted from one listener per iteration. This is less than the number of descriptors that are
/// kept free, so that the arrivals of a single iteration cannot use up the last ones.
const ACCEPTS_PER_ITERATION: usize = 16;
/// Connections accepted per iteration from one listener with reserved descriptors. This is less than the size of
/// the reserve, so that every connection is read before it can be evicted.
const RESERVED_ACCEPTS_PER_ITERATION: usize = 4;
/// How long accepting pauses after a shortage of descriptors or kernel memory.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections while descriptors are available.
pub(super) struct Acceptor {
    /// End of the current pause. Accepting pauses when the system is short of descriptors or memory.
    paused_until: Option<MonotonicTime>,
    /// When the listeners paused whose backlogs have not been empty since: a connection in such a backlog may have waited
    /// there from then on.
    backlogged_since: HashMap<Token, MonotonicTime>,
    pause_count: u64,
    /// Whether the frontends accept connections. If not, another process accepts them on the shared sockets.
    frontends_accept: bool,
}

impl Acceptor {
    /// Creates an acceptor with all listeners enabled.
    pub(super) fn new() -> Acceptor {
        Acceptor {
            paused_until: None,
            backlogged_since: HashMap::new(),
            pause_count: 0,
            frontends_accept: true,
        }
    }

    /// Sets whether the frontends accept connections.
    pub(super) fn set_frontends_accept(&mut self, store: &mut SocketStore, accepting: bool) {
        self.frontends_accept = accepting;
        if !accepting {
            self.backlogged_since.clear();
        }
        let paused = self.paused_until.is_some();
        self.set_listener_interest(store, if paused { Interest::empty() } else { Interest::IN });
    }

    /// Accepts all connections that are queued at the frontends' listeners. Returns whether there were any.
    pub(super) fn accept_pending(
        &mut self,
        sockets: &mut BufferedSockets,
        candidates: &mut EvictionCandidates,
    ) -> bool {
        if !self.frontends_accept {
            return false;
        }
        let events_before = sockets.store.pending_event_count();
        for listener in sockets.store.tokens_where(Socket::is_frontend_listener) {
            for _ in 0..LISTEN_BACKLOG as usize / ACCEPTS_PER_ITERATION {
                let accepted_before = sockets.store.pending_event_count();
                self.accept_ready(sockets, candidates, listener);
                if sockets.store.pending_event_count() == accepted_before {
                    break;
                }
            }
        }
        sockets.store.pending_event_count() > events_before
    }

    /// Accepts the connections that are queued at a listener, up to the limit per iteration.
    pub(super) fn accept_ready(
        &mut self,
        sockets: &mut BufferedSockets,
        candidates: &mut EvictionCandidates,
        listener: Token,
    ) {
        let Some(uses_reserve) = sockets.store.get(listener).map(|socket| socket.uses_reserve()) else {
            return;
        };
        let max_accepts = if uses_reserve { RESERVED_ACCEPTS_PER_ITERATION } else { ACCEPTS_PER_ITERATION };
        let mut failures = 0;
        for _ in 0..max_accepts {
            let Some(socket) = sockets.store.get(listener) else { return };
            let owner = socket.owner;
            let now = sockets.store.now();
            let arrived_at = self.backlogged_since.get(&listener).copied().unwrap_or(now);
            match system::accept(&socket.fd) {
                Ok(fd) if uses_reserve => add_reserved(sockets, fd, listener, owner),
                Ok(fd) => add_accepted(sockets, candidates, fd, listener, owner, arrived_at),
                Err(Errno::AGAIN) => {
                    self.backlogged_since.remove(&listener);
                    return;
                }
                // EMFILE: the actual limit of the process is lower than the configured one.
                Err(Errno::MFILE) if candidates.evict(sockets) => {}
                // A system-wide shortage, which an eviction here would not relieve.
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    return self.pause(&mut sockets.store);
                }
                // This connection failed before it was accepted; the next accept may succeed.
                Err(_) => failures += 1,
            }
        }
        // The listener itself may have failed. It stays readable, which would keep the event loop from sleeping.
        if failures == max_accepts {
            self.pause(&mut sockets.store);
        }
    }

    /// Suspends the interest in all listeners for [`ACCEPT_PAUSE`]: they stay readable, which would keep the
    /// event loop from sleeping.
    fn pause(&mut self, store: &mut SocketStore) {
        self.paused_until = Some(store.now() + ACCEPT_PAUSE);
        self.pause_count += 1;
        tracing::warn!(open_sockets = store.len(), "accepting paused, no descriptor available");
        for listener in store.tokens_where(|socket| socket.state() == SocketState::Listening) {
            self.backlogged_since.entry(listener).or_insert(store.now());
        }
        self.set_listener_interest(store, Interest::empty());
    }

    /// Resumes accepting if the pause has expired.
    pub(super) fn resume_if_pause_expired(&mut self, store: &mut SocketStore) {
        if self.paused_until.is_some_and(|until| until <= store.now()) {
            self.paused_until = None;
            self.set_listener_interest(store, Interest::IN);
        }
    }

    /// Caps the time-out of a wait, so that it does not outlast the pause of accepting.
    pub(super) fn cap_timeout(&self, timeout: Duration) -> Duration {
        if self.paused_until.is_some() {
            timeout.min(ACCEPT_PAUSE)
        } else {
            timeout
        }
    }

    /// Number of pauses so far.
    pub(super) fn pause_count(&self) -> u64 {
        self.pause_count
    }

    fn set_listener_interest(&self, store: &mut SocketStore, interest: Interest) {
        for listener in store.tokens_where(|socket| socket.state() == SocketState::Listening) {
            let is_frontend = store.get(listener).is_some_and(Socket::is_frontend_listener);
            let suspended = !self.frontends_accept && is_frontend;
            store.change_interest(listener, if suspended { Interest::empty() } else { interest });
        }
    }
}

fn add_accepted(
    sockets: &mut BufferedSockets,
    candidates: &mut EvictionCandidates,
    fd: OwnedFd,
    listener: Token,
    owner: SocketOwner,
    arrived_at: MonotonicTime,
) {
    let Some(token) = insert_accepted(&mut sockets.store, fd, listener, owner) else { return };
    if let Some(socket) = sockets.store.get_mut(token) {
        socket.await_handshake();
    }
    // Reclaim before this connection becomes a candidate, so that earlier ones are evicted instead: this one
    // has had no time to complete its handshake.
    candidates.reclaim_descriptors(sockets);
    candidates.await_handshake(sockets.store.now(), arrived_at, token);
}

/// Adds a connection on a reserved descriptor. It is read immediately: a connection whose request has already
/// arrived in full must not be evicted as idle.
fn add_reserved(sockets: &mut BufferedSockets, fd: OwnedFd, listener: Token, owner: SocketOwner) {
    let Some(token) = insert_accepted(&mut sockets.store, fd, listener, owner) else { return };
    if let Some(socket) = sockets.store.get_mut(token) {
        socket.use_reserve();
    }
    while let Some(idle) = sockets.store.descriptors_mut().reserve_mut().pop_longest_idle_if_full() {
        sockets.store.emit(idle, SocketEventKind::Evicted);
        sockets.store.close(idle);
    }
    sockets.store.descriptors_mut().reserve_mut().add(token);
    sockets.read(token);
    sockets.store.update_interest(token);
}

fn insert_accepted(
    store: &mut SocketStore,
    fd: OwnedFd,
    listener: Token,
    owner: SocketOwner,
) -> Option<Token> {
    // Best effort: without TCP_NODELAY, small writes are delayed but still arrive.
    let _ = sockopt::set_tcp_nodelay(&fd, true);
    let token = store.insert(fd, owner, SocketState::Open).ok()?;
    store.emit(token, SocketEventKind::Accepted);
    store.get_mut(token)?.set_listener(listener);
    Some(token)
}

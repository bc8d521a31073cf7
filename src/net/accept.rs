//! Listeners, and the backpressure on them when descriptors run short.

use super::event::{SocketEvent, SocketEventKind, SocketOwner};
use super::listener::{BoundListener, ListeningSocket};
use super::poller::Interest;
use super::reactor::{SocketDeadline, SocketReactor};
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::system;
use crate::frontend_id::FrontendId;
use rustix::io::Errno;
use rustix::net::sockopt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Connections that the system queues for a listener.
const LISTEN_BACKLOG: i32 = 1024;
/// Connections accepted from one listener in one iteration: fewer than the descriptors that stay free, so that
/// one iteration's arrivals never take the last ones.
const ACCEPTS_PER_ITERATION: usize = 16;
/// The same for a listener with reserved descriptors: fewer than its reserve, so that each connection is read
/// before it can be evicted.
const RESERVED_ACCEPTS_PER_ITERATION: usize = 4;
/// How long accepting pauses when the system has no descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// An accepted peer has this long to complete its handshake. 3 s are promised, and the event loop runs at least
/// five times a second.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_600);

impl SocketReactor {
    // ---- Listening -----------------------------------------------------------------------------

    /// Listens on an address and yields the address that it is bound to, for a port that the system picked.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub fn listen(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<SocketAddr> {
        self.listen_with_token(addr, owner).map(|listener| listener.addr)
    }

    /// The same, with the listener's token, for an owner of several listeners
    /// ([`SocketReactor::accepting_listener`]).
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub fn listen_with_token(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<BoundListener> {
        let matches_addr = |at: &SocketAddr| *at == addr || (addr.port() == 0 && at.ip() == addr.ip());
        let inherited = self.inherited_listeners.iter().position(|listener| matches_addr(&listener.addr));
        if let Some(index) = inherited {
            let ListeningSocket { addr, fd } = self.inherited_listeners.remove(index);
            rustix::io::ioctl_fionbio(&fd, true)?;
            return Ok(BoundListener { token: self.insert(fd, owner, SocketState::Listening)?, addr });
        }
        let fd = system::stream_socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, LISTEN_BACKLOG)?;
        let addr = bound_addr(&fd)?;
        Ok(BoundListener { token: self.insert(fd, owner, SocketState::Listening)?, addr })
    }

    /// Listens for connections on reserved descriptors, `max_connections` at a time: no shortage takes these
    /// descriptors, and the longest idle connection among them is evicted for the next one. Their events come
    /// first.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub fn listen_with_reserve(
        &mut self,
        addr: SocketAddr,
        owner: SocketOwner,
        max_connections: usize,
    ) -> io::Result<SocketAddr> {
        let listener = self.listen_with_token(addr, owner)?;
        if let Some(socket) = self.sockets.get_mut(listener.token) {
            socket.uses_reserve = true;
        }
        self.reserve_descriptors(max_connections);
        Ok(listener.addr)
    }

    /// Registers a socket that listens already, and that another process may share.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_listener(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<SocketAddr> {
        // Another process may accept the connection that this one was woken for.
        rustix::io::ioctl_fionbio(&fd, true)?;
        let bound = bound_addr(&fd)?;
        self.insert(fd, owner, SocketState::Listening)?;
        Ok(bound)
    }

    /// Gives listening sockets of the process before this one. Whoever listens at one of these addresses from now
    /// on gets that socket.
    pub fn inherit_listeners(&mut self, listeners: Vec<ListeningSocket>) {
        self.inherited_listeners = listeners;
    }

    /// Duplicates of the frontends' listening sockets except one frontend's, for another process to share.
    pub fn listeners_except(&self, excluded: FrontendId) -> Vec<ListeningSocket> {
        let mut listeners = Vec::new();
        for socket in self.sockets.values().filter(|socket| socket.state == SocketState::Listening) {
            if !matches!(socket.owner, SocketOwner::Frontend(frontend) if frontend != excluded) {
                continue;
            }
            if let (Ok(addr), Ok(fd)) = (bound_addr(&socket.fd), socket.fd.try_clone()) {
                listeners.push(ListeningSocket { addr, fd });
            }
        }
        listeners
    }

    // ---- Accepting -----------------------------------------------------------------------------

    /// Sets whether the frontends accept connections.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.frontends_accept = accepting;
        let paused = self.accept_paused_until.is_some();
        self.watch_listeners(if paused { Interest::empty() } else { Interest::IN });
    }

    /// A peer has completed its handshake: its connection is no longer evicted for others.
    pub fn mark_handshake_complete(&mut self, token: Token) {
        if let Some(socket) = self.sockets.get_mut(token) {
            socket.awaiting_handshake = false;
        }
    }

    /// Accepts all connections that wait at the frontends' listeners, so that a process that ends leaves none of them
    /// unanswered. Yields whether there were any; they are among the next events.
    pub fn accept_waiting(&mut self) -> bool {
        if !self.frontends_accept {
            return false;
        }
        let is_frontend_listener = |socket: &Socket| {
            socket.state == SocketState::Listening && matches!(socket.owner, SocketOwner::Frontend(_))
        };
        let sockets = self.sockets.iter_mut();
        let listeners: Vec<Token> =
            sockets.filter(|(_, socket)| is_frontend_listener(socket)).map(|(token, _)| token).collect();
        let events_before = self.pending_events.len();
        for listener in listeners {
            for _ in 0..LISTEN_BACKLOG as usize / ACCEPTS_PER_ITERATION {
                let accepted_before = self.pending_events.len();
                self.accept_ready(listener);
                if self.pending_events.len() == accepted_before {
                    break;
                }
            }
        }
        self.pending_events.len() > events_before
    }

    /// Accepts the connections that wait at a listener, up to the limit of an iteration.
    pub(super) fn accept_ready(&mut self, listener: Token) {
        let Some(uses_reserve) = self.sockets.get(listener).map(|socket| socket.uses_reserve) else { return };
        let max_accepts = if uses_reserve { RESERVED_ACCEPTS_PER_ITERATION } else { ACCEPTS_PER_ITERATION };
        let mut failures = 0;
        for _ in 0..max_accepts {
            let Some(socket) = self.sockets.get(listener) else { return };
            let owner = socket.owner;
            match system::accept(&socket.fd) {
                Ok(fd) => self.add_accepted(fd, listener, owner, uses_reserve),
                Err(Errno::AGAIN) => return,
                // The system gives this process fewer descriptors than the configuration says.
                Err(Errno::MFILE) if self.evict() => {}
                // The whole system is short of something: an eviction here would not help.
                Err(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) => {
                    return self.pause_accepting();
                }
                // That connection is gone already; the next may not be.
                Err(_) => failures += 1,
            }
        }
        // The listener stays readable whatever is wrong with it.
        if failures == max_accepts {
            self.pause_accepting();
        }
    }

    fn add_accepted(&mut self, fd: OwnedFd, listener: Token, owner: SocketOwner, uses_reserve: bool) {
        // Without it answers are late, no more.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        let Ok(token) = self.insert(fd, owner, SocketState::Open) else { return };
        self.pending_events.push(SocketEvent { token, owner, kind: SocketEventKind::Accepted });
        if let Some(socket) = self.sockets.get_mut(token) {
            socket.awaiting_handshake = !uses_reserve;
            socket.listener = Some(listener);
            socket.uses_reserve = uses_reserve;
        }
        if uses_reserve {
            return self.take_reserved_descriptor(token);
        }
        // Connections accepted before it are evicted: this one has had no time to complete its handshake.
        self.reclaim_descriptors();
        self.awaiting_handshake.push_back(SocketDeadline { at: self.now + HANDSHAKE_TIMEOUT, token });
    }

    /// Admits a connection on a reserved descriptor. It is read at once, so that a complete call is not evicted.
    fn take_reserved_descriptor(&mut self, token: Token) {
        while let Some(idle) = self.reserve.pop_excess() {
            let Some(socket) = self.sockets.get(idle) else { continue };
            if !socket.is_lingering() {
                let owner = socket.owner;
                self.pending_events.push(SocketEvent { token: idle, owner, kind: SocketEventKind::Evicted });
            }
            self.drop_socket(idle);
        }
        self.reserve.add(token);
        self.read_into_buffer(token);
        self.update_interest(token);
    }

    /// The listeners stay readable: watched, they would keep the loop from sleeping.
    fn pause_accepting(&mut self) {
        self.accept_paused_until = Some(self.now + ACCEPT_PAUSE);
        self.shortages.accept_pauses += 1;
        tracing::warn!(open_sockets = self.sockets.len(), "accepting paused, no descriptor available");
        self.watch_listeners(Interest::empty());
    }

    /// Ends a pause that has lasted long enough.
    pub(super) fn resume_accepting_if_rested(&mut self) {
        if self.accept_paused_until.is_some_and(|until| until <= self.now) {
            self.accept_paused_until = None;
            self.watch_listeners(Interest::IN);
        }
    }

    /// The time-out of a wait that must not outlast a pause.
    pub(super) fn limit_by_accept_pause(&self, timeout: Duration) -> Duration {
        if self.accept_paused_until.is_some() {
            timeout.min(ACCEPT_PAUSE)
        } else {
            timeout
        }
    }

    fn watch_listeners(&mut self, interest: Interest) {
        let listening = |(_, socket): &(Token, &mut Socket)| socket.state == SocketState::Listening;
        let listeners: Vec<(Token, SocketOwner)> =
            self.sockets.iter_mut().filter(listening).map(|(token, socket)| (token, socket.owner)).collect();
        for (token, owner) in listeners {
            let suspended = !self.frontends_accept && matches!(owner, SocketOwner::Frontend(_));
            self.change_interest(token, if suspended { Interest::empty() } else { interest });
        }
    }
}

/// The address that a socket is bound to.
fn bound_addr(fd: &OwnedFd) -> Result<SocketAddr, Errno> {
    SocketAddr::try_from(rustix::net::getsockname(fd)?).map_err(|_| Errno::AFNOSUPPORT)
}

//! The reactor: polls all sockets, and offers their owners the operations on a socket.
//!
//! The state and the logic are in the submodules of `net`; this file calls them in the required order.

use super::accept::Acceptor;
use super::buffered_sockets::BufferedSockets;
use super::connect::Connector;
use super::connect_error::ConnectError;
use super::event::{ConnectedSocket, SocketEvent, SocketEventKind, SocketOwner};
use super::eviction::EvictionCandidates;
use super::listener::{BoundListener, InheritedListeners, ListeningSocket};
use super::poller::Readiness;
use super::slab::Token;
use super::socket::{Socket, SocketState};
use super::system::Interest;
use super::transfer::{BufferedConnection, ExportedConnection};
use crate::frontend_id::FrontendId;
use sparbank_time::MonotonicTime;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

mod queries;
#[cfg(test)]
mod tests;

/// Counts of resource shortages since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageCounts {
    /// Times that accepting was paused.
    pub accept_pauses: u64,
    /// Changes of the epoll set that the kernel refused.
    pub refused_watches: u64,
    /// Times that a connection was paused because a read or write failed for lack of kernel memory.
    pub transfer_pauses: u64,
    /// Connections that could not be started for lack of a descriptor, a port or memory.
    pub failed_connects: u64,
}

/// All sockets of the node. The parts are listed in the [module documentation](super).
pub struct SocketReactor {
    sockets: BufferedSockets,
    candidates: EvictionCandidates,
    acceptor: Acceptor,
    connector: Connector,
    inherited_listeners: InheritedListeners,
}

impl SocketReactor {
    /// Creates a reactor without sockets, for a process that may open `descriptor_limit` descriptors.
    ///
    /// # Errors
    /// Returns an error if the epoll instance cannot be created.
    pub fn new(descriptor_limit: usize) -> io::Result<SocketReactor> {
        Ok(SocketReactor {
            sockets: BufferedSockets::new(descriptor_limit)?,
            candidates: EvictionCandidates::default(),
            acceptor: Acceptor::new(),
            connector: Connector::default(),
            inherited_listeners: InheritedListeners::default(),
        })
    }

    /// Waits for at most `timeout` and returns the events. Those of connections on reserved descriptors come
    /// first.
    ///
    /// # Errors
    /// Returns an error if epoll itself fails; the node cannot continue then.
    pub fn poll(&mut self, now: MonotonicTime, timeout: Duration) -> io::Result<Vec<SocketEvent>> {
        self.sockets.store.set_now(now);
        self.candidates.close_expired_lingering(&mut self.sockets.store);
        self.candidates.report_handshake_timeouts(&mut self.sockets.store);
        self.acceptor.resume_if_pause_expired(&mut self.sockets.store);
        self.sockets.resume_paused();
        self.sockets.store.retry_refused_changes();
        for readiness in self.sockets.store.wait(self.cap_timeout(timeout))? {
            self.handle_readiness(readiness);
        }
        Ok(self.sockets.store.take_events_reserved_first())
    }

    /// Caps the time-out so that the wait neither outlasts a pause nor delays events that are already queued.
    fn cap_timeout(&self, timeout: Duration) -> Duration {
        if self.sockets.store.pending_event_count() > 0 {
            return Duration::ZERO;
        }
        let timeout = self.acceptor.cap_timeout(timeout);
        let timeout = self.sockets.store.cap_timeout(timeout);
        self.sockets.pauses().cap_timeout(timeout)
    }

    /// Returns the events queued since the last poll, without waiting.
    pub fn take_pending_events(&mut self) -> Vec<SocketEvent> {
        self.sockets.store.take_events()
    }

    fn handle_readiness(&mut self, Readiness { token, flags }: Readiness) {
        let Some(socket) = self.sockets.store.get(token) else { return };
        match socket.state() {
            SocketState::Listening => {
                self.acceptor.accept_ready(&mut self.sockets, &mut self.candidates, token);
            }
            SocketState::Failed => {}
            SocketState::Raw => self.report_raw_readiness(token, flags),
            SocketState::Connecting => self.connector.on_ready(&mut self.sockets, token, flags),
            SocketState::Open | SocketState::Lingering { .. } => self.perform_io(token, flags),
        }
    }

    fn report_raw_readiness(&mut self, token: Token, flags: Interest) {
        // ERR and HUP count as readable too: the owner detects the peer's close by reading.
        if flags != Interest::OUT {
            self.sockets.store.emit(token, SocketEventKind::Readable);
        }
        if flags.contains(Interest::OUT) {
            self.sockets.store.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    fn perform_io(&mut self, token: Token, flags: Interest) {
        let Some(socket) = self.sockets.store.get(token) else { return };
        let hung_up = socket.is_read_closed() && flags.contains(Interest::HUP);
        if flags.contains(Interest::RDHUP) && self.notice_peer_end(token) {
            self.sockets.store.emit(token, SocketEventKind::Readable);
        }
        if flags.contains(Interest::IN) {
            self.sockets.read(token);
        } else if flags.contains(Interest::ERR) || hung_up {
            return self.sockets.fail(token, None);
        }
        if flags.contains(Interest::OUT) {
            self.sockets.write(token);
        }
        self.sockets.store.update_interest(token);
    }

    fn notice_peer_end(&mut self, token: Token) -> bool {
        self.sockets.store.get_mut(token).is_some_and(Socket::notice_peer_end)
    }

    /// Requests an event once the peer has closed its write side, also while input that precedes the end is not read:
    /// [`SocketReactor::has_peer_ended`] is true from then on.
    pub fn watch_peer_end(&mut self, token: Token) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.watch_peer_end();
        }
        self.sockets.store.update_interest(token);
    }

    /// Starts a connection. Bytes sent before it is established are buffered
    /// ([`SocketReactor::take_established`]).
    ///
    /// # Errors
    /// Returns an error if no descriptor is available or the connection fails immediately.
    pub fn connect(&mut self, addr: SocketAddr, owner: SocketOwner) -> Result<Token, ConnectError> {
        self.connector.connect(&mut self.sockets, &mut self.candidates, addr, owner)
    }

    /// Takes the connections that were established since the last call, in the order of establishment.
    /// Nothing is written to them yet: their owners decide what is written first, once all other events of
    /// the iteration are handled, and then call [`SocketReactor::flush`].
    pub fn take_established(&mut self) -> Vec<ConnectedSocket> {
        self.connector.take_established(&self.sockets.store)
    }

    /// Listens on an address. Returns the bound address, which has the actual port if port 0 was requested.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn listen(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<SocketAddr> {
        self.listen_with_token(addr, owner).map(|listener| listener.addr)
    }

    /// Like [`SocketReactor::listen`], but also returns the listener's token, for an owner of several
    /// listeners ([`SocketReactor::accepting_listener`]).
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn listen_with_token(&mut self, addr: SocketAddr, owner: SocketOwner) -> io::Result<BoundListener> {
        let listening = match self.inherited_listeners.take(addr) {
            Some(ListeningSocket { addr, fd }) => {
                rustix::io::ioctl_fionbio(&fd, true)?;
                ListeningSocket { addr, fd }
            }
            None => ListeningSocket::bind(addr)?,
        };
        self.add_listener(listening, owner)
    }

    /// Listens for connections that use reserved descriptors, `max_connections` at most. A shortage of
    /// descriptors does not affect them; when the reserve is full, the connection that has been idle longest
    /// is evicted for the next one. Their events are delivered first.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub fn listen_with_reserve(
        &mut self,
        addr: SocketAddr,
        owner: SocketOwner,
        max_connections: usize,
    ) -> io::Result<SocketAddr> {
        let listener = self.listen_with_token(addr, owner)?;
        if let Some(socket) = self.sockets.store.get_mut(listener.token) {
            socket.use_reserve();
        }
        self.reserve_descriptors(max_connections);
        Ok(listener.addr)
    }

    /// Registers a socket that is already listening and that may be shared with another process.
    ///
    /// # Errors
    /// Returns an error if it cannot be made non-blocking or registered with epoll.
    pub fn register_listener(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<SocketAddr> {
        let listening = ListeningSocket::adopt(fd)?;
        self.add_listener(listening, owner).map(|listener| listener.addr)
    }

    fn add_listener(&mut self, listening: ListeningSocket, owner: SocketOwner) -> io::Result<BoundListener> {
        let ListeningSocket { addr, fd } = listening;
        let token = self.sockets.store.insert(fd, owner, SocketState::Listening)?;
        Ok(BoundListener { token, addr })
    }

    /// Adopts the listening sockets of the predecessor. A later call that listens on one of their addresses
    /// gets the inherited socket.
    pub fn inherit_listeners(&mut self, listeners: Vec<ListeningSocket>) {
        self.inherited_listeners = InheritedListeners::new(listeners);
    }

    /// Duplicates the listening sockets of all frontends but `excluded`, to share them with another process.
    pub fn listeners_except(&self, excluded: FrontendId) -> Vec<ListeningSocket> {
        let is_shared = |socket: &&Socket| {
            socket.is_frontend_listener() && socket.owner != SocketOwner::Frontend(excluded)
        };
        let shared = self.sockets.store.values().filter(is_shared);
        shared.filter_map(|socket| ListeningSocket::duplicate(&socket.fd)).collect()
    }

    /// Sets whether the frontends' listeners accept connections.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.acceptor.set_frontends_accept(&mut self.sockets.store, accepting);
    }

    /// Accepts all connections that are queued at the frontends' listeners, so that a process that exits
    /// leaves none of them unanswered. Returns whether there were any; their events are returned by the next
    /// poll.
    pub fn accept_pending(&mut self) -> bool {
        self.acceptor.accept_pending(&mut self.sockets, &mut self.candidates)
    }

    /// Marks the peer's handshake as complete: the connection is no longer a candidate for eviction.
    pub fn mark_handshake_complete(&mut self, token: Token) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.complete_handshake();
        }
    }

    /// Registers a descriptor that is read through a buffer, such as a signal pipe.
    ///
    /// # Errors
    /// Returns an error if it cannot be made non-blocking or registered with epoll.
    pub fn register_reader(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.sockets.store.insert(fd, owner, SocketState::Open)?)
    }

    /// Registers a raw descriptor, which its owner reads and writes directly.
    ///
    /// # Errors
    /// Returns an error if it cannot be made non-blocking or registered with epoll.
    pub fn register_raw(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.sockets.store.insert(fd, owner, SocketState::Raw)?)
    }

    /// Sets whether the owner of a raw descriptor is notified when it is writable.
    pub fn set_writable_interest(&mut self, token: Token, enabled: bool) {
        let Some(socket) = self.sockets.store.get(token) else { return };
        let writable = if enabled { Interest::OUT } else { Interest::empty() };
        let interest = Interest::IN | writable;
        if socket.state() == SocketState::Raw && socket.registration.interest() != interest {
            self.sockets.store.change_interest(token, interest);
        }
    }

    /// The received bytes. The owner removes the bytes that it has consumed.
    pub fn input_buffer(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.sockets.store.get_mut(token).map(|socket| socket.buffers.input_mut())
    }

    /// Updates the epoll interest to match the socket's buffers. Owners call it after they have consumed
    /// input.
    pub fn update_interest(&mut self, token: Token) {
        self.sockets.store.update_interest(token);
    }

    /// Sets how many bytes of input are buffered. If the owner handles a frame only once it is complete, the limit
    /// must be at least the size of the frame.
    pub fn set_read_limit(&mut self, token: Token, bytes: usize) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.buffers.set_read_limit(bytes);
        }
    }

    /// Reads whatever has arrived by now (data, end of stream or a reset), for owners that must not act on
    /// stale state.
    pub fn read_available(&mut self, token: Token) {
        self.sockets.read_available(token);
    }

    /// Sends bytes. What cannot be written immediately is buffered and written as the peer reads.
    pub fn send(&mut self, token: Token, bytes: &[u8]) {
        self.sockets.send(token, bytes);
    }

    /// Writes buffered output until the peer accepts no more.
    pub fn flush(&mut self, token: Token) {
        self.sockets.flush(token);
    }

    /// Shuts down the write direction once the buffered output is written. The peer may continue to send.
    pub fn shutdown_write(&mut self, token: Token) {
        self.sockets.shutdown_write(token);
    }

    /// Closes the connection once its output is written, then waits a limited time for the peer to close its
    /// side. The token becomes invalid for the owner. A connection that is not established is closed
    /// immediately.
    pub fn close(&mut self, token: Token) {
        self.candidates.close(&mut self.sockets, token);
    }

    /// Like [`SocketReactor::close`], but discards buffered output. Returns how many bytes of output were written in
    /// all: no further byte will be, so the number tells for good what the peer may receive.
    pub fn close_discarding_output(&mut self, token: Token) -> u64 {
        let Some(socket) = self.sockets.store.get_mut(token) else { return 0 };
        socket.buffers.discard_output();
        let bytes_written = socket.buffers.bytes_written();
        self.close(token);
        bytes_written
    }

    /// Like [`SocketReactor::close`], for a connection whose peer may still have to read much of its output: waits
    /// longer for the peer to close its side.
    pub fn close_after_delivery(&mut self, token: Token) {
        self.candidates.close_after_delivery(&mut self.sockets, token);
    }

    /// Closes the connection immediately and discards buffered output.
    pub fn close_without_flush(&mut self, token: Token) {
        self.sockets.store.close(token);
    }

    /// Closes the connection with a reset, to propagate the reset of the connection that it is paired with.
    pub fn reset(&mut self, token: Token) {
        self.sockets.reset(token);
    }

    /// Changes how many descriptors the process may open.
    pub fn set_descriptor_limit(&mut self, limit: usize) {
        self.sockets.store.descriptors_mut().set_limit(limit);
    }

    /// Reserves additional descriptors, for files and sockets that the reactor does not count.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.sockets.store.descriptors_mut().reserve_mut().grow(descriptors);
    }

    /// Evicts connections that no request uses while descriptors are short. Returns false if only connections in use
    /// are left.
    pub fn reclaim_descriptors(&mut self) -> bool {
        self.candidates.reclaim_descriptors(&mut self.sockets)
    }

    /// Sets what the peers of an owner are sent when their connections are evicted before their handshakes are complete.
    /// The peers of other owners are sent nothing.
    pub fn set_eviction_answer(&mut self, owner: SocketOwner, answer: &'static [u8]) {
        self.candidates.set_answer(owner, answer);
    }

    /// Removes a connection from the reactor so that another process can continue it. Returns `None` if
    /// [`SocketReactor::can_transfer`] is false.
    pub fn export_connection(&mut self, token: Token) -> Option<ExportedConnection> {
        if !self.can_transfer(token) {
            return None;
        }
        let handshake_deadline = self.candidates.handshake_deadline(&self.sockets.store, token);
        let socket = self.sockets.store.remove(token)?;
        let connection = BufferedConnection::new(socket.buffers, handshake_deadline);
        Some(ExportedConnection { fd: socket.fd, connection })
    }

    /// Adds a connection that another process exported.
    ///
    /// # Errors
    /// Returns an error if it cannot be made non-blocking or registered with epoll.
    pub fn import_connection(
        &mut self,
        fd: OwnedFd,
        connection: BufferedConnection,
        owner: SocketOwner,
    ) -> io::Result<Token> {
        let token = self.register_reader(fd, owner)?;
        let handshake_deadline = connection.handshake_deadline();
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.buffers = connection.into_buffers();
            if handshake_deadline.is_some() {
                socket.await_handshake();
            }
        }
        if let Some(deadline) = handshake_deadline {
            self.candidates.await_handshake_until(deadline, token);
        }
        self.sockets.store.update_interest(token);
        Ok(token)
    }
}

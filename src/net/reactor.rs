//! The reactor: the wait for events of all sockets, and what owners may do with a socket.
//!
//! The work is done by the parts that own the state; this file calls them in the right order.

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

/// How often the system was short of something, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageCounts {
    /// Pauses of the listeners.
    pub accept_pauses: u64,
    /// Changes of the epoll set that were refused.
    pub refused_watches: u64,
    /// Connections that were paused because a read or write found no kernel memory.
    pub transfer_pauses: u64,
    /// Connections that could not be started for lack of a descriptor, a port or memory.
    pub failed_connects: u64,
}

/// All sockets of the node. See the [module](super) for the parts.
pub struct SocketReactor {
    sockets: BufferedSockets,
    candidates: EvictionCandidates,
    acceptor: Acceptor,
    connector: Connector,
    inherited_listeners: InheritedListeners,
}

impl SocketReactor {
    /// A reactor without sockets, for a process that may have this many descriptors.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub fn new(descriptor_limit: usize) -> io::Result<SocketReactor> {
        Ok(SocketReactor {
            sockets: BufferedSockets::new(descriptor_limit)?,
            candidates: EvictionCandidates::default(),
            acceptor: Acceptor::new(),
            connector: Connector::default(),
            inherited_listeners: InheritedListeners::default(),
        })
    }

    // ---- Waiting -------------------------------------------------------------------------------

    /// Waits for at most `timeout` and yields what happened, events of connections on reserved descriptors first.
    ///
    /// # Errors
    /// Where epoll itself fails; the node cannot continue.
    pub fn poll(&mut self, now: MonotonicTime, timeout: Duration) -> io::Result<Vec<SocketEvent>> {
        self.sockets.store.set_now(now);
        self.candidates.end_expired_lingering(&mut self.sockets.store);
        self.candidates.report_handshake_timeouts(&mut self.sockets.store);
        self.acceptor.resume_if_pause_is_over(&mut self.sockets.store);
        self.sockets.resume_paused();
        self.sockets.store.retry_refused_changes();
        for readiness in self.sockets.store.wait(self.limit_wait(timeout))? {
            self.handle_readiness(readiness);
        }
        Ok(self.sockets.store.take_events_reserved_first())
    }

    /// The time-out of a wait that must not outlast a pause, or delay events that are there already.
    fn limit_wait(&self, timeout: Duration) -> Duration {
        if self.sockets.store.event_count() > 0 {
            return Duration::ZERO;
        }
        let timeout = self.acceptor.limit_wait(timeout);
        let timeout = self.sockets.store.limit_wait(timeout);
        self.sockets.pauses().limit_wait(timeout)
    }

    /// What has happened since the last poll without a wait of its own.
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
            SocketState::Open | SocketState::Lingering { .. } => self.transfer_bytes(token, flags),
        }
    }

    fn report_raw_readiness(&mut self, token: Token, flags: Interest) {
        // The owner finds the peer's end by reading.
        if flags != Interest::OUT {
            self.sockets.store.emit(token, SocketEventKind::Readable);
        }
        if flags.contains(Interest::OUT) {
            self.sockets.store.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    fn transfer_bytes(&mut self, token: Token, flags: Interest) {
        let Some(socket) = self.sockets.store.get(token) else { return };
        let hung_up = socket.is_read_closed() && flags.contains(Interest::HUP);
        if flags.contains(Interest::IN) {
            self.sockets.read(token);
        } else if flags.contains(Interest::ERR) || hung_up {
            return self.sockets.fail(token);
        }
        if flags.contains(Interest::OUT) {
            self.sockets.write(token);
        }
        self.sockets.store.update_interest(token);
    }

    // ---- Connecting ----------------------------------------------------------------------------

    /// Starts a connection. What is sent meanwhile is written once it is established
    /// ([`SocketReactor::take_connected`]).
    ///
    /// # Errors
    /// Where there is no descriptor, or the system refuses at once.
    pub fn connect(&mut self, addr: SocketAddr, owner: SocketOwner) -> Result<Token, ConnectError> {
        self.connector.connect(&mut self.sockets, &mut self.candidates, addr, owner)
    }

    /// The connections that were established since the last call, in that order. Their owners decide what is written
    /// first, once all else of the iteration is known; [`SocketReactor::flush`] then writes it.
    pub fn take_connected(&mut self) -> Vec<ConnectedSocket> {
        self.connector.take_established(&self.sockets.store)
    }

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
        let listening = match self.inherited_listeners.take(addr) {
            Some(ListeningSocket { addr, fd }) => {
                rustix::io::ioctl_fionbio(&fd, true)?;
                ListeningSocket { addr, fd }
            }
            None => ListeningSocket::bind(addr)?,
        };
        self.add_listener(listening, owner)
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
        if let Some(socket) = self.sockets.store.get_mut(listener.token) {
            socket.use_reserve();
        }
        self.reserve_descriptors(max_connections);
        Ok(listener.addr)
    }

    /// Registers a socket that listens already, and that another process may share.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_listener(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<SocketAddr> {
        let listening = ListeningSocket::adopt(fd)?;
        self.add_listener(listening, owner).map(|listener| listener.addr)
    }

    fn add_listener(&mut self, listening: ListeningSocket, owner: SocketOwner) -> io::Result<BoundListener> {
        let ListeningSocket { addr, fd } = listening;
        let token = self.sockets.store.insert(fd, owner, SocketState::Listening)?;
        Ok(BoundListener { token, addr })
    }

    /// Gives listening sockets of the process before this one. Whoever listens at one of these addresses from now
    /// on gets that socket.
    pub fn inherit_listeners(&mut self, listeners: Vec<ListeningSocket>) {
        self.inherited_listeners = InheritedListeners::new(listeners);
    }

    /// Duplicates of the frontends' listening sockets except one frontend's, for another process to share.
    pub fn listeners_except(&self, excluded: FrontendId) -> Vec<ListeningSocket> {
        let is_shared = |socket: &&Socket| {
            socket.is_frontend_listener() && socket.owner != SocketOwner::Frontend(excluded)
        };
        let shared = self.sockets.store.values().filter(is_shared);
        shared.filter_map(|socket| ListeningSocket::duplicate(&socket.fd)).collect()
    }

    /// Sets whether the frontends accept connections.
    pub fn set_accepting(&mut self, accepting: bool) {
        self.acceptor.set_frontends_accept(&mut self.sockets.store, accepting);
    }

    /// Accepts all connections that wait at the frontends' listeners, so that a process that ends leaves none of them
    /// unanswered. Yields whether there were any; they are among the next events.
    pub fn accept_waiting(&mut self) -> bool {
        self.acceptor.accept_waiting(&mut self.sockets, &mut self.candidates)
    }

    /// A peer has completed its handshake: its connection is no longer evicted for others.
    pub fn mark_handshake_complete(&mut self, token: Token) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.complete_handshake();
        }
    }

    // ---- Other descriptors ---------------------------------------------------------------------

    /// Registers a descriptor to be read through a buffer, such as a signal's pipe.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_reader(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.sockets.store.insert(fd, owner, SocketState::Open)?)
    }

    /// Registers a descriptor that its owner reads and writes itself.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_raw(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.sockets.store.insert(fd, owner, SocketState::Raw)?)
    }

    /// Whether the owner of a raw descriptor wants to know when it takes more bytes.
    pub fn set_writable_interest(&mut self, token: Token, wanted: bool) {
        let Some(socket) = self.sockets.store.get(token) else { return };
        let writable = if wanted { Interest::OUT } else { Interest::empty() };
        let interest = Interest::IN | writable;
        if socket.state() == SocketState::Raw && socket.watch.interest() != interest {
            self.sockets.store.change_interest(token, interest);
        }
    }

    // ---- Reading and writing -------------------------------------------------------------------

    /// The bytes that have arrived. The owner removes what it has handled.
    pub fn input_buffer(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.sockets.store.get_mut(token).map(|socket| socket.buffers.input_mut())
    }

    /// Watches for what the socket's buffers allow. Owners call it after they have taken input.
    pub fn update_interest(&mut self, token: Token) {
        self.sockets.store.update_interest(token);
    }

    /// How many bytes may be buffered ahead of the owner: a frame that is handled in one piece must fit.
    pub fn set_read_limit(&mut self, token: Token, bytes: usize) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.buffers.set_read_limit(bytes);
        }
    }

    /// Reads what has arrived by now (bytes, the peer's end or its reset), for owners that must not act on an
    /// older state.
    pub fn read_available(&mut self, token: Token) {
        self.sockets.read_available(token);
    }

    /// Sends bytes: at once as far as the peer takes them, the rest as it drains.
    pub fn send(&mut self, token: Token, bytes: &[u8]) {
        self.sockets.send(token, bytes);
    }

    /// Writes what waits on a connection, as far as the peer takes it.
    pub fn flush(&mut self, token: Token) {
        self.sockets.flush(token);
    }

    // ---- Closing -------------------------------------------------------------------------------

    /// Ends our direction of the connection once the output is written. The peer may go on sending.
    pub fn shutdown_write(&mut self, token: Token) {
        self.sockets.shutdown_write(token);
    }

    /// Closes the connection after its output is written, and waits a while for the peer's end. The owner's
    /// token is no longer valid. A connection that was not established is closed at once.
    pub fn close(&mut self, token: Token) {
        self.candidates.close(&mut self.sockets, token);
    }

    /// Closes the connection at once; output that waits is not written.
    pub fn close_without_flush(&mut self, token: Token) {
        self.sockets.store.close(token);
    }

    /// Closes the connection with a reset, as its counterpart was.
    pub fn reset(&mut self, token: Token) {
        self.sockets.reset(token);
    }

    // ---- Descriptors ---------------------------------------------------------------------------

    /// Changes how many descriptors the process may have.
    pub fn set_descriptor_limit(&mut self, limit: usize) {
        self.sockets.store.descriptors_mut().set_limit(limit);
    }

    /// Sets this many descriptors aside for what is not counted here.
    pub fn reserve_descriptors(&mut self, descriptors: usize) {
        self.sockets.store.descriptors_mut().reserve_mut().enlarge(descriptors);
    }

    /// Evicts connections while descriptors run short: closed ones that linger, the oldest first, then those that
    /// have not completed their handshake. False where only connections in use are left.
    pub fn reclaim_descriptors(&mut self) -> bool {
        self.candidates.reclaim_descriptors(&mut self.sockets)
    }

    /// What a peer is sent if its connection is evicted before its handshake is complete; none is sent where it has had
    /// an answer already.
    pub fn set_farewell(&mut self, token: Token, farewell: Option<&'static [u8]>) {
        if let Some(socket) = self.sockets.store.get_mut(token) {
            socket.set_farewell(farewell);
        }
    }

    // ---- Transfer to another process -----------------------------------------------------------

    /// Takes a connection out, for another process to continue. None where [`SocketReactor::can_transfer`] says
    /// no.
    pub fn export_connection(&mut self, token: Token) -> Option<ExportedConnection> {
        if !self.can_transfer(token) {
            return None;
        }
        let handshake_deadline = self.candidates.handshake_deadline(&self.sockets.store, token);
        let socket = self.sockets.store.remove(token)?;
        let connection = BufferedConnection::new(socket.buffers, handshake_deadline);
        Some(ExportedConnection { fd: socket.fd, connection })
    }

    /// Continues a connection that another process exported.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
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

//! The reactor: one wait for all sockets, and queries about each.

use super::connect_error::ConnectError;
use super::event::{SocketEvent, SocketEventKind, SocketOwner};
use super::listener::ListeningSocket;
use super::poller::{Interest, Poller, Readiness};
use super::reserve::DescriptorReserve;
use super::slab::{Slab, Token};
use super::socket::{Socket, SocketState};
use super::system;
use super::watch_retry::{is_watch_shortage, WatchState};
use rustix::io::Errno;
use rustix::net::sockopt;
use sparbank_time::MonotonicTime;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// One read takes at most this much.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// A time limit of one socket.
pub(super) struct SocketDeadline {
    pub(super) at: MonotonicTime,
    pub(super) token: Token,
}

/// How often the system was short of something, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShortageCounts {
    /// Pauses of the listeners.
    pub accept_pauses: u64,
    /// Changes of the epoll set that were refused.
    pub refused_watches: u64,
    /// Connections that rested because a read or write found no kernel memory.
    pub transfer_pauses: u64,
    /// Connections that could not be started for want of a descriptor, a port or memory.
    pub failed_connects: u64,
}

/// All sockets of the node. See the [module](super) for how the concerns are divided.
pub struct SocketReactor {
    pub(super) poller: Poller,
    pub(super) sockets: Slab<Socket>,
    /// How many descriptors the process may hold.
    pub(super) descriptor_limit: usize,
    pub(super) reserve: DescriptorReserve,
    /// Closed connections that wait for the peer's end, the one closed first in front.
    pub(super) lingering: VecDeque<SocketDeadline>,
    /// Accepted connections whose handshake may be incomplete, by deadline.
    pub(super) awaiting_handshake: VecDeque<SocketDeadline>,
    /// Accepting is paused until then, because the system had no descriptors left.
    pub(super) accept_paused_until: Option<MonotonicTime>,
    /// Whether the frontends accept connections; where not, another process does.
    pub(super) frontends_accept: bool,
    /// Listening sockets of the process before this one that nobody listens on yet.
    pub(super) inherited_listeners: Vec<ListeningSocket>,
    pub(super) pending_events: Vec<SocketEvent>,
    /// Sockets whose last change of the epoll set the system has refused.
    pub(super) refused_watches: Vec<Token>,
    /// Connections that rest for want of kernel memory, by the end of the pause.
    pub(super) paused_transfers: VecDeque<SocketDeadline>,
    /// How often the system was short of something.
    pub(super) shortages: ShortageCounts,
    /// Connections established since the last [`SocketReactor::take_connected`].
    pub(super) connected: Vec<Token>,
    /// The time of the last poll.
    pub(super) now: MonotonicTime,
    pub(super) read_chunk: Vec<u8>,
}

impl SocketReactor {
    /// A reactor without sockets, for a process that may hold this many descriptors.
    ///
    /// # Errors
    /// Where the system gives no epoll instance.
    pub fn new(descriptor_limit: usize) -> io::Result<SocketReactor> {
        Ok(SocketReactor {
            poller: Poller::new()?,
            sockets: Slab::new(),
            descriptor_limit,
            reserve: DescriptorReserve::default(),
            lingering: VecDeque::new(),
            awaiting_handshake: VecDeque::new(),
            accept_paused_until: None,
            frontends_accept: true,
            inherited_listeners: Vec::new(),
            pending_events: Vec::new(),
            refused_watches: Vec::new(),
            paused_transfers: VecDeque::new(),
            shortages: ShortageCounts::default(),
            connected: Vec::new(),
            now: MonotonicTime::ZERO,
            read_chunk: vec![0; READ_CHUNK_BYTES],
        })
    }

    // ---- Waiting -------------------------------------------------------------------------------

    /// Waits for at most `timeout` and yields what happened, connections on reserved descriptors
    /// first.
    ///
    /// # Errors
    /// Where epoll itself fails; the node cannot go on.
    pub fn poll(&mut self, now: MonotonicTime, timeout: Duration) -> io::Result<Vec<SocketEvent>> {
        self.now = now;
        self.end_expired_lingering();
        self.report_handshake_timeouts();
        self.resume_accepting_if_rested();
        self.resume_paused_transfers();
        self.retry_refused_watches();
        let timeout = if self.pending_events.is_empty() { timeout } else { Duration::ZERO };
        let timeout = self.limit_by_accept_pause(timeout);
        let timeout = self.limit_by_paused_transfers(self.limit_by_refused_watches(timeout));
        for readiness in self.poller.wait(timeout)? {
            self.handle_readiness(readiness);
        }
        let mut events = std::mem::take(&mut self.pending_events);
        if !self.reserve.is_unused() {
            events.sort_by_key(|event| !self.uses_reserve(event.token));
        }
        Ok(events)
    }

    /// What has happened since the last poll without a wait of its own.
    pub fn take_pending_events(&mut self) -> Vec<SocketEvent> {
        std::mem::take(&mut self.pending_events)
    }

    fn uses_reserve(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| socket.uses_reserve)
    }

    fn end_expired_lingering(&mut self) {
        while self.lingering.front().is_some_and(|deadline| deadline.at <= self.now) {
            if let Some(deadline) = self.lingering.pop_front() {
                self.drop_socket(deadline.token);
            }
        }
    }

    fn report_handshake_timeouts(&mut self) {
        while self.awaiting_handshake.front().is_some_and(|deadline| deadline.at <= self.now) {
            let Some(SocketDeadline { token, .. }) = self.awaiting_handshake.pop_front() else { return };
            if self.sockets.get(token).is_some_and(|socket| socket.awaiting_handshake) {
                self.emit(token, SocketEventKind::HandshakeTimeout);
            }
        }
    }

    fn handle_readiness(&mut self, Readiness { token, flags }: Readiness) {
        let Some(socket) = self.sockets.get(token) else { return };
        match socket.state {
            SocketState::Listening => self.accept_ready(token),
            SocketState::Failed => {}
            SocketState::Raw => self.report_raw_readiness(token, flags),
            SocketState::Connecting => self.handle_connect_result(token, flags),
            SocketState::Open | SocketState::Lingering { .. } => self.transfer_bytes(token, flags),
        }
    }

    fn report_raw_readiness(&mut self, token: Token, flags: Interest) {
        // The owner finds the peer's end by reading.
        if flags != Interest::OUT {
            self.emit(token, SocketEventKind::Readable);
        }
        if flags.contains(Interest::OUT) {
            self.emit(token, SocketEventKind::OutputFlushed);
        }
    }

    fn handle_connect_result(&mut self, token: Token, flags: Interest) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if let Ok(Err(_)) | Err(_) = sockopt::socket_error(&socket.fd) {
            return self.fail(token);
        }
        if flags.contains(Interest::OUT) {
            socket.state = SocketState::Open;
            self.connected.push(token);
        }
    }

    fn transfer_bytes(&mut self, token: Token, flags: Interest) {
        let Some(socket) = self.sockets.get(token) else { return };
        let hung_up = socket.read_closed && flags.contains(Interest::HUP);
        if flags.contains(Interest::IN) {
            self.read_into_buffer(token);
        } else if flags.contains(Interest::ERR) || hung_up {
            return self.fail(token);
        }
        if flags.contains(Interest::OUT) {
            self.flush_output(token);
        }
        self.update_interest(token);
    }

    /// Queues an event. The owner of a connection that it has closed hears nothing more of it.
    pub(super) fn emit(&mut self, token: Token, kind: SocketEventKind) {
        if let Some(socket) = self.sockets.get(token).filter(|socket| !socket.is_lingering()) {
            let owner = socket.owner;
            self.pending_events.push(SocketEvent { token, owner, kind });
        }
    }

    // ---- Opening -------------------------------------------------------------------------------

    /// Starts a connection. What is sent meanwhile is written once it is established
    /// ([`SocketReactor::take_connected`]).
    ///
    /// # Errors
    /// Where there is no descriptor, or the system refuses at once.
    pub fn connect(&mut self, addr: SocketAddr, owner: SocketOwner) -> Result<Token, ConnectError> {
        let connecting = self.start_connect(addr, owner);
        if let Err(ConnectError::Shortage(_)) = connecting {
            self.shortages.failed_connects += 1;
        }
        connecting
    }

    fn start_connect(&mut self, addr: SocketAddr, owner: SocketOwner) -> Result<Token, ConnectError> {
        let fd = loop {
            match system::stream_socket(addr) {
                // The system gives fewer descriptors than the configuration says.
                Err(Errno::MFILE) if self.evict() => {}
                created => break created?,
            }
        };
        // Without it lines are late, no more.
        let _ = sockopt::set_tcp_nodelay(&fd, true);
        match system::connect(&fd, addr) {
            // An interrupted call goes on in the background like any other.
            Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
            Err(error) => return Err(error.into()),
        }
        Ok(self.insert(fd, owner, SocketState::Connecting)?)
    }

    /// Registers a descriptor to be read through a buffer, such as a signal's pipe.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_reader(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.insert(fd, owner, SocketState::Open)?)
    }

    /// Registers a descriptor that its owner reads and writes itself.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn register_raw(&mut self, fd: OwnedFd, owner: SocketOwner) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.insert(fd, owner, SocketState::Raw)?)
    }

    /// Puts a socket into the slab and watches it.
    pub(super) fn insert(
        &mut self,
        fd: OwnedFd,
        owner: SocketOwner,
        state: SocketState,
    ) -> Result<Token, Errno> {
        let poller = &self.poller;
        let mut is_refused = false;
        let token = self.sockets.insert_with(|token| {
            let mut socket = Socket::new(fd, owner, state);
            match poller.add(&socket.fd, token, socket.interest) {
                Err(error) if is_watch_shortage(error) => {
                    socket.watch = WatchState::AddRefused;
                    is_refused = true;
                }
                added => added?,
            }
            Ok::<_, Errno>(socket)
        })?;
        if is_refused {
            self.shortages.refused_watches += 1;
            self.refused_watches.push(token);
        }
        Ok(token)
    }

    // ---- Interest ------------------------------------------------------------------------------

    /// Watches for what the socket's buffers allow. Owners call it after they have taken input.
    pub fn update_interest(&mut self, token: Token) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        if matches!(socket.state, SocketState::Failed | SocketState::Raw) {
            return;
        }
        let interest = socket.wanted_interest();
        if interest != socket.interest {
            self.change_interest(token, interest);
        }
    }

    /// Whether the owner of a raw descriptor wants to know when it takes more bytes.
    pub fn set_writable_interest(&mut self, token: Token, wanted: bool) {
        let Some(socket) = self.sockets.get_mut(token) else { return };
        let writable = if wanted { Interest::OUT } else { Interest::empty() };
        let interest = Interest::IN | writable;
        if socket.state == SocketState::Raw && socket.interest != interest {
            self.change_interest(token, interest);
        }
    }

    /// How many bytes may be buffered ahead of the owner: a frame that is handled in one piece must fit.
    pub fn set_read_limit(&mut self, token: Token, bytes: usize) {
        if let Some(socket) = self.sockets.get_mut(token) {
            socket.read_limit_bytes = bytes;
        }
    }

    /// How often the system was short of something.
    pub fn shortages(&self) -> ShortageCounts {
        self.shortages
    }

    // ---- Queries -------------------------------------------------------------------------------

    /// The descriptor of a raw socket.
    pub fn raw_descriptor(&self, token: Token) -> Option<&OwnedFd> {
        self.sockets.get(token).filter(|socket| socket.state == SocketState::Raw).map(|socket| &socket.fd)
    }

    /// The listener that accepted a connection.
    pub fn accepting_listener(&self, token: Token) -> Option<Token> {
        self.sockets.get(token)?.listener
    }

    /// The address of a connection's other end.
    pub fn peer_addr(&self, token: Token) -> Option<SocketAddr> {
        let socket = self.sockets.get(token)?;
        rustix::net::getpeername(&socket.fd).ok()?.and_then(|addr| SocketAddr::try_from(addr).ok())
    }

    /// Whether the connection failed; input that had arrived is still there.
    pub fn is_failed(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| socket.state == SocketState::Failed)
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| socket.state == SocketState::Connecting)
    }

    /// Whether the peer has ended its sending; bytes may still wait in [`SocketReactor::input_buffer`].
    pub fn is_read_closed(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| socket.read_closed)
    }

    /// The bytes that have arrived. The owner removes what it has handled.
    pub fn input_buffer(&mut self, token: Token) -> Option<&mut Vec<u8>> {
        self.sockets.get_mut(token).map(|socket| &mut socket.input)
    }

    /// How many bytes wait to be written.
    pub fn pending_output_bytes(&self, token: Token) -> usize {
        self.sockets.get(token).map_or(0, |socket| socket.output.len())
    }

    /// Whether any byte has been written.
    pub fn has_written(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| socket.bytes_written > 0)
    }

    /// How many bytes have been written.
    pub fn bytes_written(&self, token: Token) -> u64 {
        self.sockets.get(token).map_or(0, |socket| socket.bytes_written)
    }

    /// The position in the output stream of the next byte that is sent.
    pub fn output_position(&self, token: Token) -> u64 {
        self.sockets.get(token).map_or(0, |socket| socket.bytes_written + socket.output.len() as u64)
    }

    /// Whether every connection that was closed is over on both sides.
    pub fn all_closes_complete(&self) -> bool {
        self.lingering.iter().all(|deadline| self.sockets.get(deadline.token).is_none())
    }

    /// How many descriptors the sockets use.
    pub fn descriptors_in_use(&self) -> usize {
        self.sockets.len()
    }
}

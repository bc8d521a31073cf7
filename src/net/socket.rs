//! A socket: its descriptor, state and buffers.

use super::buffers::Buffers;
use super::epoll_set::EpollRegistration;
use super::event::SocketOwner;
use super::slab::Token;
use super::system::Interest;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::os::fd::OwnedFd;

/// How many bytes a peer may send after its connection was closed here. Beyond this the socket is closed, and
/// the resulting reset makes the peer stop sending.
const LINGER_DISCARD_BYTES: usize = 1024 * 1024;

/// The state of a socket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SocketState {
    /// The socket accepts connections.
    Listening,
    /// A connection is being established.
    Connecting,
    /// The connection is established.
    Open,
    /// The connection failed. The owner may read the remaining input and then closes the socket.
    Failed,
    /// The owner has closed the connection. Up to this many bytes from the peer are read and discarded,
    /// because closing with unread input would send a reset that may overtake our last output.
    Lingering { since: MonotonicTime, discard_budget_bytes: usize },
    /// The owner reads and writes the descriptor directly
    /// ([`SocketReactor::raw_descriptor`](super::SocketReactor::raw_descriptor)).
    Raw,
}

/// State of the write direction.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteState {
    /// The owner may send bytes.
    Open,
    /// The write direction is shut down once the buffered output is written.
    ShutdownPending,
    /// The write direction is shut down, so the peer has been sent the end of our output.
    ShutDown,
}

/// Whether the peer's end of stream is noticed while input that precedes it is unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEnd {
    /// It is noticed only once all input is read.
    Unwatched,
    /// It has not been noticed yet.
    Watched,
    /// The peer has closed its write side; input may still be unread.
    Noticed,
}

/// How the connection was accepted, and whether its handshake is complete.
struct AcceptInfo {
    /// The listener that accepted the connection.
    listener: Option<Token>,
    /// The owner has not reported a complete handshake yet.
    awaiting_handshake: bool,
    /// The socket uses a reserved descriptor, or is the listener whose connections use them.
    uses_reserve: bool,
}

/// A socket of the reactor.
pub(super) struct Socket {
    pub(super) fd: OwnedFd,
    pub(super) owner: SocketOwner,
    pub(super) buffers: Buffers,
    /// The events that epoll watches the socket for.
    pub(super) registration: EpollRegistration,
    state: SocketState,
    /// The error with which the connection has failed, if it is known.
    error: Option<Errno>,
    write_state: WriteState,
    /// The peer has closed its write side.
    read_closed: bool,
    /// Whether the owner is notified of the peer's end before it has read all input.
    peer_end: PeerEnd,
    /// When octets from the peer were last read, or when it last made room for buffered output.
    last_peer_activity: MonotonicTime,
    /// Reading and writing are suspended for lack of kernel memory.
    is_paused: bool,
    accept_info: AcceptInfo,
}

impl Socket {
    /// Creates a socket with empty buffers.
    pub(super) fn new(fd: OwnedFd, owner: SocketOwner, state: SocketState) -> Socket {
        let interest = if state == SocketState::Connecting { Interest::OUT } else { Interest::IN };
        Socket {
            fd,
            owner,
            buffers: Buffers::new(),
            registration: EpollRegistration::new(interest),
            state,
            error: None,
            write_state: WriteState::Open,
            read_closed: false,
            peer_end: PeerEnd::Unwatched,
            last_peer_activity: MonotonicTime::ZERO,
            is_paused: false,
            accept_info: AcceptInfo { listener: None, awaiting_handshake: false, uses_reserve: false },
        }
    }

    pub(super) fn state(&self) -> SocketState {
        self.state
    }

    /// Whether the connection is established and the owner has not closed it.
    pub(super) fn is_open(&self) -> bool {
        self.state == SocketState::Open
    }

    /// Whether the owner has closed the connection.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, SocketState::Lingering { .. })
    }

    /// When the owner closed the connection; the latest time if it has not.
    pub(super) fn lingering_since(&self) -> MonotonicTime {
        match self.state {
            SocketState::Lingering { since, .. } => since,
            _ => MonotonicTime::MAX,
        }
    }

    /// Whether this is a listener of a frontend.
    pub(super) fn is_frontend_listener(&self) -> bool {
        self.state == SocketState::Listening && matches!(self.owner, SocketOwner::Frontend(_))
    }

    /// Whether the peer has closed its write side.
    pub(super) fn is_read_closed(&self) -> bool {
        self.read_closed
    }

    /// Whether the owner may send bytes.
    pub(super) fn can_send(&self) -> bool {
        self.write_state == WriteState::Open && self.state != SocketState::Failed
    }

    /// Whether both sides have shut down their write directions.
    pub(super) fn is_fully_closed(&self) -> bool {
        self.read_closed && self.write_state == WriteState::ShutDown
    }

    /// Whether another process can continue the connection: it is established, and neither side has shut down
    /// its write direction.
    pub(super) fn can_transfer(&self) -> bool {
        self.is_open() && !self.read_closed && self.write_state == WriteState::Open
    }

    /// Returns the epoll interest that a buffered socket needs.
    pub(super) fn required_interest(&self) -> Interest {
        if self.is_paused {
            return Interest::empty();
        }
        let connecting = self.state == SocketState::Connecting;
        let has_read_capacity = self.buffers.read_capacity() > 0 || self.is_lingering();
        let mut interest = Interest::empty();
        if !connecting && !self.read_closed && has_read_capacity {
            interest |= Interest::IN;
        }
        if connecting || self.buffers.pending_output_bytes() > 0 {
            interest |= Interest::OUT;
        }
        if self.peer_end == PeerEnd::Watched && !self.read_closed {
            interest |= Interest::RDHUP;
        }
        interest
    }

    /// Requests that the owner is notified of the peer's end of stream before it has read all input.
    pub(super) fn watch_peer_end(&mut self) {
        if self.peer_end == PeerEnd::Unwatched {
            self.peer_end = PeerEnd::Watched;
        }
    }

    /// Records that epoll has reported the peer's end of stream. Returns whether the owner is to be notified.
    pub(super) fn notice_peer_end(&mut self) -> bool {
        let is_watched = self.peer_end == PeerEnd::Watched && self.is_open();
        if is_watched {
            self.peer_end = PeerEnd::Noticed;
        }
        is_watched
    }

    /// Whether the peer has closed its write side, as far as it has been noticed.
    pub(super) fn has_peer_ended(&self) -> bool {
        self.read_closed || self.peer_end == PeerEnd::Noticed
    }

    /// Marks the connection as established.
    pub(super) fn establish(&mut self) {
        self.state = SocketState::Open;
    }

    /// Marks the connection as failed with this error, if it is known.
    pub(super) fn fail(&mut self, error: Option<Errno>) {
        self.state = SocketState::Failed;
        self.error = error;
    }

    /// The error with which the connection has failed, if it is known.
    pub(super) fn error(&self) -> Option<Errno> {
        self.error
    }

    /// Records that the peer has closed its write side.
    pub(super) fn mark_read_closed(&mut self) {
        self.read_closed = true;
    }

    /// Records that octets from the peer were read, or that it made room for buffered output.
    pub(super) fn record_peer_activity(&mut self, now: MonotonicTime) {
        self.last_peer_activity = now;
    }

    /// When octets from the peer were last read, or when it last made room for buffered output.
    pub(super) fn last_peer_activity(&self) -> MonotonicTime {
        self.last_peer_activity
    }

    /// Requests that the write direction is shut down once the buffered output is written.
    pub(super) fn request_shutdown(&mut self) {
        if self.write_state == WriteState::Open {
            self.write_state = WriteState::ShutdownPending;
        }
    }

    /// Called when all output is written. Returns whether the write direction is to be shut down now, and
    /// marks it as shut down.
    pub(super) fn take_pending_shutdown(&mut self) -> bool {
        let pending = self.write_state == WriteState::ShutdownPending;
        if pending {
            self.write_state = WriteState::ShutDown;
        }
        pending
    }

    /// Starts the close: input is discarded from now on, and the write direction is shut down once the
    /// buffered output is written.
    pub(super) fn begin_lingering(&mut self, now: MonotonicTime) {
        if !self.is_lingering() {
            self.state = SocketState::Lingering { since: now, discard_budget_bytes: LINGER_DISCARD_BYTES };
        }
        *self.buffers.input_mut() = Vec::new();
        self.request_shutdown();
    }

    /// Counts input that was discarded after the close. Returns whether the limit on discarded bytes is
    /// reached.
    pub(super) fn record_discarded(&mut self, count: usize) -> bool {
        let SocketState::Lingering { discard_budget_bytes, .. } = &mut self.state else { return false };
        *discard_budget_bytes = discard_budget_bytes.saturating_sub(count);
        *discard_budget_bytes == 0
    }

    /// Suspends reading and writing. Returns false if they were already suspended.
    pub(super) fn pause(&mut self) -> bool {
        !std::mem::replace(&mut self.is_paused, true)
    }

    pub(super) fn resume(&mut self) {
        self.is_paused = false;
    }

    /// Records the listener that accepted the connection.
    pub(super) fn set_listener(&mut self, listener: Token) {
        self.accept_info.listener = Some(listener);
    }

    /// The listener that accepted the connection.
    pub(super) fn listener(&self) -> Option<Token> {
        self.accept_info.listener
    }

    /// Marks the socket as using a reserved descriptor, or as the listener whose connections use them.
    pub(super) fn use_reserve(&mut self) {
        self.accept_info.uses_reserve = true;
    }

    /// Whether the socket uses a reserved descriptor, or is the listener whose connections use them.
    pub(super) fn uses_reserve(&self) -> bool {
        self.accept_info.uses_reserve
    }

    /// Marks the peer's handshake as incomplete.
    pub(super) fn await_handshake(&mut self) {
        self.accept_info.awaiting_handshake = true;
    }

    /// Marks the peer's handshake as complete.
    pub(super) fn complete_handshake(&mut self) {
        self.accept_info.awaiting_handshake = false;
    }

    /// Whether the owner of the accepted connection has not reported a complete handshake yet.
    pub(super) fn is_awaiting_handshake(&self) -> bool {
        self.accept_info.awaiting_handshake
    }
}

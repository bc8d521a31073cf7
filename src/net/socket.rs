//! One socket: its descriptor, its state and its buffers.

use super::buffers::Buffers;
use super::epoll_set::Watch;
use super::event::SocketOwner;
use super::slab::Token;
use super::system::Interest;
use std::os::fd::OwnedFd;

/// What the peer may still send to a closed connection: after that a reset tells it to stop.
const LINGER_DISCARD_BYTES: usize = 1024 * 1024;

/// What a socket is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SocketState {
    /// It accepts connections.
    Listening,
    /// A connection is being established.
    Connecting,
    /// The connection is established.
    Open,
    /// The connection failed. Its input is still there for the owner, who then closes it.
    Failed,
    /// Its owner has closed it. What the peer still sends is read and discarded, up to this many bytes, so that
    /// no reset overtakes our last bytes.
    Lingering { discard_budget_bytes: usize },
    /// Its owner reads and writes the descriptor itself
    /// ([`SocketReactor::raw_descriptor`](super::SocketReactor::raw_descriptor)).
    Raw,
}

/// Our direction of the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteState {
    /// The owner may send.
    Open,
    /// Ends once the output is written.
    ShutdownPending,
    /// The end of our output has been signalled to the peer.
    ShutDown,
}

/// How an accepted connection came here, and how far its handshake is.
struct Acceptance {
    /// The listener that accepted it.
    listener: Option<Token>,
    /// Its owner has not reported a complete handshake yet.
    awaiting_handshake: bool,
    /// What its peer is sent if it is evicted.
    farewell: Option<&'static [u8]>,
    /// It uses one of the reserved descriptors, or it is the listener that hands them out.
    uses_reserve: bool,
}

/// A socket of the reactor.
pub(super) struct Socket {
    pub(super) fd: OwnedFd,
    pub(super) owner: SocketOwner,
    pub(super) buffers: Buffers,
    /// What epoll watches it for.
    pub(super) watch: Watch,
    state: SocketState,
    write_state: WriteState,
    /// The peer has ended its sending.
    read_closed: bool,
    /// It is neither read nor written for a moment, for lack of kernel memory.
    is_paused: bool,
    acceptance: Acceptance,
}

impl Socket {
    /// A socket without any bytes.
    pub(super) fn new(fd: OwnedFd, owner: SocketOwner, state: SocketState) -> Socket {
        let interest = if state == SocketState::Connecting { Interest::OUT } else { Interest::IN };
        Socket {
            fd,
            owner,
            buffers: Buffers::new(),
            watch: Watch::new(interest),
            state,
            write_state: WriteState::Open,
            read_closed: false,
            is_paused: false,
            acceptance: Acceptance {
                listener: None,
                awaiting_handshake: false,
                farewell: None,
                uses_reserve: false,
            },
        }
    }

    // ---- State ---------------------------------------------------------------------------------

    /// What it is doing.
    pub(super) fn state(&self) -> SocketState {
        self.state
    }

    /// Whether the connection is established and its owner has not closed it.
    pub(super) fn is_open(&self) -> bool {
        self.state == SocketState::Open
    }

    /// Whether its owner has closed it.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, SocketState::Lingering { .. })
    }

    /// Whether it accepts connections for a frontend.
    pub(super) fn is_frontend_listener(&self) -> bool {
        self.state == SocketState::Listening && matches!(self.owner, SocketOwner::Frontend(_))
    }

    /// Whether the peer has ended its sending.
    pub(super) fn is_read_closed(&self) -> bool {
        self.read_closed
    }

    /// Whether the owner may send.
    pub(super) fn accepts_output(&self) -> bool {
        self.write_state == WriteState::Open && self.state != SocketState::Failed
    }

    /// Whether both sides have ended their sending.
    pub(super) fn is_over(&self) -> bool {
        self.read_closed && self.write_state == WriteState::ShutDown
    }

    /// Whether another process can continue the connection: it is established, and neither side has ended its sending.
    pub(super) fn can_transfer(&self) -> bool {
        self.is_open() && !self.read_closed && self.write_state == WriteState::Open
    }

    /// What epoll is to watch a buffered socket for.
    pub(super) fn wanted_interest(&self) -> Interest {
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
        interest
    }

    // ---- Steps of a connection -----------------------------------------------------------------

    /// The connection has been established.
    pub(super) fn establish(&mut self) {
        self.state = SocketState::Open;
    }

    /// The connection has failed.
    pub(super) fn fail(&mut self) {
        self.state = SocketState::Failed;
    }

    /// The peer has ended its sending.
    pub(super) fn end_reading(&mut self) {
        self.read_closed = true;
    }

    /// Our direction ends once the output is written.
    pub(super) fn request_shutdown(&mut self) {
        if self.write_state == WriteState::Open {
            self.write_state = WriteState::ShutdownPending;
        }
    }

    /// All output is written. Yields whether the end of our output is to be signalled to the peer now.
    pub(super) fn take_due_shutdown(&mut self) -> bool {
        let due = self.write_state == WriteState::ShutdownPending;
        if due {
            self.write_state = WriteState::ShutDown;
        }
        due
    }

    /// Its owner has closed it: input is discarded from now on, and our direction ends once the output is written.
    pub(super) fn linger(&mut self) {
        if !self.is_lingering() {
            self.state = SocketState::Lingering { discard_budget_bytes: LINGER_DISCARD_BYTES };
        }
        *self.buffers.input_mut() = Vec::new();
        self.request_shutdown();
    }

    /// Counts input that was discarded after a close. Yields whether the peer has sent all that it may.
    pub(super) fn discard(&mut self, count: usize) -> bool {
        let SocketState::Lingering { discard_budget_bytes } = &mut self.state else { return false };
        *discard_budget_bytes = discard_budget_bytes.saturating_sub(count);
        *discard_budget_bytes == 0
    }

    /// Pauses reading and writing. Yields whether they were not paused before.
    pub(super) fn pause(&mut self) -> bool {
        !std::mem::replace(&mut self.is_paused, true)
    }

    /// Resumes reading and writing.
    pub(super) fn resume(&mut self) {
        self.is_paused = false;
    }

    // ---- Acceptance ----------------------------------------------------------------------------

    /// The connection was accepted by this listener.
    pub(super) fn set_listener(&mut self, listener: Token) {
        self.acceptance.listener = Some(listener);
    }

    /// The listener that accepted it.
    pub(super) fn listener(&self) -> Option<Token> {
        self.acceptance.listener
    }

    /// It uses one of the reserved descriptors, or hands them out.
    pub(super) fn use_reserve(&mut self) {
        self.acceptance.uses_reserve = true;
    }

    /// Whether it uses one of the reserved descriptors, or hands them out.
    pub(super) fn uses_reserve(&self) -> bool {
        self.acceptance.uses_reserve
    }

    /// The peer is to complete its handshake.
    pub(super) fn await_handshake(&mut self) {
        self.acceptance.awaiting_handshake = true;
    }

    /// The peer has completed its handshake.
    pub(super) fn complete_handshake(&mut self) {
        self.acceptance.awaiting_handshake = false;
    }

    /// Whether the owner of an accepted connection has not reported a complete handshake yet.
    pub(super) fn is_awaiting_handshake(&self) -> bool {
        self.acceptance.awaiting_handshake
    }

    /// Sets what the peer is sent if the connection is evicted.
    pub(super) fn set_farewell(&mut self, farewell: Option<&'static [u8]>) {
        self.acceptance.farewell = farewell;
    }

    /// What the peer is sent if the connection is evicted.
    pub(super) fn farewell(&self) -> Option<&'static [u8]> {
        self.acceptance.farewell
    }
}

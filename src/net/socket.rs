//! One socket: its descriptor, its state and its buffers.

use super::buffers::Buffers;
use super::epoll_set::Watch;
use super::event::SocketOwner;
use super::slab::Token;
use super::system::Interest;
use std::os::fd::OwnedFd;

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
pub(super) enum WriteState {
    /// The owner may send.
    Open,
    /// Ends once the output is written.
    ShutdownPending,
    /// The end of our output has been signalled to the peer.
    ShutDown,
}

/// A socket of the reactor.
pub(super) struct Socket {
    pub(super) fd: OwnedFd,
    pub(super) owner: SocketOwner,
    pub(super) state: SocketState,
    pub(super) write_state: WriteState,
    /// The peer has ended its sending.
    pub(super) read_closed: bool,
    pub(super) buffers: Buffers,
    /// What epoll watches it for.
    pub(super) watch: Watch,
    /// What its peer is sent if it is evicted.
    pub(super) farewell: Option<&'static [u8]>,
    /// It is neither read nor written for a moment, for want of kernel memory.
    pub(super) is_paused: bool,
    /// It was accepted and its owner has not reported a complete handshake yet.
    pub(super) awaiting_handshake: bool,
    /// The listener that accepted it.
    pub(super) listener: Option<Token>,
    /// It uses one of the reserved descriptors, or it is the listener that hands them out.
    pub(super) uses_reserve: bool,
}

impl Socket {
    /// A socket without any bytes.
    pub(super) fn new(fd: OwnedFd, owner: SocketOwner, state: SocketState) -> Socket {
        let interest = if state == SocketState::Connecting { Interest::OUT } else { Interest::IN };
        Socket {
            fd,
            owner,
            state,
            write_state: WriteState::Open,
            read_closed: false,
            buffers: Buffers::new(),
            watch: Watch::new(interest),
            farewell: None,
            is_paused: false,
            awaiting_handshake: false,
            listener: None,
            uses_reserve: false,
        }
    }

    /// Whether its owner has closed it.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, SocketState::Lingering { .. })
    }

    /// Whether it accepts connections for a frontend.
    pub(super) fn is_frontend_listener(&self) -> bool {
        self.state == SocketState::Listening && matches!(self.owner, SocketOwner::Frontend(_))
    }

    /// Whether another process can continue the connection: it is established, and neither side has ended its sending.
    pub(super) fn can_transfer(&self) -> bool {
        self.state == SocketState::Open && !self.read_closed && self.write_state == WriteState::Open
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
}

//! One socket: its descriptor, its state and its buffers.

use super::event::SocketOwner;
use super::poller::Interest;
use super::slab::Token;
use super::watch_retry::WatchState;
use std::os::fd::OwnedFd;

/// Input buffered ahead of the owner, unless the owner sets another limit
/// ([`SocketReactor::set_read_limit`](super::SocketReactor::set_read_limit)).
pub(super) const DEFAULT_READ_LIMIT_BYTES: usize = 8 * 1024;
/// Output waiting at a peer above which the peer is slow: its counterpart's input is not read until it drains.
pub const OUTPUT_HIGH_WATERMARK_BYTES: usize = 16 * 1024;

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

/// A socket in the slab.
pub(super) struct Socket {
    pub(super) fd: OwnedFd,
    pub(super) owner: SocketOwner,
    pub(super) state: SocketState,
    pub(super) write_state: WriteState,
    /// The peer has ended its sending.
    pub(super) read_closed: bool,
    /// Bytes that have arrived and that the owner has not taken.
    pub(super) input: Vec<u8>,
    /// Bytes that wait to be written.
    pub(super) output: Vec<u8>,
    pub(super) bytes_written: u64,
    /// What epoll watches it for.
    pub(super) interest: Interest,
    /// What its peer is sent if it is evicted.
    pub(super) farewell: Option<&'static [u8]>,
    /// It is neither read nor written for a moment, for want of kernel memory.
    pub(super) is_paused: bool,
    /// Whether epoll knows of it.
    pub(super) watch: WatchState,
    /// It was accepted and its owner has not reported a complete handshake yet.
    pub(super) awaiting_handshake: bool,
    /// Input buffered ahead of the owner.
    pub(super) read_limit_bytes: usize,
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
            input: Vec::new(),
            output: Vec::new(),
            bytes_written: 0,
            interest,
            farewell: None,
            is_paused: false,
            watch: WatchState::Current,
            awaiting_handshake: false,
            read_limit_bytes: DEFAULT_READ_LIMIT_BYTES,
            listener: None,
            uses_reserve: false,
        }
    }

    /// Whether its owner has closed it.
    pub(super) fn is_lingering(&self) -> bool {
        matches!(self.state, SocketState::Lingering { .. })
    }

    /// What epoll is to watch a buffered socket for.
    pub(super) fn wanted_interest(&self) -> Interest {
        if self.is_paused {
            return Interest::empty();
        }
        let connecting = self.state == SocketState::Connecting;
        let has_read_capacity = self.input.len() < self.read_limit_bytes || self.is_lingering();
        let mut interest = Interest::empty();
        if !connecting && !self.read_closed && has_read_capacity {
            interest |= Interest::IN;
        }
        if connecting || !self.output.is_empty() {
            interest |= Interest::OUT;
        }
        interest
    }
}

//! Events of sockets, for their owners.

use super::slab::Token;
use crate::frontend_id::FrontendId;

/// The module that receives a socket's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// A frontend.
    Frontend(FrontendId),
    /// The endpoint registry's watch.
    Discovery,
    /// The pipe that signal handlers write to.
    Signal,
    /// The admin API.
    Admin,
    /// The channel to the process before this one, or to the one after it.
    Handover,
    /// The lease protocol between the nodes of the fleet.
    Quota,
}

/// What happened at a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEventKind {
    /// A listener accepted this connection.
    Accepted,
    /// There are more bytes, or the peer has ended its sending
    /// ([`SocketReactor::is_read_closed`](super::SocketReactor::is_read_closed)).
    Readable,
    /// Output that had to wait for the peer is now written in full.
    OutputFlushed,
    /// Its descriptor was needed before the peer had completed its handshake. It is closed already.
    Evicted,
    /// The peer has not completed its handshake in time. The owner closes the connection.
    HandshakeTimeout,
    /// The connection could not be established, or it was reset. Input that has arrived can still be read;
    /// the owner then closes the socket.
    Failed {
        /// The connection had been established and no output was waiting.
        all_written: bool,
    },
}

/// An event of one socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketEvent {
    /// The socket.
    pub token: Token,
    /// Who handles the event.
    pub owner: SocketOwner,
    /// What happened.
    pub kind: SocketEventKind,
}

/// A connection that has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectedSocket {
    /// The socket.
    pub token: Token,
    /// Who opened it.
    pub owner: SocketOwner,
}

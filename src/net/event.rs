//! Socket events and their recipients.

use super::slab::Token;
use crate::frontend_id::FrontendId;

/// The module that receives a socket's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketOwner {
    /// The frontend with this id.
    Frontend(FrontendId),
    /// The client that watches the endpoint registry.
    Discovery,
    /// The pipe that signal handlers write to.
    Signal,
    /// The admin API, for its listener and its connections.
    Admin,
    /// The handover channel to the predecessor or to the successor.
    Handover,
    /// The lease protocol between the nodes of the fleet.
    Quota,
}

/// The kind of a socket event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketEventKind {
    /// A listener accepted the connection.
    Accepted,
    /// Bytes arrived, or the peer closed its write side
    /// ([`SocketReactor::is_read_closed`](super::SocketReactor::is_read_closed)).
    Readable,
    /// All output that had been buffered is now written.
    OutputFlushed,
    /// The connection was closed before the peer completed its handshake, because its descriptor was needed.
    /// The token is no longer valid.
    Evicted,
    /// The peer did not complete its handshake in time. The owner is to close the connection.
    HandshakeTimeout,
    /// The connection could not be established or was reset. Input that has arrived can still be read; the
    /// owner then closes the socket.
    Failed {
        /// Whether the connection had been established and no output was buffered.
        all_written: bool,
    },
}

/// An event on one socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketEvent {
    /// Token of the socket. No longer valid if `kind` is [`SocketEventKind::Evicted`].
    pub token: Token,
    /// The module that handles the event.
    pub owner: SocketOwner,
    /// The change of the socket's state that the owner has to handle.
    pub kind: SocketEventKind,
}

/// A connection that has been established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectedSocket {
    /// Token of the socket, to which nothing has been written yet.
    pub token: Token,
    /// The module that started the connection.
    pub owner: SocketOwner,
}

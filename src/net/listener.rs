//! What a listener is to its owner, and to another process.

use super::slab::Token;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// A listening socket that several processes may share.
#[derive(Debug)]
pub struct ListeningSocket {
    /// The address that it is bound to.
    pub addr: SocketAddr,
    /// The socket.
    pub fd: OwnedFd,
}

/// A listener of the reactor.
#[derive(Clone, Copy, Debug)]
pub struct BoundListener {
    /// Its token, which accepted connections name
    /// ([`SocketReactor::accepting_listener`](super::SocketReactor::accepting_listener)).
    pub token: Token,
    /// The address that it is bound to, with the port that the system picked.
    pub addr: SocketAddr,
}

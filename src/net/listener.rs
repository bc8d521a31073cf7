//! Listening sockets: how they are bound, and how they pass from one process to the next.

use super::slab::Token;
use super::system;
use rustix::io::Errno;
use rustix::net::sockopt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Connections that the system queues for a listener.
pub(super) const LISTEN_BACKLOG: i32 = 1024;

/// A listening socket that several processes may share.
#[derive(Debug)]
pub struct ListeningSocket {
    /// The address that it is bound to.
    pub addr: SocketAddr,
    /// The socket.
    pub fd: OwnedFd,
}

impl ListeningSocket {
    /// Listens on an address; port 0 lets the system pick.
    ///
    /// # Errors
    /// Where the address cannot be bound.
    pub(super) fn bind(addr: SocketAddr) -> io::Result<ListeningSocket> {
        let fd = system::stream_socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, LISTEN_BACKLOG)?;
        let addr = bound_addr(&fd)?;
        Ok(ListeningSocket { addr, fd })
    }

    /// A socket that listens already, and that another process may share.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking.
    pub(super) fn adopt(fd: OwnedFd) -> io::Result<ListeningSocket> {
        // Another process may accept the connection that this one was woken for.
        rustix::io::ioctl_fionbio(&fd, true)?;
        let addr = bound_addr(&fd)?;
        Ok(ListeningSocket { addr, fd })
    }

    /// A duplicate of a listening socket, for another process to share.
    pub(super) fn duplicate(fd: &OwnedFd) -> Option<ListeningSocket> {
        Some(ListeningSocket { addr: bound_addr(fd).ok()?, fd: fd.try_clone().ok()? })
    }
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

/// Listening sockets of the process before this one that nobody listens on yet.
#[derive(Default)]
pub(super) struct InheritedListeners {
    sockets: Vec<ListeningSocket>,
}

impl InheritedListeners {
    /// The listening sockets that a predecessor has handed over.
    pub(super) fn new(sockets: Vec<ListeningSocket>) -> InheritedListeners {
        InheritedListeners { sockets }
    }

    /// Takes the socket that is bound to this address; port 0 matches any port.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<ListeningSocket> {
        let matches_addr = |at: &SocketAddr| *at == addr || (addr.port() == 0 && at.ip() == addr.ip());
        let index = self.sockets.iter().position(|listener| matches_addr(&listener.addr))?;
        Some(self.sockets.remove(index))
    }
}

/// The address that a socket is bound to.
fn bound_addr(fd: &OwnedFd) -> Result<SocketAddr, Errno> {
    SocketAddr::try_from(rustix::net::getsockname(fd)?).map_err(|_| Errno::AFNOSUPPORT)
}

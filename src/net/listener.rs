//! Listening sockets: binding them, and passing them from one process to the next.

use super::slab::Token;
use super::system;
use rustix::io::Errno;
use rustix::net::sockopt;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Length of the kernel's queue of connections that are not yet accepted.
pub(super) const LISTEN_BACKLOG: i32 = 1024;

/// A listening socket, which several processes may share.
#[derive(Debug)]
pub struct ListeningSocket {
    /// The bound address, with the actual port if port 0 was requested.
    pub addr: SocketAddr,
    /// The descriptor of the socket. Closing it does not affect other processes that share the socket.
    pub fd: OwnedFd,
}

impl ListeningSocket {
    /// Listens on an address. With port 0 the kernel picks the port.
    ///
    /// # Errors
    /// Returns an error if the address cannot be bound.
    pub(super) fn bind(addr: SocketAddr) -> io::Result<ListeningSocket> {
        let fd = system::stream_socket(addr)?;
        sockopt::set_socket_reuseaddr(&fd, true)?;
        rustix::net::bind(&fd, &addr)?;
        rustix::net::listen(&fd, LISTEN_BACKLOG)?;
        let addr = bound_addr(&fd)?;
        Ok(ListeningSocket { addr, fd })
    }

    /// Adopts a socket that is already listening and that may be shared with another process.
    ///
    /// # Errors
    /// Returns an error if it cannot be made non-blocking.
    pub(super) fn adopt(fd: OwnedFd) -> io::Result<ListeningSocket> {
        // `accept` must not block when another process takes the connection that woke this one.
        rustix::io::ioctl_fionbio(&fd, true)?;
        let addr = bound_addr(&fd)?;
        Ok(ListeningSocket { addr, fd })
    }

    /// Duplicates a listening socket, to share it with another process. Returns `None` if that fails.
    pub(super) fn duplicate(fd: &OwnedFd) -> Option<ListeningSocket> {
        Some(ListeningSocket { addr: bound_addr(fd).ok()?, fd: fd.try_clone().ok()? })
    }
}

/// A listener registered with the reactor.
#[derive(Clone, Copy, Debug)]
pub struct BoundListener {
    /// The listener's token, as returned for accepted connections by
    /// [`SocketReactor::accepting_listener`](super::SocketReactor::accepting_listener).
    pub token: Token,
    /// The bound address, with the actual port if port 0 was requested.
    pub addr: SocketAddr,
}

/// Listening sockets inherited from the predecessor that are not in use yet.
#[derive(Default)]
pub(super) struct InheritedListeners {
    sockets: Vec<ListeningSocket>,
}

impl InheritedListeners {
    /// Stores the listening sockets that a predecessor has handed over.
    pub(super) fn new(sockets: Vec<ListeningSocket>) -> InheritedListeners {
        InheritedListeners { sockets }
    }

    /// Takes the socket that is bound to this address. Port 0 matches any port of the same IP address.
    pub(super) fn take(&mut self, addr: SocketAddr) -> Option<ListeningSocket> {
        let matches_addr =
            |bound: &SocketAddr| *bound == addr || (addr.port() == 0 && bound.ip() == addr.ip());
        let index = self.sockets.iter().position(|listener| matches_addr(&listener.addr))?;
        Some(self.sockets.remove(index))
    }
}

/// Returns the address that a socket is bound to.
fn bound_addr(fd: &OwnedFd) -> Result<SocketAddr, Errno> {
    SocketAddr::try_from(rustix::net::getsockname(fd)?).map_err(|_| Errno::AFNOSUPPORT)
}

//! Wrappers around the socket system calls of the reactor.
//!
//! In unit tests they return the errors that the test has planned (`system/faults.rs`). The faults are
//! planned in the process itself because a preloaded library does not see system calls that rustix makes
//! directly, and a tracer is not available on every machine.

use super::slab::Token;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// Epoll event flags: those that a descriptor is watched for, or those that epoll reported.
pub(super) use rustix::event::epoll::EventFlags as Interest;

#[cfg(test)]
pub(super) mod faults;

/// A system call in which a test can inject an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SystemCall {
    Accept,
    Socket,
    Connect,
    Read,
    Write,
    EpollAdd,
    EpollModify,
}

/// Returns the error that the test has planned for this call, if any.
#[cfg(test)]
fn injected_fault(call: SystemCall) -> Result<(), Errno> {
    faults::take_next(call).map_or(Ok(()), Err)
}

/// Outside unit tests no error is injected.
#[cfg(not(test))]
fn injected_fault(_call: SystemCall) -> Result<(), Errno> {
    Ok(())
}

/// Accepts a connection. The new socket is non-blocking.
pub(super) fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    injected_fault(SystemCall::Accept)?;
    rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
}

/// Creates a non-blocking TCP socket of the address family of `addr`.
pub(super) fn stream_socket(addr: SocketAddr) -> Result<OwnedFd, Errno> {
    injected_fault(SystemCall::Socket)?;
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    rustix::net::socket_with(family, SocketType::STREAM, flags, None)
}

/// Starts connecting a socket. A call that returns EINTR has started the connection too.
pub(super) fn connect(socket: &OwnedFd, addr: SocketAddr) -> Result<(), Errno> {
    let fault = injected_fault(SystemCall::Connect);
    if let Err(Errno::INTR) | Ok(()) = fault {
        let connected = rustix::net::connect(socket, &addr);
        return fault.and(connected);
    }
    fault
}

/// Reads into a buffer.
pub(super) fn read(fd: &OwnedFd, buffer: &mut [u8]) -> Result<usize, Errno> {
    injected_fault(SystemCall::Read)?;
    rustix::io::read(fd, buffer)
}

/// Writes from a buffer, possibly only part of it.
pub(super) fn write(fd: &OwnedFd, bytes: &[u8]) -> Result<usize, Errno> {
    injected_fault(SystemCall::Write)?;
    rustix::io::write(fd, bytes)
}

/// Starts watching a descriptor.
pub(super) fn epoll_add(
    epoll: &OwnedFd,
    fd: &OwnedFd,
    token: Token,
    interest: Interest,
) -> Result<(), Errno> {
    injected_fault(SystemCall::EpollAdd)?;
    epoll::add(epoll, fd, epoll::EventData::new_u64(token.as_raw()), interest)
}

/// Changes the interest of a watched descriptor.
pub(super) fn epoll_modify(
    epoll: &OwnedFd,
    fd: &OwnedFd,
    token: Token,
    interest: Interest,
) -> Result<(), Errno> {
    injected_fault(SystemCall::EpollModify)?;
    epoll::modify(epoll, fd, epoll::EventData::new_u64(token.as_raw()), interest)
}

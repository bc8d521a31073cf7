//! The system calls of the reactor on its sockets, each in one place.
//!
//! In unit tests they fail as a test has arranged (`system/faults.rs`). A list within the process was preferred to a
//! preloaded library, which sees none of the calls that rustix makes itself, and to a tracer, which not every machine
//! has.

use super::slab::Token;
use rustix::event::epoll;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// What a descriptor is watched for, and what epoll reports of it.
pub(super) use rustix::event::epoll::EventFlags as Interest;

#[cfg(test)]
pub(super) mod faults;

/// A system call that a test can have fail.
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

/// The error that a test has arranged for this call.
#[cfg(test)]
fn injected(call: SystemCall) -> Result<(), Errno> {
    faults::take(call).map_or(Ok(()), Err)
}

/// Outside of tests no error is arranged.
#[cfg(not(test))]
fn injected(_call: SystemCall) -> Result<(), Errno> {
    Ok(())
}

/// Accepts a connection, which is non-blocking.
pub(super) fn accept(listener: &OwnedFd) -> Result<OwnedFd, Errno> {
    injected(SystemCall::Accept)?;
    rustix::net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)
}

/// Opens a non-blocking TCP socket for an address of this family.
pub(super) fn stream_socket(addr: SocketAddr) -> Result<OwnedFd, Errno> {
    injected(SystemCall::Socket)?;
    let family = if addr.is_ipv4() { AddressFamily::INET } else { AddressFamily::INET6 };
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    rustix::net::socket_with(family, SocketType::STREAM, flags, None)
}

/// Begins to connect a socket. An interrupted call has begun all the same.
pub(super) fn connect(socket: &OwnedFd, addr: SocketAddr) -> Result<(), Errno> {
    let injected = injected(SystemCall::Connect);
    if let Err(Errno::INTR) | Ok(()) = injected {
        let connected = rustix::net::connect(socket, &addr);
        return injected.and(connected);
    }
    injected
}

/// Reads into a buffer.
pub(super) fn read(fd: &OwnedFd, buffer: &mut [u8]) -> Result<usize, Errno> {
    injected(SystemCall::Read)?;
    rustix::io::read(fd, buffer)
}

/// Writes from a buffer; the system may take less than all of it.
pub(super) fn write(fd: &OwnedFd, bytes: &[u8]) -> Result<usize, Errno> {
    injected(SystemCall::Write)?;
    rustix::io::write(fd, bytes)
}

/// Begins to watch a descriptor.
pub(super) fn epoll_add(
    epoll: &OwnedFd,
    fd: &OwnedFd,
    token: Token,
    interest: Interest,
) -> Result<(), Errno> {
    injected(SystemCall::EpollAdd)?;
    epoll::add(epoll, fd, epoll::EventData::new_u64(token.as_raw()), interest)
}

/// Changes what a descriptor is watched for.
pub(super) fn epoll_modify(
    epoll: &OwnedFd,
    fd: &OwnedFd,
    token: Token,
    interest: Interest,
) -> Result<(), Errno> {
    injected(SystemCall::EpollModify)?;
    epoll::modify(epoll, fd, epoll::EventData::new_u64(token.as_raw()), interest)
}

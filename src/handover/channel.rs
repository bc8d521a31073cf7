//! The handover socket: a Unix socket between a process and its successor that carries messages with descriptors.

use rustix::fd::AsFd;
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, sockopt, AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags,
    ReturnFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags,
    SocketType,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The longest message: the buffers of two connections, in base64, and their state.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The most descriptors in one message: those of a client's connection and of its attempt.
pub const MAX_DESCRIPTORS_PER_MESSAGE: usize = 2;
/// The longest path of a Unix socket that the system allows, without its terminating zero.
const MAX_SOCKET_PATH_BYTES: usize = 107;
/// Successors that may wait to be accepted.
const BACKLOG: i32 = 4;

/// A message and the descriptors that travel beside it.
#[derive(Debug)]
pub struct FramedMessage {
    /// The message, in JSON.
    pub bytes: Vec<u8>,
    /// Its descriptors.
    pub fds: Vec<OwnedFd>,
}

/// Why a message was not sent or received.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChannelError {
    /// The socket cannot send or has nothing to receive now, or a blocking call timed out.
    #[error("the handover socket would block")]
    WouldBlock,
    /// The other process is gone, or what it sent is no message.
    #[error("the handover socket is closed")]
    Closed,
}

/// The path of a node's handover socket: in `$TMPDIR`, by the node's name. None where there is no such folder.
pub fn socket_path(node_name: &str) -> Option<PathBuf> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let name: String = node_name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
    // The file name is part of the protocol: a process of an earlier version listens there.
    let path = PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("sparbank-{name}.takeover"));
    if path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
        tracing::warn!(error = %"TMPDIR is too long for a socket's path", "handover disabled");
        return None;
    }
    Some(path)
}

/// Listens at a path for the successor of this process. The socket of an earlier process is replaced.
///
/// # Errors
/// Where the system refuses the socket, or the path.
pub fn listen(path: &Path) -> io::Result<OwnedFd> {
    let fd = socket(SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?;
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    rustix::net::bind(&fd, &SocketAddrUnix::new(path)?)?;
    rustix::fs::chmod(path, rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR)?;
    rustix::net::listen(&fd, BACKLOG)?;
    Ok(fd)
}

/// Accepts a successor that runs under this process's user. None where nobody waits or it is another user's.
pub fn accept(listener: impl AsFd) -> Option<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let fd = rustix::net::accept_with(listener, flags).ok()?;
    let peer = sockopt::socket_peercred(&fd).ok()?;
    (peer.uid == rustix::process::geteuid()).then_some(fd)
}

/// Connects to the process that listens at a path. The socket blocks: [`send`] and [`receive`] on it return within
/// `timeout`.
///
/// # Errors
/// Where nothing listens at the path.
pub fn connect(path: &Path, timeout: Duration) -> io::Result<OwnedFd> {
    let fd = socket(SocketFlags::CLOEXEC)?;
    sockopt::set_socket_timeout(&fd, sockopt::Timeout::Recv, Some(timeout))?;
    sockopt::set_socket_timeout(&fd, sockopt::Timeout::Send, Some(timeout))?;
    rustix::net::connect(&fd, &SocketAddrUnix::new(path)?)?;
    Ok(fd)
}

fn socket(flags: SocketFlags) -> io::Result<OwnedFd> {
    Ok(rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Sends one message, completely or not at all.
///
/// # Errors
/// [`ChannelError::WouldBlock`] where it can be sent later.
pub fn send(fd: impl AsFd, message: &FramedMessage) -> Result<(), ChannelError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let fds: Vec<_> = message.fds.iter().map(|fd| fd.as_fd()).collect();
    if !fds.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&fds)) {
        return Err(ChannelError::Closed);
    }
    loop {
        match sendmsg(&fd, &[IoSlice::new(&message.bytes)], &mut control, SendFlags::NOSIGNAL) {
            Ok(_) => return Ok(()),
            Err(Errno::INTR) => {}
            // TOOMANYREFS: too many descriptors are in flight between processes.
            Err(Errno::AGAIN | Errno::NOBUFS | Errno::TOOMANYREFS) => return Err(ChannelError::WouldBlock),
            Err(_) => return Err(ChannelError::Closed),
        }
    }
}

/// Receives one message.
///
/// # Errors
/// [`ChannelError::WouldBlock`] where none has arrived, [`ChannelError::Closed`] also for a truncated one.
pub fn receive(fd: impl AsFd) -> Result<FramedMessage, ChannelError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
    let received = loop {
        let mut buffers = [IoSliceMut::new(&mut bytes)];
        match recvmsg(&fd, &mut buffers, &mut control, RecvFlags::CMSG_CLOEXEC) {
            Ok(received) => break received,
            Err(Errno::INTR) => {}
            Err(Errno::AGAIN) => return Err(ChannelError::WouldBlock),
            Err(_) => return Err(ChannelError::Closed),
        }
    };
    // Of a truncated message a descriptor may be lost, and with it a connection.
    let is_truncated = received.flags.intersects(ReturnFlags::TRUNC | ReturnFlags::CTRUNC);
    if is_truncated || received.bytes == 0 {
        return Err(ChannelError::Closed);
    }
    let mut fds = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            fds.extend(rights);
        }
    }
    bytes.truncate(received.bytes);
    Ok(FramedMessage { bytes, fds })
}

#[cfg(test)]
mod tests;

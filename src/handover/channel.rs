//! The handover socket: a Unix socket between a process and its successor, over which messages and file descriptors
//! are sent.

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

/// The longest message: one that has the buffers of two connections, in base64, and their state.
pub const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The maximum number of descriptors of one message: those of a client's connection and of its attempt at a server.
pub const MAX_DESCRIPTORS_PER_MESSAGE: usize = 2;
/// The longest path of a Unix socket on Linux, without the terminating NUL.
const MAX_SOCKET_PATH_BYTES: usize = 107;
/// Length of the queue of successors that have connected but are not accepted yet.
const BACKLOG: i32 = 4;

/// An encoded message and the descriptors that are passed with it as ancillary data.
#[derive(Debug)]
pub struct EncodedMessage {
    /// The message, in JSON.
    pub bytes: Vec<u8>,
    /// At most [`MAX_DESCRIPTORS_PER_MESSAGE`] descriptors.
    pub fds: Vec<OwnedFd>,
}

/// Why a message was not sent or received.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ChannelError {
    /// The send buffer is full, no message has arrived, or a blocking call timed out.
    #[error("handover socket would block")]
    WouldBlock,
    /// The other process has closed the socket, the socket failed, or a message arrived truncated.
    #[error("handover socket closed")]
    Closed,
}

/// The path of the handover socket, which is in `$TMPDIR` and named after the node. `None` if `TMPDIR` is not set or
/// the path is too long.
pub fn socket_path(node_name: &str) -> Option<PathBuf> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    let name: String = node_name.chars().map(|c| if is_allowed(c) { c } else { '_' }).collect();
    // The file name is part of the protocol: processes of older versions use the same one.
    let path = PathBuf::from(std::env::var_os("TMPDIR")?).join(format!("sparbank-{name}.takeover"));
    if path.as_os_str().len() > MAX_SOCKET_PATH_BYTES {
        tracing::warn!(error = %"TMPDIR is too long for the path of a Unix socket", "handover disabled");
        return None;
    }
    Some(path)
}

/// Listens for the successor of this process on a Unix socket at `path`, and replaces the socket of an earlier process.
///
/// # Errors
/// If the socket cannot be created, or the path cannot be replaced or bound.
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

/// Accepts a successor. `None` if no successor is waiting, or if it runs as another user than this process.
pub fn accept(listener: impl AsFd) -> Option<OwnedFd> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let fd = rustix::net::accept_with(listener, flags).ok()?;
    let peer = sockopt::socket_peercred(&fd).ok()?;
    (peer.uid == rustix::process::geteuid()).then_some(fd)
}

/// Connects to the process that listens at `path`. The socket is a blocking one: [`send`] and [`receive`] wait for up
/// to `timeout` on it.
///
/// # Errors
/// If no process listens at the path.
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

/// Sends one message. It is sent completely or not at all, since the socket is of type `SOCK_SEQPACKET`.
///
/// # Errors
/// [`ChannelError::WouldBlock`] if the message can be sent later.
pub fn send(fd: impl AsFd, message: &EncodedMessage) -> Result<(), ChannelError> {
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
            // TOOMANYREFS: too many descriptors have been sent and not received yet.
            Err(Errno::AGAIN | Errno::NOBUFS | Errno::TOOMANYREFS) => return Err(ChannelError::WouldBlock),
            Err(_) => return Err(ChannelError::Closed),
        }
    }
}

/// Receives one message.
///
/// # Errors
/// [`ChannelError::WouldBlock`] if none has arrived; [`ChannelError::Closed`] also for a truncated message.
pub fn receive(fd: impl AsFd) -> Result<EncodedMessage, ChannelError> {
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
    // A truncated message may have lost a descriptor, and with it a connection.
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
    Ok(EncodedMessage { bytes, fds })
}

#[cfg(test)]
mod tests;

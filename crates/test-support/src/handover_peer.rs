//! The test's end of a connection on the handover socket, in the role of the predecessor or the successor.

use rustix::io::IoSlice;
use rustix::net::{
    recv, send, sendmsg, AddressFamily, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType,
};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;

/// Maximum length of a message on the handover socket.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// Maximum number of file descriptors passed with one message.
const MAX_DESCRIPTORS: usize = 2;

/// The test's end of a connection on the handover socket.
#[derive(Debug)]
pub struct HandoverPeer(OwnedFd);

impl HandoverPeer {
    /// Connects to the process that listens at a path, as its successor.
    pub fn connect(path: &Path) -> HandoverPeer {
        let fd = unix_socket();
        rustix::net::connect(&fd, &SocketAddrUnix::new(path).expect("the path is too long"))
            .expect("failed to connect to the handover socket");
        HandoverPeer(fd)
    }

    /// Accepts a connection from the successor.
    pub fn accept(listener: &OwnedFd) -> HandoverPeer {
        HandoverPeer(rustix::net::accept(listener).expect("failed to accept a successor"))
    }

    /// Sends a message without file descriptors.
    pub fn send(&self, message: &str) {
        send(&self.0, message.as_bytes(), SendFlags::NOSIGNAL)
            .expect("failed to send on the handover socket");
    }

    /// Sends a message with file descriptors.
    pub fn send_with_descriptors(&self, message: &str, descriptors: &[BorrowedFd]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() {
            assert!(
                control.push(SendAncillaryMessage::ScmRights(descriptors)),
                "more than {MAX_DESCRIPTORS} descriptors"
            );
        }
        let bytes = [IoSlice::new(message.as_bytes())];
        sendmsg(self.0.as_fd(), &bytes, &mut control, SendFlags::NOSIGNAL)
            .expect("failed to send on the handover socket");
    }

    /// Receives the next message; empty once the connection has ended. Descriptors passed with it are discarded.
    pub fn receive(&self) -> String {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        match recv(&self.0, &mut bytes, RecvFlags::empty()) {
            Ok((count, _)) => String::from_utf8_lossy(&bytes[..count]).into_owned(),
            Err(_) => String::new(),
        }
    }
}

/// Listens at a path, as a process does for its successor.
pub fn listen_for_handover(path: &Path) -> OwnedFd {
    let fd = unix_socket();
    rustix::net::bind(&fd, &SocketAddrUnix::new(path).expect("the path is too long"))
        .expect("failed to bind the handover socket");
    rustix::net::listen(&fd, 1).expect("failed to listen");
    fd
}

fn unix_socket() -> OwnedFd {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
        .expect("failed to create a socket")
}

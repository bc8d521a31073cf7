//! A process at the handover socket, which a test plays.

use rustix::io::IoSlice;
use rustix::net::{
    recv, send, sendmsg, AddressFamily, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType,
};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;

/// The longest message on the handover socket.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The most descriptors beside one message.
const MAX_DESCRIPTORS: usize = 2;

/// A scripted process at the handover socket.
#[derive(Debug)]
pub struct HandoverPeer(OwnedFd);

impl HandoverPeer {
    /// Connects to the process that listens at a path.
    pub fn connect(path: &Path) -> HandoverPeer {
        let fd = unix_socket();
        rustix::net::connect(&fd, &SocketAddrUnix::new(path).expect("a path")).expect("it listens");
        HandoverPeer(fd)
    }

    /// Accepts the process that connects.
    pub fn accept(listener: &OwnedFd) -> HandoverPeer {
        HandoverPeer(rustix::net::accept(listener).expect("a process connects"))
    }

    /// Sends a message without descriptors.
    pub fn send(&self, message: &str) {
        send(&self.0, message.as_bytes(), SendFlags::NOSIGNAL).expect("sent");
    }

    /// Sends a message with descriptors beside it.
    pub fn send_with_descriptors(&self, message: &str, descriptors: &[BorrowedFd]) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() {
            assert!(control.push(SendAncillaryMessage::ScmRights(descriptors)), "too many descriptors");
        }
        let bytes = [IoSlice::new(message.as_bytes())];
        sendmsg(self.0.as_fd(), &bytes, &mut control, SendFlags::NOSIGNAL).expect("sent");
    }

    /// The next message; empty at the end. Its descriptors are closed with it.
    pub fn receive(&self) -> String {
        let mut bytes = vec![0; MAX_MESSAGE_BYTES];
        match recv(&self.0, &mut bytes, RecvFlags::empty()) {
            Ok((count, _)) => String::from_utf8_lossy(&bytes[..count]).into_owned(),
            Err(_) => String::new(),
        }
    }
}

/// Listens at a path as a process does for its successor.
pub fn listen_for_handover(path: &Path) -> OwnedFd {
    let fd = unix_socket();
    rustix::net::bind(&fd, &SocketAddrUnix::new(path).expect("a path")).expect("a free path");
    rustix::net::listen(&fd, 1).expect("it listens");
    fd
}

fn unix_socket() -> OwnedFd {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
        .expect("a socket")
}

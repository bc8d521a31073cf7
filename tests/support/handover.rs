//! A node whose process can be replaced by a successor, and a scripted process at its handover socket.

use super::{listener, log_field, temp_file, Bench, NodeProcess};
use rustix::io::IoSlice;
use rustix::net::{
    recv, send, sendmsg, AddressFamily, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage, SendFlags,
    SocketAddrUnix, SocketFlags, SocketType,
};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};

/// The longest message on the handover socket.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
/// The most descriptors beside one message.
const MAX_DESCRIPTORS: usize = 2;

/// The `$TMPDIR` of one node, and the path of the handover socket in it.
pub struct HandoverFolder {
    pub path: PathBuf,
    pub socket: PathBuf,
}

impl HandoverFolder {
    /// A new empty folder.
    pub fn new() -> HandoverFolder {
        let path = temp_file("folder", "");
        std::fs::remove_file(&path).expect("it was there");
        std::fs::create_dir(&path).expect("a folder");
        let socket = path.join("sparbank-n1.takeover");
        HandoverFolder { path, socket }
    }
}

/// A node whose clients' listening socket is passed by the platform, which is this test.
pub struct HandoverNode {
    pub bench: Bench,
    /// The handover socket.
    pub socket: PathBuf,
    /// The address of the admin API of the newest process.
    pub admin: SocketAddr,
    _passed_listener: TcpListener,
}

impl HandoverNode {
    /// Starts a node in a new folder, without AMQP.
    pub fn start() -> HandoverNode {
        HandoverNode::start_in(&HandoverFolder::new(), None)
    }

    /// Starts a node in a folder; the AMQP frontend is on where its settings are given.
    pub fn start_in(folder: &HandoverFolder, amqp: Option<&str>) -> HandoverNode {
        HandoverNode::start_with_env(folder, amqp, &[])
    }

    /// The same, in an environment with these variables too.
    pub fn start_with_env(
        folder: &HandoverFolder,
        amqp: Option<&str>,
        further_env: &[(&str, &str)],
    ) -> HandoverNode {
        let passed_listener = listener();
        // Every process inherits it.
        rustix::io::fcntl_setfd(&passed_listener, rustix::io::FdFlags::empty()).expect("it can be inherited");
        let number = passed_listener.as_raw_fd().to_string();
        let own_env =
            [("NODE_PASSED_SOCKET", number.as_str()), ("TMPDIR", folder.path.to_str().expect("a path"))];
        let env = [&own_env, further_env].concat();
        let edit = |text: &str| text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#);
        let mut bench = Bench::with_env(vec![listener()], amqp, &[], edit, &env);
        let passed = passed_listener.local_addr().expect("an address");
        assert_eq!(bench.addr, passed, "not the configuration's");
        let admin = admin_address(&mut bench);
        HandoverNode { bench, socket: folder.socket.clone(), admin, _passed_listener: passed_listener }
    }

    /// Starts a successor and waits until it serves. The process that served before is the result.
    pub fn start_successor(&mut self) -> NodeProcess {
        let mut predecessor = self.bench.start_successor();
        self.admin = admin_address(&mut self.bench);
        self.bench.wait_for_log("handover from predecessor started");
        predecessor.wait_for_log("handover to successor started");
        predecessor
    }

    /// Replaces the process by a successor. The last counters of the process that served before are the result.
    pub fn replace(&mut self) -> String {
        let mut predecessor = self.start_successor();
        predecessor.signal("-TERM");
        let counters = predecessor.wait_for_log("counters");
        assert!(predecessor.child.wait().expect("it ends").success());
        self.bench.wait_for_log("handover from predecessor complete");
        counters
    }
}

/// Where the process that has just started serves its admin API.
fn admin_address(bench: &mut Bench) -> SocketAddr {
    let line = bench.wait_for_log("admin API ready");
    log_field(&line, "listen").parse().expect("an address")
}

/// A scripted process at the handover socket.
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

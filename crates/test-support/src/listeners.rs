//! Listeners at which tests accept connections, and servers that refuse them or let them wait.

use crate::peer::{Peer, IO_TIMEOUT};
use rustix::net::{bind, socket, AddressFamily, SocketType};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How often listeners are tried while no connection waits at them.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A connection that is not established within this has met a full backlog.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);

/// A listener on a port that the system picks.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Accepts the next connection to any of these listeners; yields the listener's index with it.
///
/// # Panics
/// No connection arrives.
pub fn accept_any(listeners: &[TcpListener]) -> (usize, Peer) {
    let deadline = Instant::now() + IO_TIMEOUT;
    while Instant::now() < deadline {
        for (index, listener) in listeners.iter().enumerate() {
            if let Some(peer) = try_accept(listener) {
                return (index, peer);
            }
        }
        std::thread::sleep(ACCEPT_POLL_INTERVAL);
    }
    panic!("no connection arrived")
}

/// Accepts a connection that waits already.
pub fn try_accept(listener: &TcpListener) -> Option<Peer> {
    listener.set_nonblocking(true).expect("non-blocking");
    let accepted = listener.accept();
    listener.set_nonblocking(false).expect("blocking");
    let (stream, _) = accepted.ok()?;
    stream.set_nonblocking(false).expect("blocking");
    Some(Peer::new(stream))
}

/// A bound port without a listener: connections to it are refused.
pub fn refusing_port() -> TcpListener {
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    TcpListener::from(fd)
}

/// A server whose backlog is full: connections to it are established once it accepts earlier ones.
#[derive(Debug)]
pub struct FullBacklogServer {
    /// Where it listens.
    pub listener: TcpListener,
    /// Our own connections, which fill the backlog.
    filling: Vec<TcpStream>,
}

impl FullBacklogServer {
    /// Fills the backlog of a new listener.
    pub fn start() -> FullBacklogServer {
        let listener = refusing_port();
        rustix::net::listen(&listener, 0).expect("a short queue");
        let addr = listener.local_addr().expect("an address");
        let mut filling = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, FULL_BACKLOG_TIMEOUT) {
            filling.push(stream);
        }
        FullBacklogServer { listener, filling }
    }

    /// The listener alone, for a node's list of servers. The backlog stays full until the test's end.
    pub fn into_listener(self) -> TcpListener {
        std::mem::forget(self.filling);
        self.listener
    }

    /// Accepts what waits; yields the first connection that is not one of its own.
    pub fn accept_next(&mut self) -> Peer {
        loop {
            let peer = Peer::accept(&self.listener);
            let addr = peer.stream.peer_addr().expect("an address");
            let is_own = |stream: &TcpStream| stream.local_addr().is_ok_and(|own| own == addr);
            if !self.filling.iter().any(is_own) {
                return peer;
            }
        }
    }
}

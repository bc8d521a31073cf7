//! Listeners on which tests accept connections, and servers that refuse connections or leave them in the backlog.

use crate::peer::{Peer, IO_TIMEOUT};
use rustix::net::{bind, socket, AddressFamily, SocketType};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Interval between attempts to accept while no connection is pending.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// If a connection is not established within this, the listener's backlog is full.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);

/// A listener on a free loopback port.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port")
}

/// Accepts the next connection on any of these listeners, and returns it with the index of its listener.
///
/// # Panics
/// No connection arrived before the time-out.
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
    panic!("no connection arrived within {IO_TIMEOUT:?}")
}

/// Accepts a connection that is already pending, if any.
pub fn try_accept(listener: &TcpListener) -> Option<Peer> {
    listener.set_nonblocking(true).expect("failed to make the listener non-blocking");
    let accepted = listener.accept();
    listener.set_nonblocking(false).expect("failed to make the listener blocking");
    let (stream, _) = accepted.ok()?;
    stream.set_nonblocking(false).expect("failed to make the connection blocking");
    Some(Peer::new(stream))
}

/// A socket that is bound to a port but does not listen, so that connections to it are refused.
pub fn refusing_port() -> TcpListener {
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("failed to create a socket");
    bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("failed to bind a loopback port");
    TcpListener::from(fd)
}

/// A server whose backlog is full: a new connection is established only once earlier ones have been accepted.
#[derive(Debug)]
pub struct FullBacklogServer {
    /// The listener with the full backlog.
    pub listener: TcpListener,
    /// The connections that fill the backlog.
    backlog: Vec<TcpStream>,
}

impl FullBacklogServer {
    /// Creates a listener and fills its backlog.
    pub fn start() -> FullBacklogServer {
        let listener = refusing_port();
        rustix::net::listen(&listener, 0).expect("failed to listen");
        let addr = listener.local_addr().expect("failed to read a socket address");
        let mut backlog = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&addr, FULL_BACKLOG_TIMEOUT) {
            backlog.push(stream);
        }
        FullBacklogServer { listener, backlog }
    }

    /// Returns the listener alone, for a node's list of servers. The backlog stays full until the test process ends.
    pub fn into_listener(self) -> TcpListener {
        std::mem::forget(self.backlog);
        self.listener
    }

    /// Accepts pending connections up to the first that is not one of those that fill the backlog, and returns it.
    pub fn accept_next(&mut self) -> Peer {
        loop {
            let peer = Peer::accept(&self.listener);
            let addr = peer.stream.peer_addr().expect("failed to read a socket address");
            let is_own = |stream: &TcpStream| stream.local_addr().is_ok_and(|own| own == addr);
            if !self.backlog.iter().any(is_own) {
                return peer;
            }
        }
    }
}

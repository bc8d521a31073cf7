//! Scripted peers of a node: clients, servers, discovery.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A peer that has waited this long waits for something that will not come.
const IO_TIMEOUT: Duration = Duration::from_secs(20);
/// How often listeners are tried while no connection waits at them.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A connection that is not established within this has met a full backlog.
const FULL_BACKLOG_TIMEOUT: Duration = Duration::from_millis(100);
const READ_CHUNK_BYTES: usize = 4096;

/// One end of a connection, read by lines.
pub struct Peer {
    pub stream: TcpStream,
    pub(super) reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(IO_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Peer { stream, reader }
    }

    pub fn connect(addr: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(addr).expect("the node listens"))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        accept_any(std::slice::from_ref(listener)).1
    }

    pub fn send(&mut self, text: &str) -> &mut Peer {
        self.stream.write_all(text.as_bytes()).expect("written");
        self
    }

    /// All text until the end of the connection, whether that is orderly or a reset.
    pub fn read_to_end(&mut self) -> String {
        let mut received = Vec::new();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Ok(count) = self.reader.read(&mut chunk) {
            if count == 0 {
                break;
            }
            received.extend_from_slice(&chunk[..count]);
        }
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("linger");
    }

    /// The next line without its end; empty at the end of the connection.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_string(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => String::new(),
            Err(error) => panic!("no line: {error}"),
        }
    }

    pub fn read_exact(&mut self, bytes: &mut [u8]) {
        self.reader.read_exact(bytes).expect("more bytes");
    }

    /// Reads until the connection ends, which must be within this time.
    pub fn drain_until_closed(&mut self, within: Duration) {
        let deadline = Instant::now() + within;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while matches!(self.reader.read(&mut chunk), Ok(count) if count > 0) {
            assert!(Instant::now() < deadline, "it goes on");
        }
        assert!(Instant::now() < deadline, "it was left open");
    }

    pub fn expect_closed(&mut self) {
        assert_eq!(self.read_line(), "", "the connection ends");
    }
}

/// A listener on a port that the system picks.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// Accepts the next connection to any of these listeners; yields the listener's index with it.
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
    use rustix::net::{bind, socket, AddressFamily, SocketType};
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    TcpListener::from(fd)
}

/// A server whose backlog is full: connections to it are established once it accepts earlier ones.
pub struct FullBacklogServer {
    pub listener: TcpListener,
    /// Our own connections, which fill the backlog.
    filling: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub fn new() -> FullBacklogServer {
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

//! One end of a connection to a node, which a test plays: a client, a server, or discovery.

use crate::listeners::accept_any;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A peer that has waited this long waits for something that will not come.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_secs(20);
const READ_CHUNK_BYTES: usize = 4096;

/// One end of a connection, read by lines.
#[derive(Debug)]
pub struct Peer {
    /// The socket, for what this type does not do. What was read ahead by lines is no longer in it.
    pub stream: TcpStream,
    pub(crate) reader: BufReader<TcpStream>,
}

impl Peer {
    /// An end of this connection.
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(IO_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Peer { stream, reader }
    }

    /// Connects to a listener.
    pub fn connect(addr: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(addr).expect("the node listens"))
    }

    /// Accepts the next connection.
    pub fn accept(listener: &TcpListener) -> Peer {
        accept_any(std::slice::from_ref(listener)).1
    }

    /// Sends this text.
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

    /// Fills these bytes.
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

    /// The connection has ended, and nothing was sent before that.
    pub fn expect_closed(&mut self) {
        assert_eq!(self.read_line(), "", "the connection ends");
    }
}

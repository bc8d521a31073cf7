//! The test's end of a connection to a node, in the role of a client, a server or discovery.

use crate::listeners::accept_any;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time-out of reads and accepts, long enough that only a failed test reaches it.
pub(crate) const IO_TIMEOUT: Duration = Duration::from_secs(20);
const READ_CHUNK_BYTES: usize = 4096;

/// What a read from a connection has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// This many bytes, at least one.
    Bytes(usize),
    /// The other side has closed its write direction.
    Ended,
    /// The other side has reset the connection.
    Reset,
}

/// Reads once, and again if a signal has interrupted the read. Linux doesn't restart the reads of a socket with a
/// time-out, even if the signal has no handler.
///
/// # Errors
/// The read failed, or nothing arrived before the time-out of the stream.
pub fn read_uninterrupted(stream: &mut impl Read, chunk: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(chunk) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads once.
///
/// # Panics
/// Nothing arrived before the time-out of the stream, or the read failed for another reason than a reset.
pub fn receive(stream: &mut impl Read, chunk: &mut [u8]) -> Received {
    match read_uninterrupted(stream, chunk) {
        Ok(0) => Received::Ended,
        Ok(count) => Received::Bytes(count),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Received::Reset,
        Err(error) => panic!("failed to read from the connection: {error}"),
    }
}

/// The test's end of a connection, with line-based reads.
#[derive(Debug)]
pub struct Peer {
    /// The socket, for operations that this type has no method for. Bytes that are already in the read buffer can't be
    /// read from it any more.
    pub stream: TcpStream,
    pub(crate) reader: BufReader<TcpStream>,
}

impl Peer {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(IO_TIMEOUT)).expect("failed to set the read time-out");
        stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
        let reader = BufReader::new(stream.try_clone().expect("failed to duplicate the socket"));
        Peer { stream, reader }
    }

    /// Connects to a listener.
    pub fn connect(addr: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(addr).expect("failed to connect to the node"))
    }

    /// Accepts the next connection.
    pub fn accept(listener: &TcpListener) -> Peer {
        accept_any(std::slice::from_ref(listener)).1
    }

    /// Writes this text to the connection, without adding a line end.
    pub fn send(&mut self, text: &str) -> &mut Peer {
        self.stream.write_all(text.as_bytes()).expect("failed to write to the connection");
        self
    }

    /// Reads all text until the connection ends, whether it is closed or reset.
    pub fn read_to_end(&mut self) -> String {
        let mut received = Vec::new();
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Received::Bytes(count) = self.receive(&mut chunk) {
            received.extend_from_slice(&chunk[..count]);
        }
        String::from_utf8_lossy(&received).into_owned()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("linger");
    }

    /// Reads the next line, without its line ending; empty once the connection is closed or reset.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_string(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => String::new(),
            Err(error) => panic!("failed to read a line: {error}"),
        }
    }

    /// Sets the time-out of reads, for events that are due later than its default of 20 s.
    pub fn set_read_timeout(&self, timeout: Duration) {
        self.stream.set_read_timeout(Some(timeout)).expect("failed to set the read time-out");
    }

    /// Reads what has arrived, or waits until something arrives. Panics at the time-out.
    pub fn receive(&mut self, chunk: &mut [u8]) -> Received {
        receive(&mut self.reader, chunk)
    }

    /// Reads exactly as many bytes as the slice holds.
    pub fn read_exact(&mut self, bytes: &mut [u8]) {
        self.reader.read_exact(bytes).expect("failed to read from the connection");
    }

    /// Reads and discards data until the connection ends, and checks that it ends within this time.
    pub fn drain_until_closed(&mut self, within: Duration) {
        let deadline = Instant::now() + within;
        let mut chunk = [0; READ_CHUNK_BYTES];
        while let Received::Bytes(_) = self.receive(&mut chunk) {
            assert!(Instant::now() < deadline, "the connection still delivers data after {within:?}");
        }
        assert!(Instant::now() < deadline, "the connection was not closed within {within:?}");
    }

    /// Checks that the connection ends and that nothing was sent before that.
    pub fn expect_closed(&mut self) {
        assert_eq!(self.read_line(), "", "expected the connection to end without further data");
    }
}

#[cfg(test)]
mod tests;

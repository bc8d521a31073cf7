//! One end of an AMQP connection, used by the stand-in servers and clients.

use sparbank_amqp::{Connection, Event, Settings};
use sparbank_time::MonotonicTime;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The time that is passed to every call of the protocol library. It can be constant since all timeouts are off.
pub const FIXED_TIME: MonotonicTime = MonotonicTime::ZERO;
/// The size of the buffer for reads from a socket.
pub const READ_BUFFER_BYTES: usize = 256 * 1024;

/// The settings of the stand-in servers and clients. Their limits are so high that only the node's own take effect.
pub fn settings() -> Settings {
    Settings {
        incoming_window: 8192,
        max_frame_size: 70_000,
        idle_timeout: Duration::ZERO,
        max_links: 10_000,
        max_unsettled: 100_000,
        ..Settings::default()
    }
}

/// One end of a connection, on a non-blocking socket.
pub struct Peer {
    pub stream: TcpStream,
    pub conn: Connection,
    pub is_closed: bool,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream, conn: Connection) -> Peer {
        stream.set_nonblocking(true).expect("set non-blocking");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        Peer { stream, conn, is_closed: false, input: Vec::new(), output: Vec::new() }
    }

    /// Reads once from the socket, through `buffer`. Returns false if nothing was received.
    pub fn read(&mut self, buffer: &mut [u8]) -> bool {
        match self.stream.read(buffer) {
            Ok(0) => self.is_closed = true,
            Ok(count) => {
                self.input.extend_from_slice(&buffer[..count]);
                return true;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.is_closed = true,
        }
        false
    }

    /// Writes as much pending output as the socket accepts.
    pub fn write(&mut self) {
        self.conn.append_output(FIXED_TIME, &mut self.output);
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(count) => drop(self.output.drain(..count)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.is_closed = true;
                    return;
                }
            }
        }
    }

    /// Passes the events of the received octets to `handle`.
    pub fn handle_events(&mut self, mut handle: impl FnMut(&mut Connection, Event<'_>)) {
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while let Some(event) =
            self.conn.next_event(FIXED_TIME, &mut rest).expect("the other end conforms to the standard")
        {
            handle(&mut self.conn, event);
        }
        self.input = rest.to_vec();
    }
}

//! One end of an AMQP connection, for the stand-ins of servers and clients.

use sparbank_amqp::{Connection, Event, Settings};
use sparbank_time::MonotonicTime;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The time of each call of the protocol library: no timeout is on, so that it does not matter.
pub const START: MonotonicTime = MonotonicTime::ZERO;
/// Octets that are read at once.
pub const READ_BYTES: usize = 256 * 1024;

/// The settings of both stand-ins: so wide that only the node's own bounds count.
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

/// One end of a connection, non-blocking.
pub struct Peer {
    pub stream: TcpStream,
    pub conn: Connection,
    pub is_closed: bool,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Peer {
    pub fn new(stream: TcpStream, conn: Connection) -> Peer {
        stream.set_nonblocking(true).expect("non-blocking");
        stream.set_nodelay(true).expect("no delay");
        Peer { stream, conn, is_closed: false, input: Vec::new(), output: Vec::new() }
    }

    /// Reads once into `buffer`. False if there was nothing.
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

    /// Writes as much as the socket takes.
    pub fn write(&mut self) {
        self.conn.append_output(START, &mut self.output);
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

    /// Handles the received events.
    pub fn handle_events(&mut self, mut handle: impl FnMut(&mut Connection, Event<'_>)) {
        let input = std::mem::take(&mut self.input);
        let mut rest = &input[..];
        while let Some(event) =
            self.conn.next_event(START, &mut rest).expect("the node keeps to the standard")
        {
            handle(&mut self.conn, event);
        }
        self.input = rest.to_vec();
    }
}

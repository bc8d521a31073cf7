//! A client's connection at the level of frames, so that clients can do what a library would not.

use sparbank_amqp::{
    read_frame, write_frame, Attach, Begin, Open, Performative, Tag, Target, Terminus, Transfer, Value, AMQP,
};
use sparbank_test_support::read_uninterrupted;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What was sent this long before the node's close has arrived before it.
pub const CLOSE_CROSSES: Duration = Duration::from_millis(100);
const READ_TIMEOUT: Duration = Duration::from_millis(5);
/// How long a client waits for an answer to its open, begin and attach.
const SETUP_TIMEOUT: Duration = Duration::from_secs(5);
const AMQP_HEADER: &[u8; 8] = b"AMQP\x00\x01\x00\x00";
const INCOMING_WINDOW: u32 = 1_000;
const CHUNK_BYTES: usize = 4096;

/// The connection has ended, or could not be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended;

/// A connection with one session, on channel 0.
pub struct Wire {
    stream: TcpStream,
    input: Vec<u8>,
}

/// A sending link to attach.
pub struct SenderAttach<'a> {
    /// The name of the link.
    pub name: String,
    /// The handle of the link.
    pub handle: u32,
    /// The address of the target.
    pub class: &'a str,
    /// How long the link may be resumed; zero if it is not to be.
    pub timeout_seconds: u32,
    /// The tags of the deliveries that the client has not settled.
    pub unsettled: Vec<u64>,
}

impl Wire {
    /// Connects and begins a session.
    ///
    /// # Errors
    /// The node does not accept the connection.
    pub fn connect(address: SocketAddr, container: &str) -> Result<Wire, Ended> {
        let stream = TcpStream::connect(address).map_err(|_| Ended)?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(|_| Ended)?;
        stream.set_nodelay(true).map_err(|_| Ended)?;
        let mut wire = Wire { stream, input: Vec::new() };
        wire.stream.write_all(AMQP_HEADER).map_err(|_| Ended)?;
        wire.read_header()?;
        wire.send(Open { container_id: Some(container.into()), ..Open::default() }, &[])?;
        let begin = Begin {
            next_outgoing_id: Some(0),
            incoming_window: Some(INCOMING_WINDOW),
            outgoing_window: Some(INCOMING_WINDOW),
            ..Begin::default()
        };
        wire.send(begin, &[])?;
        wire.wait_for(|body| matches!(body, Performative::Begin(_)))?;
        Ok(wire)
    }

    /// Reads the node's protocol header, which precedes its frames.
    fn read_header(&mut self) -> Result<(), Ended> {
        let deadline = Instant::now() + SETUP_TIMEOUT;
        while self.input.len() < AMQP_HEADER.len() && Instant::now() < deadline {
            self.read_available()?;
        }
        if !self.input.starts_with(AMQP_HEADER) {
            return Err(Ended);
        }
        self.input.drain(..AMQP_HEADER.len());
        Ok(())
    }

    /// Appends the input that arrives within a few milliseconds. Returns whether there was any.
    fn read_available(&mut self) -> Result<bool, Ended> {
        let mut chunk = [0; CHUNK_BYTES];
        match read_uninterrupted(&mut self.stream, &mut chunk) {
            Ok(0) => Err(Ended),
            Ok(count) => {
                self.input.extend(&chunk[..count]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(false),
            Err(_) => Err(Ended),
        }
    }

    /// Limits the time that a write may take, for a client that the node may not read.
    ///
    /// # Errors
    /// The socket has failed.
    pub fn set_write_timeout(&self, timeout: Duration) -> Result<(), Ended> {
        self.stream.set_write_timeout(Some(timeout)).map_err(|_| Ended)
    }

    /// Sends a frame.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn send(&mut self, body: impl Into<Performative>, payload: &[u8]) -> Result<(), Ended> {
        let mut out = Vec::new();
        write_frame(&mut out, AMQP, 0, Some(&body.into()), payload);
        self.stream.write_all(&out).map_err(|_| Ended)
    }

    /// Ends the connection at once. What was not read is lost.
    ///
    /// # Errors
    /// The socket has failed.
    pub fn reset(&self) -> Result<(), Ended> {
        self.stream.shutdown(Shutdown::Both).map_err(|_| Ended)
    }

    /// Sends the attach of a sending link.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn send_sender_attach(&mut self, link: SenderAttach<'_>) -> Result<(), Ended> {
        let timeout = Some(link.timeout_seconds).filter(|seconds| *seconds > 0);
        let target = Target { address: Some(link.class.into()), timeout, ..Target::default() };
        let entry = |tag: &u64| (Value::Binary(tag.to_be_bytes().to_vec()), Value::Null);
        let unsettled =
            (!link.unsettled.is_empty()).then(|| Value::Map(link.unsettled.iter().map(entry).collect()));
        let attach = Attach {
            name: Some(link.name),
            handle: Some(link.handle),
            role: Some(false),
            target: Some(Terminus::Target(target)),
            unsettled,
            initial_delivery_count: Some(0),
            ..Attach::default()
        };
        self.send(attach, &[])
    }

    /// Sends a delivery in one transfer on the link with handle 0.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn deliver(&mut self, id: u32, tag: u64, resumes: bool, message: &[u8]) -> Result<(), Ended> {
        let transfer = Transfer {
            handle: Some(0),
            delivery_id: Some(id),
            delivery_tag: Tag::new(&tag.to_be_bytes()),
            resume: resumes.then_some(true),
            ..Transfer::default()
        };
        self.send(transfer, message)
    }

    /// Returns the next frame that is not a heartbeat, or `None` if none arrives within a few milliseconds.
    ///
    /// # Errors
    /// The connection has ended.
    pub fn poll(&mut self) -> Result<Option<Performative>, Ended> {
        loop {
            let mut rest = &self.input[..];
            if let Some(frame) = read_frame(&mut rest, u32::MAX).map_err(|_| Ended)? {
                let body = frame.body;
                let consumed = self.input.len() - rest.len();
                self.input.drain(..consumed);
                match body {
                    Some(body) => return Ok(Some(body)),
                    None => continue,
                }
            }
            if !self.read_available()? {
                return Ok(None);
            }
        }
    }

    /// Reads frames up to the first one that matches.
    ///
    /// # Errors
    /// The connection has ended, or no such frame arrives in time.
    pub fn wait_for(&mut self, is_match: impl Fn(&Performative) -> bool) -> Result<Performative, Ended> {
        let deadline = Instant::now() + SETUP_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(body) = self.poll()?.filter(&is_match) {
                return Ok(body);
            }
        }
        Err(Ended)
    }
}

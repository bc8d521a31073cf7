//! The test's end of an AMQP connection, driven frame by frame in the role of a client or a server.

mod links;

use crate::peer::{Peer, Received};
use sparbank_amqp as amqp;
use sparbank_amqp::{Performative, Value};
use std::io::Write;
use std::net::SocketAddr;

const WRITE_FAILED: &str = "failed to write to the connection";

/// The test's end of an AMQP connection after the protocol headers, usually with one session on channel 0.
#[derive(Debug)]
pub struct AmqpPeer {
    /// The blocking connection to the node, for input and output other than frames.
    pub peer: Peer,
    /// Received bytes that are not a complete frame yet.
    bytes: Vec<u8>,
}

/// A received message and its delivery id.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// Delivery id assigned by the sender.
    pub delivery_id: u32,
    /// The encoded message, assembled from the payloads of its transfers.
    pub bytes: Vec<u8>,
}

/// The result of reading a frame.
#[derive(Debug)]
pub enum NextFrame {
    /// An empty frame, which is a heartbeat.
    Heartbeat,
    /// A performative and the payload that follows it.
    Body(Box<Performative>, Vec<u8>),
    /// The node has closed the connection.
    Ended,
    /// The node has reset the connection.
    Reset,
}

/// Reads frames up to the next one with this performative, and evaluates to its body and payload. Panics if the
/// connection ends first.
#[macro_export]
macro_rules! read_until {
    ($peer:expr, $kind:ident) => {
        loop {
            if let ($crate::amqp::Performative::$kind(body), payload) = $peer.read_performative() {
                break (body, payload);
            }
        }
    };
}

impl AmqpPeer {
    /// Wraps a connection and exchanges this protocol header.
    fn handshake(peer: Peer, header: &[u8; 8]) -> AmqpPeer {
        let mut this = AmqpPeer { peer, bytes: Vec::new() };
        this.exchange_header(header);
        this
    }

    /// Sends a protocol header and checks that the node sends the same one.
    fn exchange_header(&mut self, header: &[u8; 8]) {
        std::io::Write::write_all(&mut self.peer.stream, header).expect(WRITE_FAILED);
        let mut received = [0; 8];
        self.peer.read_exact(&mut received);
        assert_eq!(&received, header);
    }

    /// Connects a client and begins a session.
    pub fn client(addr: SocketAddr, idle_ms: Option<u32>) -> AmqpPeer {
        let mut this = AmqpPeer::client_without_session(addr, "client", idle_ms);
        this.begin(None, 100);
        read_until!(this, Begin);
        this
    }

    /// Connects a client with this container id, without a session.
    pub fn client_without_session(addr: SocketAddr, container: &str, idle_ms: Option<u32>) -> AmqpPeer {
        let mut this = AmqpPeer::authenticated(addr, "ANONYMOUS", b"").expect("the node rejects ANONYMOUS");
        this.open(container, idle_ms, u32::MAX);
        read_until!(this, Open);
        this
    }

    /// Connects a client and authenticates it with this SASL mechanism and initial response. The AMQP header is
    /// exchanged, but no open is sent.
    ///
    /// # Errors
    /// The code of the SASL outcome, if the node rejects the client.
    pub fn authenticated(addr: SocketAddr, mechanism: &str, response: &[u8]) -> Result<AmqpPeer, u8> {
        let mut this = AmqpPeer::handshake(Peer::connect(addr), b"AMQP\x03\x01\x00\x00");
        read_until!(this, SaslMechanisms);
        let mechanism = Some(amqp::Symbol(mechanism.into()));
        let initial_response = Some(response.to_vec());
        let init = amqp::SaslInit { mechanism, initial_response, hostname: None };
        this.send_frame(amqp::SASL, init.into(), &[]);
        match read_until!(this, SaslOutcome).0.code {
            Some(0) => {}
            code => return Err(code.expect("SASL outcome without a code")),
        }
        this.exchange_header(b"AMQP\x00\x01\x00\x00");
        Ok(this)
    }

    /// Sends an open performative.
    pub fn open(&mut self, container: &str, idle_ms: Option<u32>, max_frame: u32) {
        let container_id = Some(container.to_string());
        let max_frame_size = Some(max_frame);
        self.send_performative(amqp::Open {
            container_id,
            idle_time_out: idle_ms,
            max_frame_size,
            ..Default::default()
        });
    }

    /// Accepts the SASL layer, the connection and a session as a server, with an incoming window of this many frames.
    pub fn server(peer: Peer, window: u32, max_frame: u32) -> AmqpPeer {
        let mut this = AmqpPeer::handshake(peer, b"AMQP\x03\x01\x00\x00");
        let mechanisms = Some(Value::Array(vec![Value::Symbol("ANONYMOUS".into())]));
        this.send_frame(amqp::SASL, amqp::SaslMechanisms { mechanisms }.into(), &[]);
        read_until!(this, SaslInit);
        this.send_frame(amqp::SASL, amqp::SaslOutcome { code: Some(0), additional_data: None }.into(), &[]);
        this.exchange_header(b"AMQP\x00\x01\x00\x00");
        this.accept_session(window, max_frame)
    }

    /// Accepts the node's connection as a server without SASL. The server answers the SASL header of a first
    /// connection with the plain AMQP header, and the node opens another connection without SASL.
    pub fn server_without_sasl(listener: &std::net::TcpListener, window: u32) -> AmqpPeer {
        let mut first = Peer::accept(listener);
        let mut received = [0; 8];
        first.read_exact(&mut received);
        assert_eq!(&received, b"AMQP\x03\x01\x00\x00");
        first.stream.write_all(b"AMQP\x00\x01\x00\x00").expect(WRITE_FAILED);
        drop(first);
        AmqpPeer::handshake(Peer::accept(listener), b"AMQP\x00\x01\x00\x00").accept_session(window, 4096)
    }

    /// Accepts a connection as a server that allows one session with one link (`channel_max` and `handle_max` are 0).
    pub fn single_link_server(peer: Peer) -> AmqpPeer {
        let mut this = AmqpPeer::handshake(peer, b"AMQP\x03\x01\x00\x00");
        let mechanisms = Some(Value::Symbol("ANONYMOUS".into()));
        this.send_frame(amqp::SASL, amqp::SaslMechanisms { mechanisms }.into(), &[]);
        read_until!(this, SaslInit);
        this.send_frame(amqp::SASL, amqp::SaslOutcome { code: Some(0), additional_data: None }.into(), &[]);
        this.exchange_header(b"AMQP\x00\x01\x00\x00");
        read_until!(this, Open);
        let container_id = Some("narrow".to_string());
        this.send_performative(amqp::Open { container_id, channel_max: Some(0), ..Default::default() });
        read_until!(this, Begin);
        this.send_performative(amqp::Begin {
            remote_channel: Some(0),
            next_outgoing_id: Some(0),
            incoming_window: Some(100),
            outgoing_window: Some(100),
            handle_max: Some(0),
            ..Default::default()
        });
        this
    }

    /// Answers the node's open and begin.
    fn accept_session(mut self, window: u32, max_frame: u32) -> AmqpPeer {
        read_until!(self, Open);
        self.open("server", None, max_frame);
        read_until!(self, Begin);
        self.begin(Some(0), window);
        self
    }

    /// Begins a session, or accepts the one that the node began on this channel, with an incoming window of this many
    /// frames.
    pub fn begin(&mut self, remote_channel: Option<u16>, window: u32) {
        let (next_outgoing_id, outgoing_window) = (Some(0), Some(100));
        let incoming_window = Some(window);
        let begin = amqp::Begin {
            remote_channel,
            next_outgoing_id,
            incoming_window,
            outgoing_window,
            ..Default::default()
        };
        self.send_performative(begin);
    }

    /// Sends a performative on channel 0.
    pub fn send_performative(&mut self, body: impl Into<Performative>) {
        self.send_frame(amqp::AMQP, body.into(), &[]);
    }

    /// Sends an empty frame, which prevents the node's idle time-out (AMQP 1.0, section 2.4.5).
    pub fn send_heartbeat(&mut self) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, amqp::AMQP, 0, None, &[]);
        self.peer.stream.write_all(&out).expect(WRITE_FAILED);
    }

    /// Sends a performative on a channel.
    pub fn send_performative_on(&mut self, channel: u16, body: impl Into<Performative>) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, amqp::AMQP, channel, Some(&body.into()), &[]);
        self.peer.stream.write_all(&out).expect(WRITE_FAILED);
    }

    /// Returns a second handle on the connection, to write from another thread.
    pub fn try_clone(&self) -> AmqpPeer {
        let stream = self.peer.stream.try_clone().expect("failed to duplicate the socket");
        AmqpPeer { peer: Peer::new(stream), bytes: Vec::new() }
    }

    /// Sends a frame of this type on channel 0, with a payload.
    pub fn send_frame(&mut self, kind: u8, body: Performative, payload: &[u8]) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, kind, 0, Some(&body), payload);
        self.peer.stream.write_all(&out).expect(WRITE_FAILED);
    }

    /// Reads the next frame. Panics at the time-out.
    pub fn read_frame(&mut self) -> NextFrame {
        loop {
            let mut remaining = &self.bytes[..];
            if let Some(frame) = amqp::read_frame(&mut remaining, u32::MAX).expect("malformed frame") {
                let (body, payload) = (frame.body, frame.payload.to_vec());
                let consumed = self.bytes.len() - remaining.len();
                self.bytes.drain(..consumed);
                return body.map_or(NextFrame::Heartbeat, |body| NextFrame::Body(Box::new(body), payload));
            }
            let mut chunk = [0; 4096];
            match self.peer.receive(&mut chunk) {
                Received::Bytes(count) => self.bytes.extend(&chunk[..count]),
                Received::Ended => return NextFrame::Ended,
                Received::Reset => return NextFrame::Reset,
            }
        }
    }

    /// Reads the next frame that is not a heartbeat.
    ///
    /// # Panics
    /// The connection ended or was reset.
    pub fn read_performative(&mut self) -> (Performative, Vec<u8>) {
        loop {
            match self.read_frame() {
                NextFrame::Body(body, payload) => return (*body, payload),
                NextFrame::Heartbeat => {}
                NextFrame::Ended => panic!("the connection ended"),
                NextFrame::Reset => panic!("the connection was reset"),
            }
        }
    }
}

//! The test's end of an AMQP connection, driven frame by frame in the role of a client or a server.

use crate::peer::Peer;
use sparbank_amqp as amqp;
use sparbank_amqp::{Attach, Performative, Source, State, Target, Terminus, Value};
use std::io::{Read, Write};
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
    /// The connection has ended.
    Ended,
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

    /// Reads the next frame.
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
            let count = self.peer.reader.read(&mut chunk).unwrap_or(0);
            if count == 0 {
                return NextFrame::Ended;
            }
            self.bytes.extend(&chunk[..count]);
        }
    }

    /// Reads the next frame that is not a heartbeat.
    ///
    /// # Panics
    /// The connection ended.
    pub fn read_performative(&mut self) -> (Performative, Vec<u8>) {
        loop {
            match self.read_frame() {
                NextFrame::Body(body, payload) => return (*body, payload),
                NextFrame::Heartbeat => {}
                NextFrame::Ended => panic!("the connection ended"),
            }
        }
    }

    /// Attaches a sending link to this address, waits for credit and returns it.
    ///
    /// # Errors
    /// The node detached the link.
    pub fn attach_sender(&mut self, address: &str) -> Result<u32, amqp::Detach> {
        let address = Some(address.to_string());
        let target = Some(Terminus::Target(Target { address, ..Default::default() }));
        let (name, handle, role) = (Some("link".to_string()), Some(0), Some(false));
        let count = Some(0);
        let attach =
            amqp::Attach { name, handle, role, target, initial_delivery_count: count, ..Default::default() };
        self.send_performative(attach);
        loop {
            match self.read_performative().0 {
                Performative::Flow(flow) => return Ok(flow.link_credit.expect("flow without link credit")),
                Performative::Detach(detach) => return Err(detach),
                _ => {}
            }
        }
    }

    /// Attaches a receiving link from this source and returns the node's attach.
    ///
    /// # Errors
    /// The node detached the link.
    pub fn attach_receiver(&mut self, handle: u32, source: Source) -> Result<Attach, amqp::Detach> {
        let (name, role) = (Some(format!("from-{handle}")), Some(true));
        let (source, target) = (Some(source), Some(Terminus::Target(Target::default())));
        let handle = Some(handle);
        self.send_performative(Attach { name, handle, role, source, target, ..Default::default() });
        let (attach, _) = read_until!(self, Attach);
        if attach.source.is_some() {
            return Ok(*attach);
        }
        Err(read_until!(self, Detach).0)
    }

    /// Grants credit on a receiving link of this client.
    pub fn grant_credit(&mut self, handle: u32, count: u32, credit: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(0),
            incoming_window: Some(1000),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(handle),
            delivery_count: Some(count),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Grants credit on a receiving link of this client, with an incoming window of a million frames.
    pub fn grant_credit_wide(&mut self, handle: u32, credit: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(0),
            incoming_window: Some(1_000_000),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(handle),
            delivery_count: Some(0),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Accepts the node's receiving link as a server, which sends on it with this handle. Returns the node's attach.
    pub fn accept_receiving_link(&mut self, handle: u32) -> Attach {
        let (attach, _) = read_until!(self, Attach);
        assert_eq!(attach.role, Some(true), "the node's link is not a receiving link");
        self.send_performative(Attach {
            name: attach.name.clone(),
            handle: Some(handle),
            role: Some(false),
            source: attach.source.clone(),
            target: attach.target.clone(),
            initial_delivery_count: Some(0),
            ..Default::default()
        });
        *attach
    }

    /// Sends a delivery in a single transfer on this link, with a four-byte delivery tag.
    pub fn send(&mut self, handle: u32, id: u32, message: &[u8]) {
        let (handle, delivery_tag) = (Some(handle), amqp::Tag::new(&id.to_be_bytes()));
        let transfer = amqp::Transfer { handle, delivery_id: Some(id), delivery_tag, ..Default::default() };
        self.send_frame(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery in a single transfer on the link with handle 0, with a one-byte delivery tag.
    pub fn send_on_first_link(&mut self, id: u32, message: &[u8]) {
        let (handle, delivery_id, delivery_tag) = (Some(0), Some(id), amqp::Tag::new(&[id as u8]));
        let transfer = amqp::Transfer { handle, delivery_id, delivery_tag, ..Default::default() };
        self.send_frame(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery on the link with handle 0, split into transfers of this size.
    pub fn deliver_in_transfers(&mut self, id: u32, message: &[u8], transfer_bytes: usize) {
        let count = message.len().div_ceil(transfer_bytes);
        for (index, piece) in message.chunks(transfer_bytes).enumerate() {
            let transfer = amqp::Transfer {
                handle: Some(0),
                delivery_id: Some(id),
                delivery_tag: amqp::Tag::new(&id.to_be_bytes()),
                more: Some(index + 1 < count),
                ..Default::default()
            };
            self.send_frame(amqp::AMQP, transfer.into(), piece);
        }
    }

    /// Reads the next complete message, assembled from its transfers.
    pub fn receive_message(&mut self) -> ReceivedMessage {
        let (mut delivery_id, mut bytes) = (None, Vec::new());
        loop {
            let (transfer, payload) = read_until!(self, Transfer);
            delivery_id = delivery_id.or(transfer.delivery_id);
            bytes.extend(payload);
            if transfer.more != Some(true) {
                return ReceivedMessage { delivery_id: delivery_id.expect("delivery without an id"), bytes };
            }
        }
    }

    /// Reads the next disposition and returns its delivery state.
    pub fn receive_delivery_state(&mut self) -> State {
        read_until!(self, Disposition).0.state.expect("disposition without a state")
    }

    /// Accepts the node's sending link, and grants it credit and an incoming window of this many frames.
    pub fn accept_sending_link(&mut self, credit: u32, window: u32) {
        let (attach, _) = read_until!(self, Attach);
        let (name, handle, target) = (attach.name, Some(7), attach.target);
        self.send_performative(amqp::Attach { name, handle, role: Some(true), target, ..Default::default() });
        self.grant_server_credit(credit, 0, window);
    }

    /// Sends a flow that grants credit on the node's sending link, with an incoming window of this many frames.
    pub fn grant_server_credit(&mut self, credit: u32, next_incoming: u32, window: u32) {
        self.send_performative(amqp::Flow {
            next_incoming_id: Some(next_incoming),
            incoming_window: Some(window),
            next_outgoing_id: Some(0),
            outgoing_window: Some(100),
            handle: Some(7),
            delivery_count: Some(0),
            link_credit: Some(credit),
            ..Default::default()
        });
    }

    /// Settles one of the node's deliveries with this state.
    pub fn settle(&mut self, id: u32, state: State) {
        let (role, first, settled) = (Some(true), Some(id), Some(true));
        self.send_performative(amqp::Disposition {
            role,
            first,
            settled,
            state: Some(state),
            ..Default::default()
        });
    }
}

//! One end of an AMQP connection, which a test plays frame by frame: a client, or a server.

use crate::peer::Peer;
use sparbank_amqp as amqp;
use sparbank_amqp::{Attach, Performative, Source, State, Target, Terminus, Value};
use std::io::{Read, Write};
use std::net::SocketAddr;

/// One end of an AMQP connection, past its handshake, with one session on channel 0.
#[derive(Debug)]
pub struct AmqpPeer {
    /// The connection.
    pub peer: Peer,
    bytes: Vec<u8>,
}

/// A message with the id of its delivery.
#[derive(Debug)]
pub struct ReceivedMessage {
    /// The id that the sender gave the delivery.
    pub delivery_id: u32,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// What is read next.
#[derive(Debug)]
pub enum NextFrame {
    /// An empty frame.
    Heartbeat,
    /// A frame with its payload.
    Body(Box<Performative>, Vec<u8>),
    /// The connection has ended.
    Ended,
}

/// Reads frames until one is this performative; yields its body and payload.
#[macro_export]
macro_rules! until {
    ($peer:expr, $kind:ident) => {
        loop {
            if let ($crate::amqp::Performative::$kind(body), payload) = $peer.next_body() {
                break (body, payload);
            }
        }
    };
}

impl AmqpPeer {
    fn handshake(peer: Peer, header: &[u8; 8]) -> AmqpPeer {
        let mut this = AmqpPeer { peer, bytes: Vec::new() };
        this.header(header);
        this
    }

    fn header(&mut self, header: &[u8; 8]) {
        std::io::Write::write_all(&mut self.peer.stream, header).expect("written");
        let mut theirs = [0; 8];
        self.peer.read_exact(&mut theirs);
        assert_eq!(&theirs, header);
    }

    /// A client of the node, with one session.
    pub fn client(addr: SocketAddr, idle_ms: Option<u32>) -> AmqpPeer {
        let mut this = AmqpPeer::opened(addr, "client", idle_ms);
        this.begin(None, 100);
        until!(this, Begin);
        this
    }

    /// A client of the node with this container id, without a session.
    pub fn opened(addr: SocketAddr, container: &str, idle_ms: Option<u32>) -> AmqpPeer {
        let mut this = AmqpPeer::known(addr, "ANONYMOUS", b"").expect("anonymous clients are accepted");
        this.open(container, idle_ms, u32::MAX);
        until!(this, Open);
        this
    }

    /// A client that has authenticated itself by this mechanism, up to the AMQP header.
    ///
    /// # Errors
    /// The code of the SASL outcome, where the node rejects it.
    pub fn known(addr: SocketAddr, mechanism: &str, response: &[u8]) -> Result<AmqpPeer, u8> {
        let mut this = AmqpPeer::handshake(Peer::connect(addr), b"AMQP\x03\x01\x00\x00");
        until!(this, SaslMechanisms);
        let mechanism = Some(amqp::Symbol(mechanism.into()));
        let initial_response = Some(response.to_vec());
        let init = amqp::SaslInit { mechanism, initial_response, hostname: None };
        this.put_kind(amqp::SASL, init.into(), &[]);
        match until!(this, SaslOutcome).0.code {
            Some(0) => {}
            code => return Err(code.expect("a code")),
        }
        this.header(b"AMQP\x00\x01\x00\x00");
        Ok(this)
    }

    /// Sends an open.
    pub fn open(&mut self, container: &str, idle_ms: Option<u32>, max_frame: u32) {
        let container_id = Some(container.to_string());
        let max_frame_size = Some(max_frame);
        self.put(amqp::Open { container_id, idle_time_out: idle_ms, max_frame_size, ..Default::default() });
    }

    /// A server that the node has connected to, with room for this many frames.
    pub fn server(peer: Peer, window: u32, max_frame: u32) -> AmqpPeer {
        let mut this = AmqpPeer::handshake(peer, b"AMQP\x03\x01\x00\x00");
        let mechanisms = Some(Value::Array(vec![Value::Symbol("ANONYMOUS".into())]));
        this.put_kind(amqp::SASL, amqp::SaslMechanisms { mechanisms }.into(), &[]);
        until!(this, SaslInit);
        this.put_kind(amqp::SASL, amqp::SaslOutcome { code: Some(0), additional_data: None }.into(), &[]);
        this.header(b"AMQP\x00\x01\x00\x00");
        this.serve(window, max_frame)
    }

    /// A server without SASL: it answers so on the first connection, and the node opens another one.
    pub fn server_without_sasl(listener: &std::net::TcpListener, window: u32) -> AmqpPeer {
        let mut first = Peer::accept(listener);
        let mut theirs = [0; 8];
        first.read_exact(&mut theirs);
        assert_eq!(&theirs, b"AMQP\x03\x01\x00\x00");
        first.stream.write_all(b"AMQP\x00\x01\x00\x00").expect("written");
        drop(first);
        AmqpPeer::handshake(Peer::accept(listener), b"AMQP\x00\x01\x00\x00").serve(window, 4096)
    }

    /// A server that allows one session with one link on a connection.
    pub fn narrow_server(peer: Peer) -> AmqpPeer {
        let mut this = AmqpPeer::handshake(peer, b"AMQP\x03\x01\x00\x00");
        let mechanisms = Some(Value::Symbol("ANONYMOUS".into()));
        this.put_kind(amqp::SASL, amqp::SaslMechanisms { mechanisms }.into(), &[]);
        until!(this, SaslInit);
        this.put_kind(amqp::SASL, amqp::SaslOutcome { code: Some(0), additional_data: None }.into(), &[]);
        this.header(b"AMQP\x00\x01\x00\x00");
        until!(this, Open);
        let container_id = Some("narrow".to_string());
        this.put(amqp::Open { container_id, channel_max: Some(0), ..Default::default() });
        until!(this, Begin);
        this.put(amqp::Begin {
            remote_channel: Some(0),
            next_outgoing_id: Some(0),
            incoming_window: Some(100),
            outgoing_window: Some(100),
            handle_max: Some(0),
            ..Default::default()
        });
        this
    }

    fn serve(mut self, window: u32, max_frame: u32) -> AmqpPeer {
        until!(self, Open);
        self.open("server", None, max_frame);
        until!(self, Begin);
        self.begin(Some(0), window);
        self
    }

    /// Begins a session, or accepts the one of this channel, with room for this many frames.
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
        self.put(begin);
    }

    /// Sends a performative on the first channel.
    pub fn put(&mut self, body: impl Into<Performative>) {
        self.put_kind(amqp::AMQP, body.into(), &[]);
    }

    /// Sends an empty frame, which keeps the connection from the node's idle timeout (2.4.5).
    pub fn send_heartbeat(&mut self) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, amqp::AMQP, 0, None, &[]);
        self.peer.stream.write_all(&out).expect("written");
    }

    /// Sends a performative on this channel.
    pub fn put_on(&mut self, channel: u16, body: impl Into<Performative>) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, amqp::AMQP, channel, Some(&body.into()), &[]);
        self.peer.stream.write_all(&out).expect("written");
    }

    /// A second handle, to write from another thread.
    pub fn try_clone(&self) -> AmqpPeer {
        let stream = self.peer.stream.try_clone().expect("a second handle");
        AmqpPeer { peer: Peer::new(stream), bytes: Vec::new() }
    }

    /// Sends a frame of this type with a payload on the first channel.
    pub fn put_kind(&mut self, kind: u8, body: Performative, payload: &[u8]) {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, kind, 0, Some(&body), payload);
        self.peer.stream.write_all(&out).expect("written");
    }

    /// Reads the next frame.
    pub fn frame(&mut self) -> NextFrame {
        loop {
            let mut left = &self.bytes[..];
            if let Some(frame) = amqp::read_frame(&mut left, u32::MAX).expect("a sound frame") {
                let (body, payload) = (frame.body, frame.payload.to_vec());
                let taken = self.bytes.len() - left.len();
                self.bytes.drain(..taken);
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

    /// Reads the next frame that is not empty.
    ///
    /// # Panics
    /// The connection ends.
    pub fn next_body(&mut self) -> (Performative, Vec<u8>) {
        loop {
            match self.frame() {
                NextFrame::Body(body, payload) => return (*body, payload),
                NextFrame::Heartbeat => {}
                NextFrame::Ended => panic!("the connection ended"),
            }
        }
    }

    /// Attaches a sending link to this address and waits for its credit.
    ///
    /// # Errors
    /// The node detaches the link.
    pub fn attach(&mut self, address: &str) -> Result<u32, amqp::Detach> {
        let address = Some(address.to_string());
        let target = Some(Terminus::Target(Target { address, ..Default::default() }));
        let (name, handle, role) = (Some("link".to_string()), Some(0), Some(false));
        let count = Some(0);
        let attach =
            amqp::Attach { name, handle, role, target, initial_delivery_count: count, ..Default::default() };
        self.put(attach);
        loop {
            match self.next_body().0 {
                Performative::Flow(flow) => return Ok(flow.link_credit.expect("credit")),
                Performative::Detach(detach) => return Err(detach),
                _ => {}
            }
        }
    }

    /// Attaches a receiving link from this source; yields the node's own attach.
    ///
    /// # Errors
    /// The node detaches the link.
    pub fn receive(&mut self, handle: u32, source: Source) -> Result<Attach, amqp::Detach> {
        let (name, role) = (Some(format!("from-{handle}")), Some(true));
        let (source, target) = (Some(source), Some(Terminus::Target(Target::default())));
        let handle = Some(handle);
        self.put(Attach { name, handle, role, source, target, ..Default::default() });
        let (attach, _) = until!(self, Attach);
        if attach.source.is_some() {
            return Ok(*attach);
        }
        Err(until!(self, Detach).0)
    }

    /// Grants credit on a receiving link of this client.
    pub fn grant(&mut self, handle: u32, count: u32, credit: u32) {
        self.put(amqp::Flow {
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

    /// Grants credit on a receiving link of this client, with room for any number of frames.
    pub fn grant_wide(&mut self, handle: u32, credit: u32) {
        self.put(amqp::Flow {
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

    /// Accepts the node's receiving link, as a server that sends on it at this handle.
    pub fn source(&mut self, handle: u32) -> Attach {
        let (attach, _) = until!(self, Attach);
        assert_eq!(attach.role, Some(true), "the node receives");
        self.put(Attach {
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

    /// Sends a delivery in one transfer on a link.
    pub fn send(&mut self, handle: u32, id: u32, message: &[u8]) {
        let (handle, delivery_tag) = (Some(handle), amqp::Tag::new(&id.to_be_bytes()));
        let transfer = amqp::Transfer { handle, delivery_id: Some(id), delivery_tag, ..Default::default() };
        self.put_kind(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery in one transfer.
    pub fn deliver(&mut self, id: u32, message: &[u8]) {
        let (handle, delivery_id, delivery_tag) = (Some(0), Some(id), amqp::Tag::new(&[id as u8]));
        let transfer = amqp::Transfer { handle, delivery_id, delivery_tag, ..Default::default() };
        self.put_kind(amqp::AMQP, transfer.into(), message);
    }

    /// Sends a delivery in transfers of this size.
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
            self.put_kind(amqp::AMQP, transfer.into(), piece);
        }
    }

    /// Reads the next complete message, put together from its transfers.
    pub fn receive_message(&mut self) -> ReceivedMessage {
        let (mut delivery_id, mut bytes) = (None, Vec::new());
        loop {
            let (transfer, payload) = until!(self, Transfer);
            delivery_id = delivery_id.or(transfer.delivery_id);
            bytes.extend(payload);
            if transfer.more != Some(true) {
                return ReceivedMessage { delivery_id: delivery_id.expect("an id"), bytes };
            }
        }
    }

    /// Reads the state of the next disposition.
    pub fn receive_answer(&mut self) -> State {
        until!(self, Disposition).0.state.expect("a state")
    }

    /// Accepts the node's link and gives it credit, and room for this many frames.
    pub fn link(&mut self, credit: u32, window: u32) {
        let (attach, _) = until!(self, Attach);
        let (name, handle, target) = (attach.name, Some(7), attach.target);
        self.put(amqp::Attach { name, handle, role: Some(true), target, ..Default::default() });
        self.flow(credit, 0, window);
    }

    /// Credit on the node's link, and room for frames.
    pub fn flow(&mut self, credit: u32, next_incoming: u32, window: u32) {
        self.put(amqp::Flow {
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

    /// Settles a delivery of the node with this state.
    pub fn settle(&mut self, id: u32, state: State) {
        let (role, first, settled) = (Some(true), Some(id), Some(true));
        self.put(amqp::Disposition { role, first, settled, state: Some(state), ..Default::default() });
    }
}

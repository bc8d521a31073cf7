//! An AMQP client, frame by frame.

use sparbank_amqp as amqp;
use sparbank_amqp::{Attach, Performative, Source, State, Tag, Target, Terminus, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The connection has ended or was reset.
#[derive(Debug)]
pub struct Lost;

/// A client's connection with one session on channel 0.
pub struct Client {
    stream: TcpStream,
    bytes: Vec<u8>,
    /// When the last octet was received.
    pub last_received: Instant,
    /// The credit that the node has granted to the link with handle 0 when it was attached.
    pub credit: u32,
}

impl Client {
    /// Connects with SASL ANONYMOUS, opens the connection and begins a session.
    pub fn connect(address: SocketAddr, container: &str, idle_ms: Option<u32>) -> Result<Client, Lost> {
        let stream = TcpStream::connect(address).map_err(|_| Lost)?;
        let _ = stream.set_nodelay(true);
        let mut this = Client { stream, bytes: Vec::new(), last_received: Instant::now(), credit: 0 };
        this.exchange_header(b"AMQP\x03\x01\x00\x00")?;
        this.wait(|body| matches!(body, Performative::SaslMechanisms(_)))?;
        let init = amqp::SaslInit {
            mechanism: Some(amqp::Symbol("ANONYMOUS".into())),
            initial_response: Some(Vec::new()),
            hostname: None,
        };
        this.send_frame(amqp::SASL, init.into(), &[])?;
        this.wait(|body| matches!(body, Performative::SaslOutcome(_)))?;
        this.exchange_header(b"AMQP\x00\x01\x00\x00")?;
        this.send(amqp::Open {
            container_id: Some(container.to_string()),
            idle_time_out: idle_ms,
            ..Default::default()
        })?;
        this.wait(|body| matches!(body, Performative::Open(_)))?;
        this.send(amqp::Begin {
            next_outgoing_id: Some(0),
            incoming_window: Some(10_000),
            outgoing_window: Some(10_000),
            ..Default::default()
        })?;
        this.wait(|body| matches!(body, Performative::Begin(_)))?;
        Ok(this)
    }

    fn exchange_header(&mut self, header: &[u8; 8]) -> Result<(), Lost> {
        self.stream.write_all(header).map_err(|_| Lost)?;
        let deadline = Instant::now() + Duration::from_secs(5);
        while self.bytes.len() < 8 {
            self.receive(deadline)?;
        }
        self.bytes.drain(..8);
        Ok(())
    }

    fn receive(&mut self, deadline: Instant) -> Result<bool, Lost> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ok(false);
        }
        let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer) {
            Ok(0) => Err(Lost),
            Ok(count) => {
                self.last_received = Instant::now();
                self.bytes.extend_from_slice(&buffer[..count]);
                Ok(true)
            }
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
            {
                Ok(false)
            }
            Err(_) => Err(Lost),
        }
    }

    /// The next performative with its payload, or `None` if there is none until the deadline.
    pub fn next(&mut self, deadline: Instant) -> Result<Option<Performative>, Lost> {
        loop {
            let mut rest = &self.bytes[..];
            if let Some(frame) = amqp::read_frame(&mut rest, u32::MAX).map_err(|_| Lost)? {
                let body = frame.body;
                let consumed = self.bytes.len() - rest.len();
                self.bytes.drain(..consumed);
                if body.is_some() {
                    return Ok(body);
                }
                continue;
            }
            if !self.receive(deadline)? && Instant::now() >= deadline {
                return Ok(None);
            }
        }
    }

    fn wait(&mut self, is_wanted: impl Fn(&Performative) -> bool) -> Result<Performative, Lost> {
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            match self.next(deadline)? {
                Some(body) if is_wanted(&body) => return Ok(body),
                Some(_) => {}
                None => return Err(Lost),
            }
        }
    }

    /// Sends a performative on channel 0.
    pub fn send(&mut self, body: impl Into<Performative>) -> Result<(), Lost> {
        self.send_frame(amqp::AMQP, body.into(), &[])
    }

    /// Sends an empty frame.
    pub fn send_heartbeat(&mut self) -> Result<(), Lost> {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, amqp::AMQP, 0, None, &[]);
        self.stream.write_all(&out).map_err(|_| Lost)
    }

    /// Sends a frame with a payload.
    pub fn send_frame(&mut self, kind: u8, body: Performative, payload: &[u8]) -> Result<(), Lost> {
        let mut out = Vec::new();
        amqp::write_frame(&mut out, kind, 0, Some(&body), payload);
        self.stream.write_all(&out).map_err(|_| Lost)
    }

    /// Attaches a sending link at handle 0 whose target asks for a timeout, with the tags that the client has not
    /// settled. Returns the tags in the node's unsettled map, with the outcome of those that the node has settled.
    pub fn attach_sender(
        &mut self,
        name: &str,
        class: &str,
        timeout_s: u32,
        unsettled: &[u64],
    ) -> Result<Vec<(u64, Option<Value>)>, Lost> {
        let target = Target { address: Some(class.into()), timeout: Some(timeout_s), ..Default::default() };
        let map =
            unsettled.iter().map(|tag| (Value::Binary(tag.to_be_bytes().to_vec()), Value::Null)).collect();
        self.send(Attach {
            name: Some(name.into()),
            handle: Some(0),
            role: Some(false),
            snd_settle_mode: Some(0),
            rcv_settle_mode: Some(0),
            source: Some(Source::default()),
            target: Some(Terminus::Target(target)),
            unsettled: (!unsettled.is_empty()).then_some(Value::Map(map)),
            initial_delivery_count: Some(0),
            ..Default::default()
        })?;
        let Performative::Attach(attach) = self.wait(|body| matches!(body, Performative::Attach(_)))? else {
            return Err(Lost);
        };
        if let Performative::Flow(flow) = self.wait(|body| matches!(body, Performative::Flow(_)))? {
            self.credit = flow.link_credit.unwrap_or(0);
        }
        let Some(Value::Map(pairs)) = attach.unsettled else { return Ok(Vec::new()) };
        let entry = |(key, state): (Value, Value)| match key {
            Value::Binary(bytes) => {
                let tag = u64::from_be_bytes(bytes.try_into().ok()?);
                Some((tag, (state != Value::Null).then_some(state)))
            }
            _ => None,
        };
        Ok(pairs.into_iter().filter_map(entry).collect())
    }

    /// Sends a delivery on the link with handle 0.
    pub fn deliver(&mut self, id: u32, tag: u64, resume: bool, message: &[u8]) -> Result<(), Lost> {
        let transfer = amqp::Transfer {
            handle: Some(0),
            delivery_id: Some(id),
            delivery_tag: Tag::new(&tag.to_be_bytes()),
            message_format: Some(0),
            resume: resume.then_some(true),
            ..Default::default()
        };
        self.send_frame(amqp::AMQP, transfer.into(), message)
    }

    /// Attaches a receiving link from a class, whose property `key` names the request.
    pub fn attach_receiver(&mut self, handle: u32, name: &str, class: &str, key: &str) -> Result<(), Lost> {
        self.send(Attach {
            name: Some(name.into()),
            handle: Some(handle),
            role: Some(true),
            source: Some(Source { address: Some(class.into()), ..Default::default() }),
            target: Some(Terminus::Target(Target::default())),
            properties: Some(Value::Map(vec![(Value::Symbol("key".into()), Value::Text(key.into()))])),
            ..Default::default()
        })
    }
}

/// A message with this time to live and key.
pub fn message(ttl_ms: Option<u32>, key: &str) -> Vec<u8> {
    let section = |code: u64, value: Value| Value::Described(Box::new(Value::Ulong(code)), Box::new(value));
    let mut out = Vec::new();
    if let Some(ttl) = ttl_ms {
        let header = vec![Value::Bool(false), Value::Null, Value::Uint(ttl)];
        amqp::encode(&section(0x70, Value::List(header)), &mut out);
    }
    let key_property = (Value::Text("key".into()), Value::Text(key.into()));
    amqp::encode(&section(0x74, Value::Map(vec![key_property])), &mut out);
    amqp::encode(&section(0x75, Value::Binary(key.as_bytes().to_vec())), &mut out);
    out
}

/// A short text for an outcome.
pub fn outcome_text(state: &State) -> String {
    match state {
        State::Accepted => "accepted".into(),
        State::Modified { delivery_failed, annotations, .. } => {
            format!("modified, delivery-failed {delivery_failed}, annotations {annotations:?}")
        }
        other => format!("{other:?}"),
    }
}

//! AMQP servers. A delivery or a receiving link is one request, which its property `key` names. A server begins to run
//! a request when its last octet has come, and answers after `answer_after`. What it has begun it finishes, also if the
//! node gives the attempt up meanwhile. A draining server finishes what it has and takes nothing new.

use crate::record::Record;
use sparbank_amqp::{
    condition, read_frame, Attach, Connection, Error, Event, LinkId, Message, Performative, Role, Settings,
    State, Value,
};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub key: String,
    pub began_at: Duration,
}

#[derive(Default)]
struct ServerState {
    is_draining: bool,
    /// Receiving links whose attach is not answered yet.
    unanswered: usize,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    state: Arc<Mutex<ServerState>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    answer_after: Duration,
}

/// What a server does later.
enum Later {
    /// Settle a delivery with `accepted`.
    Accept { channel: u16, id: u32, key: String },
    /// Answer the attach of a receiving link.
    Attach { number: usize, key: String },
}

impl Server {
    /// Starts a server.
    pub fn start(record: &Record, runs: &Arc<Mutex<Vec<Run>>>, id: &str, answer_after: Duration) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Server {
            id: id.to_string(),
            address: listener.local_addr().expect("an address"),
            state: Arc::default(),
            runs: runs.clone(),
            record: record.clone(),
            answer_after,
        };
        let accepting = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                std::thread::spawn(move || ServerConnection::new(server, stream).run());
            }
        });
        server
    }

    /// The server finishes what it has and takes nothing new.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
        self.record.line(&self.id, "drains: it finishes what it has and takes nothing new");
    }

    /// The receiving links whose attach the server has and has not answered yet.
    pub fn unanswered(&self) -> usize {
        self.state.lock().unwrap().unanswered
    }

    fn begin(&self, key: &str, what: &str) {
        self.record.line(&self.id, &format!("runs {key} ({what})"));
        let began_at = self.record.elapsed();
        self.runs.lock().unwrap().push(Run { server: self.id.clone(), key: key.to_string(), began_at });
    }
}

/// A receiving link that the node has requested.
struct Requested {
    link: LinkId,
    attach: Box<Attach>,
    is_gone: bool,
    is_answered: bool,
}

struct ServerConnection {
    server: Server,
    stream: TcpStream,
    conn: Connection,
    started: Instant,
    messages: HashMap<LinkId, Vec<u8>>,
    later: Vec<(Instant, Later)>,
    requested: Vec<Requested>,
}

impl ServerConnection {
    fn new(server: Server, stream: TcpStream) -> ServerConnection {
        let started = Instant::now();
        let settings = Settings {
            container: server.id.clone(),
            idle_timeout: Duration::from_secs(60),
            ..Settings::default()
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
        let conn = Connection::accept(MonotonicTime::ZERO, settings, None);
        let (messages, later, requested) = (HashMap::new(), Vec::new(), Vec::new());
        ServerConnection { server, stream, conn, started, messages, later, requested }
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started.elapsed()
    }

    fn run(mut self) {
        let mut input = Vec::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            let is_ended = match self.stream.read(&mut buffer) {
                Ok(0) => true,
                Ok(count) => {
                    input.extend_from_slice(&buffer[..count]);
                    false
                }
                Err(error) => !matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock
                        | std::io::ErrorKind::TimedOut
                        | std::io::ErrorKind::Interrupted
                ),
            };
            let now = self.now();
            let mut rest = &input[..];
            loop {
                self.answer_before_detach(rest);
                let Ok(Some(event)) = self.conn.next_event(now, &mut rest) else { break };
                self.on_event(event);
            }
            let consumed = input.len() - rest.len();
            input.drain(..consumed);
            self.do_due();
            let _ = self.conn.tick(now);
            let output = self.conn.take_output(now);
            if is_ended || self.stream.write_all(&output).is_err() || self.conn.is_closed() {
                let unanswered = self.later.iter().filter(|(_, later)| matches!(later, Later::Attach { .. }));
                self.server.state.lock().unwrap().unanswered -= unanswered.count();
                return;
            }
        }
    }

    /// A server answers the detach of a link that it has not attached yet with an attach and a detach. The library
    /// sends the detach, so the attach, without a source, is sent before it sees the node's detach.
    fn answer_before_detach(&mut self, mut input: &[u8]) {
        if !self.conn.is_open() {
            return;
        }
        let Ok(Some(frame)) = read_frame(&mut input, u32::MAX) else { return };
        let Some(Performative::Detach(detach)) = frame.body else { return };
        for requested in
            self.requested.iter().filter(|requested| !requested.is_gone && !requested.is_answered)
        {
            if requested.attach.handle == detach.handle {
                self.conn.accept_link(requested.link, Attach::default());
            }
        }
    }

    fn on_event(&mut self, event: Event<'_>) {
        match event {
            // Every client may come in, as anonymous.
            Event::SaslRequest(_) => self.conn.finish_sasl(true),
            Event::AttachRequested { link, role: Role::Receiver, attach } => {
                let answer = Attach { source: attach.source, target: attach.target, ..Attach::default() };
                self.conn.accept_link(link, answer);
                self.conn.set_credit(link, 100);
            }
            Event::AttachRequested { link, role: Role::Sender, attach } => self.on_receiver(link, attach),
            Event::Transfer { link, transfer } => {
                let message = self.messages.entry(link).or_default();
                message.extend_from_slice(transfer.payload);
                if transfer.aborted {
                    self.messages.remove(&link);
                } else if transfer.last {
                    let bytes = self.messages.remove(&link).unwrap_or_default();
                    let key = Message::decode(&bytes).ok().and_then(|m| m.application_property_text("key"));
                    let key = key.unwrap_or_else(|| "?".into());
                    self.server.begin(&key, "delivery");
                    let accept = Later::Accept { channel: link.channel, id: transfer.id, key };
                    self.later.push((Instant::now() + self.server.answer_after, accept));
                    self.conn.set_credit(link, 100);
                }
            }
            Event::Detached { link, .. } => {
                for requested in &mut self.requested {
                    if requested.link == link && !requested.is_gone {
                        requested.is_gone = true;
                        let key = key_of(&requested.attach);
                        self.server
                            .record
                            .line(&self.server.id, &format!("the node has detached the link of {key}"));
                    }
                }
            }
            _ => {}
        }
    }

    fn on_receiver(&mut self, link: LinkId, attach: Box<Attach>) {
        let key = key_of(&attach);
        let mut state = self.server.state.lock().unwrap();
        if state.is_draining {
            drop(state);
            self.server.record.line(&self.server.id, &format!("refuses {key}: draining"));
            let error = Error::new(condition::RESOURCE_LIMIT_EXCEEDED, "draining");
            return self.conn.refuse_link(link, error);
        }
        state.unanswered += 1;
        drop(state);
        self.server.begin(&key, "receiving link");
        let number = self.requested.len();
        self.requested.push(Requested { link, attach, is_gone: false, is_answered: false });
        self.later.push((Instant::now() + self.server.answer_after, Later::Attach { number, key }));
    }

    fn do_due(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.later).into_iter().partition(|(at, _)| *at <= now);
        self.later = later;
        for (_, action) in due {
            match action {
                Later::Accept { channel, id, key } => {
                    self.server.record.line(&self.server.id, &format!("has run {key}: accepted"));
                    self.conn.settle(channel, id, State::Accepted);
                }
                Later::Attach { number, key } => self.answer_attach(number, &key),
            }
        }
    }

    fn answer_attach(&mut self, number: usize, key: &str) {
        self.server.state.lock().unwrap().unanswered -= 1;
        let requested = &mut self.requested[number];
        if requested.is_gone {
            return self.server.record.line(&self.server.id, &format!("has run {key}; its link is gone"));
        }
        self.server.record.line(&self.server.id, &format!("has run {key}: answers the attach"));
        requested.is_answered = true;
        let attach = &requested.attach;
        let answer =
            Attach { source: attach.source.clone(), target: attach.target.clone(), ..Attach::default() };
        self.conn.accept_link(requested.link, answer);
    }
}

fn key_of(attach: &Attach) -> String {
    match attach.properties.as_ref().and_then(|properties| properties.get("key")) {
        Some(Value::Text(key) | Value::Symbol(key)) => key.clone(),
        _ => "?".into(),
    }
}

//! Servers of the AMQP family. They answer after a delay, refuse or release some requests, and finish what they have begun.

use super::history::History;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sparbank_amqp::{
    condition, Attach, Connection, Error, Event, Head, LinkId, Role, Settings, State, Value,
};
use sparbank_test_support::read_uninterrupted;
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const READ_TIMEOUT: Duration = Duration::from_millis(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The sessions have no time-outs of their own, so their clock may stand still.
const START: MonotonicTime = MonotonicTime::ZERO;
const LINK_CREDIT: u32 = 500;
const CHUNK_BYTES: usize = 64 * 1024;
/// The range of the time that a server takes for a request, in milliseconds.
const SERVICE_MS: std::ops::Range<u64> = 5..220;
/// The shares of requests that a server refuses without running them, and that fail after it has run them.
const REFUSED_SHARE: f64 = 0.06;
const FAILED_SHARE: f64 = 0.04;

/// One server.
pub struct Server {
    /// The number of the server.
    pub index: usize,
    history: Arc<History>,
    seed: u64,
    stop: Arc<AtomicBool>,
    /// The number of resets so far; connections that were opened before the last one are reset.
    resets: AtomicU64,
}

/// What a server does once it has run a request.
enum Completion {
    Settle { channel: u16, id: u32, state: State },
    Attach { link: LinkId, attach: Box<Attach> },
}

struct ServerConnection<'a> {
    server: &'a Server,
    connection: Connection,
    rng: Pcg64Mcg,
    running: Vec<(Instant, Completion)>,
    /// The first octets of deliveries of which more follows.
    partial: HashMap<LinkId, Vec<u8>>,
}

/// The connection has ended.
struct Ended;

impl Server {
    /// Creates a server.
    pub fn new(index: usize, seed: u64, history: Arc<History>, stop: Arc<AtomicBool>) -> Server {
        Server { index, history, seed, stop, resets: AtomicU64::new(0) }
    }

    /// Resets all connections.
    pub fn reset_connections(&self) {
        self.resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Serves connections until the end of the run, each in a thread of its own.
    pub fn serve(self: Arc<Server>, listener: TcpListener) {
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { return };
                if self.stop.load(Ordering::Relaxed) {
                    return;
                }
                let server = self.clone();
                std::thread::spawn(move || server.serve_connection(number as u64, stream));
            }
        });
    }

    fn serve_connection(&self, number: u64, stream: TcpStream) {
        let settings = Settings { idle_timeout: Duration::ZERO, ..Settings::default() };
        let mut connection = ServerConnection {
            server: self,
            connection: Connection::accept(START, settings, None),
            rng: Pcg64Mcg::seed_from_u64(self.seed ^ (number << 8) ^ self.index as u64),
            running: Vec::new(),
            partial: HashMap::new(),
        };
        let _ = connection.run(stream);
    }
}

impl ServerConnection<'_> {
    fn run(&mut self, mut stream: TcpStream) -> Result<(), Ended> {
        stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(|_| Ended)?;
        let resets = self.server.resets.load(Ordering::Relaxed);
        let (mut input, mut heartbeat_at) = (Vec::new(), Instant::now());
        loop {
            let is_reset = self.server.resets.load(Ordering::Relaxed) != resets;
            if is_reset || self.server.stop.load(Ordering::Relaxed) {
                return Err(Ended);
            }
            read_available(&mut stream, &mut input)?;
            let bytes = std::mem::take(&mut input);
            let mut unread = &bytes[..];
            while let Some(event) = self.connection.next_event(START, &mut unread).map_err(|_| Ended)? {
                self.on_event(event);
            }
            input = unread.to_vec();
            self.complete_due();
            let mut output = self.connection.take_output(START);
            if heartbeat_at.elapsed() > HEARTBEAT_INTERVAL {
                heartbeat_at = Instant::now();
                sparbank_amqp::write_frame(&mut output, sparbank_amqp::AMQP, 0, None, &[]);
            }
            stream.write_all(&output).map_err(|_| Ended)?;
        }
    }

    fn on_event(&mut self, event: Event<'_>) {
        match event {
            Event::SaslRequest(_) => self.connection.finish_sasl(true),
            Event::AttachRequested { link, role: Role::Receiver, attach } => {
                self.connection.accept_link(link, Attach { target: attach.target, ..Attach::default() });
                self.connection.set_credit(link, LINK_CREDIT);
            }
            Event::AttachRequested { link, role: Role::Sender, attach } => self.on_subscription(link, attach),
            Event::Transfer { link, transfer } => {
                let mut message = self.partial.remove(&link).unwrap_or_default();
                message.extend(transfer.payload);
                if !transfer.last {
                    self.partial.insert(link, message);
                } else if !transfer.aborted {
                    self.on_delivery(link, transfer.id, &message);
                }
            }
            _ => {}
        }
    }

    /// Begins to run the request of a receiving link, unless the server refuses it.
    fn on_subscription(&mut self, link: LinkId, attach: Box<Attach>) {
        if self.rng.random_bool(REFUSED_SHARE) {
            let error = Error::new(condition::RESOURCE_LIMIT_EXCEEDED, "full");
            return self.connection.refuse_link(link, error);
        }
        let properties = attach.properties.as_ref();
        if let Some(Value::Text(key)) = properties.and_then(|properties| properties.get("key")) {
            self.server.history.on_run(key, self.server.index);
        }
        let answer = Attach { source: attach.source, target: attach.target, ..Attach::default() };
        self.start(Completion::Attach { link, attach: Box::new(answer) });
    }

    /// Begins to run the request of a delivery, unless the server releases it.
    fn on_delivery(&mut self, link: LinkId, id: u32, message: &[u8]) {
        if self.connection.credit(link) < LINK_CREDIT / 2 {
            self.connection.set_credit(link, LINK_CREDIT);
        }
        if self.rng.random_bool(REFUSED_SHARE) {
            return self.connection.settle(link.channel, id, State::Released);
        }
        let head = Head::read(message).ok().flatten();
        if let Some(key) = head.and_then(|head| head.application_property_text(message, "key")) {
            self.server.history.on_run(&key, self.server.index);
        }
        let state = if self.rng.random_bool(FAILED_SHARE) {
            State::Modified { delivery_failed: true, undeliverable_here: false, annotations: None }
        } else {
            State::Accepted
        };
        self.start(Completion::Settle { channel: link.channel, id, state });
    }

    fn start(&mut self, completion: Completion) {
        let service_time = Duration::from_millis(self.rng.random_range(SERVICE_MS));
        self.running.push((Instant::now() + service_time, completion));
    }

    fn complete_due(&mut self) {
        let now = Instant::now();
        for (_, completion) in self.running.extract_if(.., |(at, _)| *at <= now) {
            match completion {
                Completion::Settle { channel, id, state } => self.connection.settle(channel, id, state),
                Completion::Attach { link, attach } => self.connection.accept_link(link, *attach),
            }
        }
    }
}

fn read_available(stream: &mut TcpStream, input: &mut Vec<u8>) -> Result<(), Ended> {
    let mut chunk = vec![0; CHUNK_BYTES];
    match read_uninterrupted(stream, &mut chunk) {
        Ok(0) => Err(Ended),
        Ok(count) => {
            input.extend(&chunk[..count]);
            Ok(())
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
        Err(_) => Err(Ended),
    }
}

//! Simulated servers of both protocols that can be killed, hung and drained.

use crate::attempts::{AttemptId, AttemptLog};
use sparbank_amqp::{Attach, Connection, Event, LinkId, Settings, State};
use sparbank_test_support::read_uninterrupted;
use sparbank_time::MonotonicTime;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The time that is passed to each call of the protocol library, which ignores it as no timeout is set.
const START: MonotonicTime = MonotonicTime::ZERO;
/// How long a server waits for input before it checks its mode.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Upper limit on the connections that are kept so as to close them when their server is killed. Beyond it, the oldest half
/// is dropped.
const MAX_TRACKED_CONNECTIONS: usize = 500;
/// How often an AMQP client or server sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The credit of an AMQP link, and the value below which it is renewed.
const LINK_CREDIT: u32 = 100;
const MIN_LINK_CREDIT: u32 = 50;

/// How a server responds to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Serves requests.
    Up,
    /// Reads and never answers.
    Hung,
    /// Closes all connections, new ones at once.
    Dead,
}

struct ServerState {
    mode: Mode,
    draining_since: Option<Instant>,
    /// Duplicate handles of connections, to close them when the server is killed.
    connections: Vec<TcpStream>,
}

/// A simulated server of both protocols.
pub struct Server {
    state: Mutex<ServerState>,
    attempts: Arc<AttemptLog>,
    stop: Arc<AtomicBool>,
}

impl Server {
    /// Creates a server that is up. It closes its connections once `stop` is set.
    pub fn new(attempts: Arc<AttemptLog>, stop: Arc<AtomicBool>) -> Server {
        let state = ServerState { mode: Mode::Up, draining_since: None, connections: Vec::new() };
        Server { state: Mutex::new(state), attempts, stop }
    }

    fn state(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("no thread panicked")
    }

    pub fn mode(&self) -> Mode {
        self.state().mode
    }

    /// Changes how the server responds. A server that is killed closes its connections.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.state();
        state.mode = mode;
        if mode == Mode::Dead {
            for stream in state.connections.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn is_draining(&self) -> bool {
        self.state().draining_since.is_some()
    }

    /// Records that the node has been notified of the drain.
    pub fn on_drain_announced(&self) {
        self.state().draining_since = Some(Instant::now());
    }

    /// Records the end of the drain. Called before the node is notified of it.
    pub fn end_drain(&self) {
        self.state().draining_since = None;
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn begin_attempt(&self, item: u64) -> AttemptId {
        let draining_since = self.state().draining_since;
        self.attempts.begin(item, draining_since)
    }

    fn track_connection(&self, stream: &TcpStream) {
        let Ok(handle) = stream.try_clone() else { return };
        let connections = &mut self.state().connections;
        connections.push(handle);
        if connections.len() > MAX_TRACKED_CONNECTIONS {
            connections.drain(..MAX_TRACKED_CONNECTIONS / 2);
        }
    }

    /// Accepts connections on a listener, and serves each one in its own thread with `serve_connection`.
    pub fn serve(self: Arc<Server>, listener: TcpListener, serve_connection: fn(&Server, TcpStream)) {
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if self.is_stopped() {
                    return;
                }
                if self.mode() == Mode::Dead {
                    continue;
                }
                let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
                self.track_connection(&stream);
                let server = self.clone();
                std::thread::spawn(move || {
                    let handle = stream.try_clone();
                    serve_connection(&server, stream);
                    // A plain close is not enough: the tracked duplicate keeps the socket open.
                    let _ = handle.map(|stream| stream.shutdown(Shutdown::Both));
                });
            }
        });
    }
}

/// Error: the connection has ended or was reset.
pub struct Ended;

/// Appends the input that is available within the read timeout.
pub fn read_available(stream: &mut TcpStream, input: &mut Vec<u8>) -> Result<(), Ended> {
    let mut chunk = [0; READ_CHUNK_BYTES];
    match read_uninterrupted(stream, &mut chunk) {
        Ok(0) => Err(Ended),
        Ok(count) => {
            input.extend(&chunk[..count]);
            Ok(())
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Ok(()),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => Err(Ended),
        Err(error) => panic!("failed to read from the connection: {error}"),
    }
}

/// Serves a connection of the text protocol: one request, whose session is ended at once.
pub fn serve_text(server: &Server, mut stream: TcpStream) {
    let mut input = Vec::new();
    while !input.contains(&b'\n') {
        if server.is_stopped() || read_available(&mut stream, &mut input).is_err() {
            return;
        }
    }
    let line = String::from_utf8_lossy(&input).to_string();
    let item = line
        .split(' ')
        .nth(1)
        .and_then(|id| u64::from_str_radix(id, 16).ok())
        .expect("a hexadecimal request id");
    let attempt = server.begin_attempt(item);
    while server.mode() == Mode::Hung {
        if read_available(&mut stream, &mut input).is_err() {
            return server.attempts.end_unserved(attempt);
        }
    }
    let is_answered = stream.write_all(b"UP r\r\nBYE\r\n").is_ok() && server.mode() != Mode::Dead;
    if is_answered {
        server.attempts.end_served(attempt);
    } else {
        server.attempts.end_unserved(attempt);
    }
}

/// A delivery that the server has not settled yet.
struct UnsettledDelivery {
    link: LinkId,
    id: u32,
    attempt: AttemptId,
}

/// The server side of an AMQP connection.
struct AmqpServerConnection<'a> {
    server: &'a Server,
    connection: Connection,
    unsettled: Vec<UnsettledDelivery>,
}

impl AmqpServerConnection<'_> {
    fn on_event(&mut self, event: Event<'_>) {
        match event {
            Event::SaslRequest(_) => self.connection.finish_sasl(true),
            Event::AttachRequested { link, attach, .. } => {
                let answer = Attach { target: attach.target, ..Attach::default() };
                self.connection.accept_link(link, answer);
                self.connection.set_credit(link, LINK_CREDIT);
            }
            Event::Transfer { link, transfer } if transfer.last && !transfer.aborted => {
                self.on_delivery(link, transfer.id, transfer.payload);
            }
            // The node has cancelled the attempt.
            Event::SettledBySender { key, .. } | Event::DeliveryLost { key, .. } => {
                for delivery in self.unsettled.extract_if(.., |delivery| delivery.attempt.item == key) {
                    self.server.attempts.end_unserved(delivery.attempt);
                }
            }
            _ => {}
        }
    }

    fn on_delivery(&mut self, link: LinkId, id: u32, payload: &[u8]) {
        let head =
            sparbank_amqp::Head::read(payload).expect("a well-formed message").expect("a complete head");
        let item = head
            .application_property_text(payload, "item")
            .expect("an item property")
            .parse()
            .expect("an item number");
        self.connection.set_delivery_key(link.channel, id, item);
        let attempt = self.server.begin_attempt(item);
        self.unsettled.push(UnsettledDelivery { link, id, attempt });
        if self.connection.credit(link) < MIN_LINK_CREDIT {
            self.connection.set_credit(link, LINK_CREDIT);
        }
    }

    fn accept_all(&mut self) {
        for UnsettledDelivery { link, id, attempt } in self.unsettled.drain(..) {
            self.connection.settle(link.channel, id, State::Accepted);
            self.server.attempts.end_served(attempt);
        }
    }

    fn run(&mut self, mut stream: TcpStream) -> Result<(), Ended> {
        let mut input = Vec::new();
        let mut last_heartbeat = Instant::now();
        loop {
            if self.server.is_stopped() || self.server.mode() == Mode::Dead {
                return Err(Ended);
            }
            read_available(&mut stream, &mut input)?;
            let bytes = std::mem::take(&mut input);
            let mut unread = &bytes[..];
            while let Some(event) =
                self.connection.next_event(START, &mut unread).expect("the node sends valid AMQP")
            {
                self.on_event(event);
            }
            input = unread.to_vec();
            if self.server.mode() != Mode::Hung {
                self.accept_all();
            }
            let mut output = self.connection.take_output(START);
            if last_heartbeat.elapsed() > HEARTBEAT_INTERVAL {
                last_heartbeat = Instant::now();
                sparbank_amqp::write_frame(&mut output, sparbank_amqp::AMQP, 0, None, &[]);
            }
            stream.write_all(&output).map_err(|_| Ended)?;
        }
    }
}

/// Serves an AMQP connection: accepts deliveries as they arrive.
pub fn serve_amqp(server: &Server, stream: TcpStream) {
    let settings = Settings { idle_timeout: Duration::ZERO, ..Settings::default() };
    let connection = Connection::accept(START, settings, None);
    let mut server_connection = AmqpServerConnection { server, connection, unsettled: Vec::new() };
    let _ = server_connection.run(stream);
    for delivery in &server_connection.unsettled {
        server.attempts.end_unserved(delivery.attempt);
    }
}

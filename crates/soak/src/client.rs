//! Simulated clients: ordinary ones, and ones that disconnect early, send too much, stay idle or send half a line.
//! `session` has what they do once a server has accepted them.

use crate::node::Nodes;
use crate::request::{
    class_name, DEADLINE, MAX_ATTEMPTS, RESTORATION_ANSWERED_WITHIN, RESTORATION_DEADLINE, RESTORED_WITHIN,
};
use crate::schedule::Family;
use crate::server::Servers;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sparbank_test_support::invariants::{
    Answer, InvariantChecker, RestoredSession, RetrySafety, Rule, SentRequest,
};
use sparbank_test_support::loopback::{has_peer_closed, reset_on_drop};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

/// A client stops waiting for an answer, or for a second one, after this time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_500);
/// The node closes a connection without a valid request, with or without an answer, within this time.
const INVALID_CLIENT_TIMEOUT: Duration = Duration::from_millis(3_050);
/// Probability that a client disconnects before its answer, during [`ClientBehaviour::disconnect`] and otherwise.
const FAULT_DISCONNECT_PROBABILITY: f64 = 0.7;
const DISCONNECT_PROBABILITY: f64 = 0.15;
/// Upper limit of the random time that a client rests on an open connection: longer than the node leaves it open.
const MAX_REST_MS: u64 = 3_000;
/// Probability that a resting client checks the node's health first.
const PING_PROBABILITY: f64 = 0.3;
/// A node's answer to a health check.
const PONG: &[u8; 6] = b"PONG\r\n";

/// The retry safety of each request is drawn from these: half of the requests are idempotent.
const RETRY_SAFETIES: [RetrySafety; 4] =
    [RetrySafety::Idempotent, RetrySafety::Idempotent, RetrySafety::Keyed, RetrySafety::NonIdempotent];

/// What has become of a connection on which a client has rested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rest {
    /// The client sends its request now.
    Over,
    /// The node has ended the connection.
    EndedByNode,
}

/// The client faults that are active, for all clients of a run.
#[derive(Default)]
pub struct ClientBehaviour {
    /// Clients disconnect while their requests are pending.
    pub disconnect: Cell<bool>,
    /// Clients send many request lines at once.
    pub flood: Cell<bool>,
    /// Clients connect and send nothing.
    pub idle: Cell<bool>,
    /// Clients send half a request line, and keep the connection open.
    pub partial_line: Cell<bool>,
    /// Clients send no further requests.
    pub stopped: Cell<bool>,
}

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Sends a request at once, and leaves its session after a random time.
    Ordinary,
    /// Sends a request at once, and keeps its session until the node or the server ends it.
    Persistent,
    /// Rests on the open connection before its request, sometimes after a health check of the node.
    Resting,
    /// Restores a session at a server, and leaves it after a random time.
    Restoring,
}

impl Habit {
    /// The habit of a client, by its number.
    pub fn of_client(family: Family, number: u64) -> Habit {
        match (family, number % 2) {
            (Family::Faults, _) => Habit::Ordinary,
            (Family::Shutdowns, 0) => Habit::Persistent,
            (Family::Shutdowns, _) => Habit::Resting,
            (Family::Restorations, 0) => Habit::Restoring,
            (Family::Restorations | Family::Amqp, _) => Habit::Persistent,
        }
    }
}

/// A client that sends one request after another, each to a random node.
pub struct Client {
    /// Where requests and answers are recorded.
    pub checker: Rc<RefCell<InvariantChecker>>,
    /// The nodes that it connects to.
    pub nodes: Nodes,
    /// The servers, which record how they ended their sessions.
    pub servers: Servers,
    /// The client faults that are active.
    pub behaviour: Rc<ClientBehaviour>,
    /// How the client uses its connections.
    pub habit: Habit,
    /// Number of the client, part of its request ids, which are therefore unique.
    pub number: u64,
    pub(crate) rng: Pcg64Mcg,
    requests: u64,
}

impl Client {
    /// Creates a client whose random draws are determined by `seed` and `number`.
    pub fn new(
        checker: &Rc<RefCell<InvariantChecker>>,
        nodes: &Nodes,
        servers: &Servers,
        behaviour: &Rc<ClientBehaviour>,
        habit: Habit,
        number: u64,
        seed: u64,
    ) -> Client {
        Client {
            checker: checker.clone(),
            nodes: nodes.clone(),
            servers: servers.clone(),
            behaviour: behaviour.clone(),
            habit,
            number,
            rng: Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            requests: 0,
        }
    }

    /// Sends requests until the clients are stopped.
    pub async fn run(mut self) {
        while !self.behaviour.stopped.get() {
            sleep(Duration::from_millis(self.rng.random_range(5..120))).await;
            let Some(node) = self.nodes.draw_accepting(&mut self.rng) else { continue };
            let incarnation = self.checker.borrow().incarnation(node);
            let Ok(mut stream) = TcpStream::connect(self.nodes.address(node)).await else { continue };
            let _ = stream.set_nodelay(true);
            let is_affected = self.rng.random_bool(0.5);
            if self.behaviour.idle.get() && is_affected {
                self.send_invalid_input(node, incarnation, stream, "").await;
            } else if self.behaviour.partial_line.get() && is_affected {
                self.send_invalid_input(node, incarnation, stream, "OPEN 9b1f 7f3a c=li").await;
            } else if self.behaviour.flood.get() && is_affected {
                let lines = "OPEN 9b1f 7f3a c=live,t=acme,d=1000,g=5c\r\n".repeat(100);
                self.send_invalid_input(node, incarnation, stream, &lines).await;
            } else if self.habit != Habit::Resting || self.rest(&mut stream).await == Rest::Over {
                self.send_request(node, incarnation, stream).await;
            }
        }
    }

    /// Rests on an open connection, sometimes after a health check. The node may end the connection meanwhile.
    async fn rest(&mut self, stream: &mut TcpStream) -> Rest {
        if self.rng.random_bool(PING_PROBABILITY) && !is_healthy(stream).await {
            return Rest::EndedByNode;
        }
        sleep(Duration::from_millis(self.rng.random_range(0..MAX_REST_MS))).await;
        // A client that sees the end of its connection sends nothing on it.
        if stream.try_read(&mut [0; 1]).is_ok() || has_peer_closed(stream) {
            Rest::EndedByNode
        } else {
            Rest::Over
        }
    }

    /// Sends text that is not a valid request, and checks that the node closes the connection in time.
    async fn send_invalid_input(&mut self, node: usize, incarnation: u64, mut stream: TcpStream, text: &str) {
        let connected_at = Instant::now();
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let mut bytes = [0; 64];
        let limit = INVALID_CLIENT_TIMEOUT + Duration::from_secs(2);
        while timeout(limit, stream.read(&mut bytes))
            .await
            .is_ok_and(|read| read.is_ok_and(|count| count > 0))
        {}
        let waited = connected_at.elapsed();
        let mut checker = self.checker.borrow_mut();
        let allowed = INVALID_CLIENT_TIMEOUT + self.nodes.excused_stall(node) + checker.lateness();
        if waited > allowed && !checker.is_excused(node, incarnation) {
            checker.report(
                Rule::BadClient,
                format!("node {node} left a connection with input {:?} open for {waited:?}", text.get(..20)),
            );
        }
    }

    /// Sends one request, and uses the session if it is served.
    async fn send_request(&mut self, node: usize, incarnation: u64, stream: TcpStream) {
        self.requests += 1;
        let id = format!("{:x}", (self.number << 24) | self.requests);
        let safety = RETRY_SAFETIES[self.rng.random_range(0..RETRY_SAFETIES.len())];
        let restored = self.draw_restored_session();
        let line = self.request_line(&id, safety, restored);
        let (read, mut write) = stream.into_split();
        if !self.write_line(&mut write, &line).await {
            return;
        }
        let sent_at = Instant::now();
        let request = SentRequest { id: &id, node, incarnation, safety, line: &line, restored };
        self.checker.borrow_mut().on_request(request);
        let mut read = BufReader::new(read);
        let is_fault = self.behaviour.disconnect.get();
        let probability = if is_fault { FAULT_DISCONNECT_PROBABILITY } else { DISCONNECT_PROBABILITY };
        if self.rng.random_bool(probability) {
            return self.disconnect(&id, read, write).await;
        }
        let mut text = String::new();
        let wait = restored.map_or(ANSWER_TIMEOUT, |session| session.answer_within + ANSWER_TIMEOUT);
        let answer = match read_answer(&mut read, &mut text, wait).await {
            Ok(answer) => answer,
            Err(reason) => {
                let reason = format!("{reason} after {:?}", sent_at.elapsed());
                return self.checker.borrow_mut().on_no_answer(&id, &reason);
            }
        };
        if restored.is_some() && answer == Answer::Busy && self.is_closed_unread(node, &write) {
            self.checker.borrow_mut().on_closed_unread(&id);
        }
        self.checker.borrow_mut().on_answer(&id, answer, sent_at.elapsed());
        if answer == Answer::Up {
            self.use_session(node, incarnation, &id, read, write).await;
        } else if timeout(ANSWER_TIMEOUT, read.read_line(&mut text))
            .await
            .is_ok_and(|more| more.is_ok_and(|count| count > 0))
        {
            self.checker.borrow_mut().report(Rule::SecondAnswer, format!("{id} received {text:?}"));
        }
    }

    /// Whether a node that is short of descriptors has closed the connection before it has read the request: what arrives
    /// after the close is reset. A node that has read the request keeps the connection until the client closes it.
    fn is_closed_unread(&self, node: usize, write: &OwnedWriteHalf) -> bool {
        let is_reset = matches!(write.as_ref().take_error(), Ok(Some(_)));
        is_reset && self.nodes.is_short_of_descriptors(node)
    }

    /// The session that the client restores with its next request, if that is its habit.
    fn draw_restored_session(&mut self) -> Option<RestoredSession> {
        (self.habit == Habit::Restoring).then(|| RestoredSession {
            server: self.rng.random_range(0..self.servers.len()),
            up_within: RESTORED_WITHIN,
            answer_within: RESTORATION_ANSWERED_WITHIN,
            max_attempts: MAX_ATTEMPTS,
        })
    }

    fn request_line(&self, id: &str, safety: RetrySafety, restored: Option<RestoredSession>) -> String {
        let (deadline, server) = match restored {
            Some(session) => (RESTORATION_DEADLINE, format!(",at=s-{}", session.server)),
            None => (DEADLINE, String::new()),
        };
        format!(
            "OPEN {id} {:x} c={},t=acme,d={},g=5c{:x}{server}\r\n",
            self.number,
            class_name(safety),
            deadline.as_millis(),
            self.number
        )
    }

    /// Writes a line, sometimes in two parts with a pause between them. Returns whether all of it was written.
    async fn write_line(&mut self, write: &mut OwnedWriteHalf, line: &str) -> bool {
        let split_at =
            if self.rng.random_bool(0.2) { self.rng.random_range(1..line.len()) } else { line.len() };
        if write.write_all(&line.as_bytes()[..split_at]).await.is_err() {
            return false;
        }
        if split_at < line.len() {
            sleep(Duration::from_millis(self.rng.random_range(0..40))).await;
        }
        write.write_all(&line.as_bytes()[split_at..]).await.is_ok()
    }

    /// Disconnects after a random delay, with a FIN or a reset.
    async fn disconnect(&mut self, id: &str, read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) {
        sleep(Duration::from_millis(self.rng.random_range(0..400))).await;
        if self.rng.random_bool(0.5) {
            reset_on_drop(write.as_ref());
        }
        self.checker.borrow_mut().on_client_gone(id);
        drop((read, write));
    }
}

/// Whether a node answers a health check on this connection with `PONG`.
async fn is_healthy(stream: &mut TcpStream) -> bool {
    let mut answer = [0; PONG.len()];
    stream.write_all(b"PING\r\n").await.is_ok()
        && timeout(ANSWER_TIMEOUT, stream.read_exact(&mut answer)).await.is_ok_and(|read| read.is_ok())
        && answer == *PONG
}

/// Reads a final answer, or describes why none has arrived.
async fn read_answer(
    read: &mut BufReader<OwnedReadHalf>,
    text: &mut String,
    wait: Duration,
) -> Result<Answer, String> {
    match timeout(wait, read.read_line(text)).await {
        Err(_) => Err("no answer".to_string()),
        Ok(Ok(count)) if count > 0 && text.ends_with('\n') => Ok(match text.split([' ', '\r']).next() {
            Some("UP") => Answer::Up,
            Some("BUSY") => Answer::Busy,
            _ => Answer::Failed,
        }),
        Ok(ended) => Err(format!("the connection ended: {ended:?} {text:?}")),
    }
}

//! Simulated servers. They answer request lines according to their mode, and echo the lines of established sessions.

use crate::open_attempts::{AttemptNumber, OpenAttempts};
use sparbank_test_support::invariants::InvariantChecker;
use sparbank_test_support::loopback::{reset_on_drop, AddressBlock};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Instant};

/// How often an established session checks whether its server has been ordered to end it.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time to an answer in [`Mode::Serves`].
const ANSWER_DELAY: Duration = Duration::from_millis(5);
/// Time to an answer in [`Mode::Late`]: longer than the timeout of an attempt.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(420);
/// How long a server that has ended a session waits for the other side to close it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of lines in a burst.
const BURST_LINES: usize = 200_000;

/// How a server responds to request lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The server accepts requests after `ANSWER_DELAY`.
    Serves,
    /// The server reads request lines and never answers.
    Hangs,
    /// The server rejects every request.
    Rejects,
    /// The server resets the connection once the line has arrived.
    Resets,
    /// The server sends a part of its answer and resets the connection.
    Truncates,
    /// The server accepts requests later than the timeout of an attempt.
    Late,
}

/// How a server ends its established sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// `BYE`, then a FIN.
    Orderly,
    /// A reset.
    Reset,
    /// A burst of lines, `BYE`, then a FIN.
    Burst,
}

/// How a server has ended a session, for the client to check what it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// When the server ended it.
    pub at: Instant,
    /// How the server ended it.
    pub end: SessionEnd,
    /// Number of burst lines that were sent before the end.
    pub lines: usize,
}

struct Server {
    address: SocketAddr,
    mode: Cell<Mode>,
    /// The number of commands to end sessions so far, and how the latest one ends them.
    end_command: Cell<(u64, SessionEnd)>,
    /// The task that accepts connections; `None` while connections are refused.
    acceptor: RefCell<Option<JoinHandle<()>>>,
}

/// All simulated servers of a run.
#[derive(Clone)]
pub struct Servers {
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Rc<Vec<Server>>,
    /// Sessions that their servers have ended, by request id.
    ended_sessions: Rc<RefCell<HashMap<String, EndedSession>>>,
    open_attempts: Rc<RefCell<OpenAttempts>>,
}

impl Servers {
    /// Starts `count` servers.
    ///
    /// # Panics
    /// If the system has no free port.
    pub async fn start(
        checker: &Rc<RefCell<InvariantChecker>>,
        addresses: &AddressBlock,
        count: usize,
    ) -> Servers {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind(addresses.peer_address()).await.expect("a free port");
            servers.push(Server {
                address: listener.local_addr().expect("the address of a bound socket"),
                mode: Cell::new(Mode::Serves),
                end_command: Cell::new((0, SessionEnd::Orderly)),
                acceptor: RefCell::new(None),
            });
            listeners.push(listener);
        }
        let servers = Servers {
            checker: checker.clone(),
            servers: Rc::new(servers),
            ended_sessions: Rc::default(),
            open_attempts: Rc::default(),
        };
        for (number, listener) in listeners.into_iter().enumerate() {
            servers.accept(number, listener);
        }
        servers
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the run has no servers.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// The address that a server listens on.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.servers[number].address
    }

    /// Changes how a server responds to request lines.
    pub fn set_mode(&self, number: usize, mode: Mode) {
        self.servers[number].mode.set(mode);
    }

    /// Ends all established sessions of a server.
    pub fn end_sessions(&self, number: usize, end: SessionEnd) {
        let command = &self.servers[number].end_command;
        command.set((command.get().0 + 1, end));
    }

    /// How a request's session was ended by its server; `None` if the server has not ended it.
    pub fn ended_session(&self, id: &str) -> Option<EndedSession> {
        self.ended_sessions.borrow().get(id).copied()
    }

    /// When a request's session was ended by its server; `None` if the server has not ended it.
    pub fn ended_at(&self, id: &str) -> Option<Instant> {
        self.ended_session(id).map(|ended| ended.at)
    }

    /// Makes a server refuse connections for some time. Established connections go on.
    pub async fn refuse_for(&self, number: usize, duration: Duration) {
        let Some(acceptor) = self.servers[number].acceptor.borrow_mut().take() else { return };
        acceptor.abort();
        let _ = acceptor.await;
        sleep(duration).await;
        if let Ok(listener) = TcpListener::bind(self.servers[number].address).await {
            self.accept(number, listener);
        }
    }

    /// Starts to accept connections.
    fn accept(&self, number: usize, listener: TcpListener) {
        let servers = self.clone();
        let acceptor = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(servers.clone().serve(number, stream));
            }
        });
        *self.servers[number].acceptor.borrow_mut() = Some(acceptor);
    }

    /// Reads the request line of a connection, and responds to it.
    async fn serve(self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        if !read.read_line(&mut line).await.is_ok_and(|_| line.ends_with('\n')) {
            return;
        }
        let id = line.split(' ').nth(1).unwrap_or("").to_string();
        let attempt = self.begin_attempt(number, &id, &line, read.get_ref());
        self.answer(number, &id, read, write).await;
        self.end_attempt(number, &id, attempt);
    }

    /// Reports an attempt to the checker, after the ends of the request's attempts that its node has closed.
    fn begin_attempt(&self, number: usize, id: &str, line: &str, read: &OwnedReadHalf) -> AttemptNumber {
        let mut checker = self.checker.borrow_mut();
        let mut open_attempts = self.open_attempts.borrow_mut();
        for closed in open_attempts.remove_closed(id) {
            checker.on_attempt_ended(id, closed);
        }
        checker.on_attempt(id, number, line);
        open_attempts.insert(id, number, read.as_ref()).expect("a descriptor")
    }

    fn end_attempt(&self, number: usize, id: &str, attempt: AttemptNumber) {
        if self.open_attempts.borrow_mut().remove(id, attempt) {
            self.checker.borrow_mut().on_attempt_ended(id, number);
        }
    }

    async fn answer(
        &self,
        number: usize,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        match self.servers[number].mode.get() {
            Mode::Serves => self.establish(number, id, read, write, ANSWER_DELAY).await,
            Mode::Late => self.establish(number, id, read, write, LATE_ANSWER_DELAY).await,
            Mode::Hangs => {
                self.checker.borrow_mut().on_attempt_ignored(id, number);
                discard_input(&mut read).await;
            }
            Mode::Rejects => {
                self.checker.borrow_mut().on_attempt_rejected(id, number);
                let _ = write.write_all(b"BUSY\r\n").await;
            }
            Mode::Resets => reset(read, write),
            Mode::Truncates => {
                let _ = write.write_all(b"UP r").await;
                reset(read, write);
            }
        }
    }

    /// Answers after a delay, and echoes lines until either side ends the session.
    async fn establish(
        &self,
        number: usize,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
        answer_delay: Duration,
    ) {
        let mut line = String::new();
        // A node that cancels the attempt ends its side of the connection.
        if timeout(answer_delay, read.read_line(&mut line)).await.is_ok() {
            return;
        }
        let (command, _) = self.servers[number].end_command.get();
        if write.write_all(b"UP r1\r\n").await.is_err() {
            return;
        }
        // A cancelled `read_line` loses what it has read; a cancelled `read_until` does not.
        let mut echo = Vec::new();
        loop {
            if let Ok(result) = timeout(COMMAND_POLL_INTERVAL, read.read_until(b'\n', &mut echo)).await {
                if !result.is_ok_and(|count| count > 0) || write.write_all(&echo).await.is_err() {
                    return;
                }
                echo.clear();
            }
            let (latest, end) = self.servers[number].end_command.get();
            if latest != command {
                return self.end_session(id, end, read, write).await;
            }
        }
    }

    /// Ends an established session as `end` says, and records it for its client.
    async fn end_session(
        &self,
        id: &str,
        end: SessionEnd,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let lines = if end == SessionEnd::Burst { BURST_LINES } else { 0 };
        self.ended_sessions
            .borrow_mut()
            .insert(id.to_string(), EndedSession { at: Instant::now(), end, lines });
        if end == SessionEnd::Reset {
            return reset(read, write);
        }
        let burst = "B 0123456789abcdef\r\n".repeat(lines) + "BYE\r\n";
        if write.write_all(burst.as_bytes()).await.is_ok() {
            let _ = write.shutdown().await;
            // Closing a socket with unread input resets the connection, and the peer would lose lines that are in transit.
            let _ = timeout(CLOSE_TIMEOUT, discard_input(&mut read)).await;
        }
    }
}

/// Reads and discards input until the other side ends.
async fn discard_input(read: &mut BufReader<OwnedReadHalf>) {
    let mut chunk = [0; 1024];
    while read.read(&mut chunk).await.is_ok_and(|count| count > 0) {}
}

fn reset(read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) {
    reset_on_drop(write.as_ref());
    drop((read, write));
}

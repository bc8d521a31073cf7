//! Simulated servers: they answer request lines as their mode says, and echo the lines of established sessions.

use sparbank_test_support::invariants::InvariantChecker;
use sparbank_test_support::loopback::reset_on_drop;
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

/// How often an established session looks whether it is to end.
const COMMAND_INTERVAL: Duration = Duration::from_millis(10);
/// An ordinary answer takes this long.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// A late one takes longer than an attempt's time.
const LATE_ANSWER_TIME: Duration = Duration::from_millis(420);
/// A server waits this long for the other side's end.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);
/// Lines of a burst.
const BURST_LINES: usize = 200_000;

/// What a server does with request lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves.
    Serves,
    /// It reads and never answers.
    Hangs,
    /// It rejects.
    Rejects,
    /// It resets the connection once the line has come.
    Resets,
    /// It breaks its answer off.
    BreaksOff,
    /// It answers late.
    Late,
}

/// How established sessions end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// `BYE` and the end.
    Orderly,
    /// A reset.
    Reset,
    /// A burst of lines, `BYE` and the end.
    Burst,
}

/// How a session's server side has ended, for the client that watches it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedSession {
    /// When.
    pub at: Instant,
    /// How.
    pub end: SessionEnd,
    /// Lines that were sent before the end.
    pub lines: usize,
}

struct Server {
    address: SocketAddr,
    mode: Cell<Mode>,
    /// Rises with each command to end sessions.
    command: Cell<(u64, SessionEnd)>,
    acceptor: RefCell<Option<JoinHandle<()>>>,
}

/// All servers of a run.
#[derive(Clone)]
pub struct Servers {
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Rc<Vec<Server>>,
    /// Sessions that their servers have ended, by request.
    ended: Rc<RefCell<HashMap<String, EndedSession>>>,
}

impl Servers {
    /// Starts so many servers.
    ///
    /// # Panics
    /// The system has no free port.
    pub async fn start(checker: &Rc<RefCell<InvariantChecker>>, count: usize) -> Servers {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            servers.push(Server {
                address: listener.local_addr().expect("an address"),
                mode: Cell::new(Mode::Serves),
                command: Cell::new((0, SessionEnd::Orderly)),
                acceptor: RefCell::new(None),
            });
            listeners.push(listener);
        }
        let servers = Servers { checker: checker.clone(), servers: Rc::new(servers), ended: Rc::default() };
        for (number, listener) in listeners.into_iter().enumerate() {
            servers.accept(number, listener);
        }
        servers
    }

    /// The number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Where a server listens.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.servers[number].address
    }

    /// A server does this with request lines from now on.
    pub fn set_mode(&self, number: usize, mode: Mode) {
        self.servers[number].mode.set(mode);
    }

    /// A server ends its sessions.
    pub fn end_sessions(&self, number: usize, end: SessionEnd) {
        let command = &self.servers[number].command;
        command.set((command.get().0 + 1, end));
    }

    /// How a request's session was ended by its server, if it was.
    pub fn ended_session(&self, id: &str) -> Option<EndedSession> {
        self.ended.borrow().get(id).copied()
    }

    /// When a request's session was ended by its server, if it was.
    pub fn ended_at(&self, id: &str) -> Option<Instant> {
        self.ended_session(id).map(|ended| ended.at)
    }

    /// A server refuses connections for a while.
    pub async fn refuse_for(&self, number: usize, span: Duration) {
        let Some(acceptor) = self.servers[number].acceptor.borrow_mut().take() else { return };
        acceptor.abort();
        let _ = acceptor.await;
        sleep(span).await;
        if let Ok(listener) = TcpListener::bind(self.servers[number].address).await {
            self.accept(number, listener);
        }
    }

    fn accept(&self, number: usize, listener: TcpListener) {
        let servers = self.clone();
        let acceptor = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(servers.clone().serve(number, stream));
            }
        });
        *self.servers[number].acceptor.borrow_mut() = Some(acceptor);
    }

    async fn serve(self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        if !read.read_line(&mut line).await.is_ok_and(|_| line.ends_with('\n')) {
            return;
        }
        let id = line.split(' ').nth(1).unwrap_or("").to_string();
        self.checker.borrow_mut().on_attempt(&id, number, &line);
        self.answer(number, &id, read, write).await;
        self.checker.borrow_mut().on_attempt_ended(&id, number);
    }

    async fn answer(
        &self,
        number: usize,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        match self.servers[number].mode.get() {
            Mode::Serves => self.establish(number, id, read, write, ANSWER_TIME).await,
            Mode::Late => self.establish(number, id, read, write, LATE_ANSWER_TIME).await,
            Mode::Hangs => drain(&mut read).await,
            Mode::Rejects => {
                self.checker.borrow_mut().on_attempt_rejected(id, number);
                let _ = write.write_all(b"BUSY\r\n").await;
            }
            Mode::Resets => reset(read, write),
            Mode::BreaksOff => {
                let _ = write.write_all(b"UP r").await;
                reset(read, write);
            }
        }
    }

    async fn establish(
        &self,
        number: usize,
        id: &str,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
        answer_time: Duration,
    ) {
        let mut line = String::new();
        // The node gives up by ending its side.
        if timeout(answer_time, read.read_line(&mut line)).await.is_ok() {
            return;
        }
        let (command, _) = self.servers[number].command.get();
        if write.write_all(b"UP r1\r\n").await.is_err() {
            return;
        }
        // A `read_line` that is given up loses what it has read; `read_until` does not.
        let mut echoed = Vec::new();
        loop {
            if let Ok(result) = timeout(COMMAND_INTERVAL, read.read_until(b'\n', &mut echoed)).await {
                if !result.is_ok_and(|count| count > 0) || write.write_all(&echoed).await.is_err() {
                    return;
                }
                echoed.clear();
            }
            let (latest, end) = self.servers[number].command.get();
            if latest != command {
                return self.end_session(id, end, read, write).await;
            }
        }
    }

    async fn end_session(
        &self,
        id: &str,
        end: SessionEnd,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        let lines = if end == SessionEnd::Burst { BURST_LINES } else { 0 };
        self.ended.borrow_mut().insert(id.to_string(), EndedSession { at: Instant::now(), end, lines });
        if end == SessionEnd::Reset {
            return reset(read, write);
        }
        let burst = "B 0123456789abcdef\r\n".repeat(lines) + "BYE\r\n";
        if write.write_all(burst.as_bytes()).await.is_ok() {
            let _ = write.shutdown().await;
            // A close over unread lines of the client would reset what is still on its way.
            let _ = timeout(CLOSE_TIMEOUT, drain(&mut read)).await;
        }
    }
}

async fn drain(read: &mut BufReader<OwnedReadHalf>) {
    let mut chunk = [0; 1024];
    while read.read(&mut chunk).await.is_ok_and(|count| count > 0) {}
}

/// Resets a connection.
fn reset(read: BufReader<OwnedReadHalf>, write: OwnedWriteHalf) {
    reset_on_drop(write.as_ref());
    drop((read, write));
}

//! Simulated servers.
//!
//! A server has capacity for a number of connections, and for a fraction of it while it is warming up. More than
//! [`OVERLOAD_MULTIPLE`] times that fraction for [`OVERLOAD_AFTER`] overloads the server, which the auditor reports as
//! a violation.

use super::auditor::ObservedAttempt;
use super::endpoint_list::{EndpointList, ListedEndpoint};
use super::ledger::Ledger;
use super::Shared;
use crate::loopback::reset_on_drop;
use crate::watch_protocol::endpoint_json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

/// How long a server is warming up after its start.
pub const SLOW_START_DURATION: Duration = Duration::from_secs(10);
/// How long a server that is warming up may exceed its limit before it counts as overloaded.
pub const OVERLOAD_AFTER: Duration = Duration::from_secs(2);
/// Limit on the connections of a server that is warming up, as a multiple of its present capacity.
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// Fraction of its full capacity that a server has when it starts.
const SLOW_START_FLOOR: f64 = 0.12;
/// Interval between checks of the load of servers that are warming up.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    /// The server accepts new requests.
    Ready,
    /// The server accepts no new requests.
    Draining,
    /// The server was removed from the list.
    Removed,
}

/// How a server handles connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// The server accepts connections and answers requests.
    Healthy,
    /// The server has no process: each attempt is counted and reset.
    Dead,
    /// The server accepts connections but never answers.
    Hung,
}

struct Server {
    number: usize,
    address: SocketAddr,
    status: Status,
    health: Health,
    /// Generation of the list that contains the server's last change.
    generation: u64,
    changed_at: Instant,
    started_at: Instant,
    /// Start time in Unix time; 0 for a server that started long ago and is warm.
    started_at_ms: u64,
    connections: usize,
    /// Since when the connections exceed the limit while the server is warming up.
    overloaded_since: Option<Instant>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    /// The fraction of its full capacity that the server has now.
    fn slow_start_factor(&self) -> f64 {
        if self.started_at_ms == 0 {
            return 1.0;
        }
        let age = self.started_at.elapsed().as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
        (SLOW_START_FLOOR + (1.0 - SLOW_START_FLOOR) * age).min(1.0)
    }

    /// The server's entry in the endpoint list.
    fn entry_json(&self) -> String {
        let lifecycle = match self.status {
            Status::Ready => "ready",
            Status::Draining => "draining",
            Status::Removed => "gone",
        };
        endpoint_json(self.number, self.address, lifecycle, self.started_at_ms)
    }
}

/// The peak number of open connections at all servers together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionPeak {
    /// Greatest number of connections open at the same time.
    pub max_open: usize,
    /// How often the connections were counted, which is once per new connection.
    pub counted: u64,
}

#[derive(Default)]
struct State {
    servers: Vec<Server>,
    generation: u64,
    /// The complete list saved by [`Servers::save_list`].
    saved_list: Option<EndpointList>,
}

/// All servers of a run, addressed by number. Numbers are never reused.
#[derive(Clone)]
pub struct Servers {
    shared: Shared,
    ledger: Ledger,
    state: Rc<RefCell<State>>,
    peak: Rc<Cell<ConnectionPeak>>,
}

impl Servers {
    /// Starts this many servers, all of them warm.
    pub async fn start(shared: &Shared, ledger: &Ledger, count: usize) -> Servers {
        let servers = Servers {
            shared: shared.clone(),
            ledger: ledger.clone(),
            state: Rc::new(RefCell::new(State { generation: 1, ..State::default() })),
            peak: Rc::default(),
        };
        for _ in 0..count {
            servers.add(false).await;
        }
        let monitored = servers.clone();
        spawn_local(async move {
            loop {
                monitored.check_slow_start_loads();
                sleep(LOAD_CHECK_INTERVAL).await;
            }
        });
        servers
    }

    /// Adds a server, either warming up or warm, and returns its number.
    pub async fn add(&self, is_warming_up: bool) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to read a socket address");
        let unix_time =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("system time is before 1970").as_millis()
                as u64;
        let number = {
            let mut state = self.state.borrow_mut();
            let number = state.servers.len();
            state.generation += u64::from(is_warming_up);
            let generation = state.generation;
            state.servers.push(Server {
                number,
                address,
                status: Status::Ready,
                health: Health::Healthy,
                generation,
                changed_at: Instant::now(),
                started_at: Instant::now(),
                started_at_ms: if is_warming_up { unix_time } else { 0 },
                connections: 0,
                overloaded_since: None,
                tasks: Vec::new(),
            });
            number
        };
        spawn_local(self.clone().accept(number, listener));
        number
    }

    async fn accept(self, number: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let task = spawn_local(self.clone().serve(number, stream));
            let mut state = self.state.borrow_mut();
            let tasks = &mut state.servers[number].tasks;
            tasks.retain(|task| !task.is_finished());
            tasks.push(task);
        }
    }

    /// Number of open connections at all servers together, including those that are being set up.
    pub fn open_connections(&self) -> usize {
        self.state.borrow().servers.iter().map(|server| server.connections).sum()
    }

    /// The peak number of open connections so far.
    pub fn connection_peak(&self) -> ConnectionPeak {
        self.peak.get()
    }

    /// Saves the current list, which discovery serves in the mode
    /// [`DiscoveryMode::Stale`](super::discovery::DiscoveryMode).
    pub fn save_list(&self) {
        let list = self.complete_list();
        self.state.borrow_mut().saved_list = Some(list);
    }

    /// The list that was saved last, if any.
    pub fn saved_list(&self) -> Option<EndpointList> {
        self.state.borrow().saved_list.clone()
    }

    /// Sets the state of a server in the endpoint list, under a new generation.
    pub fn set_status(&self, number: usize, status: Status) {
        let state = &mut *self.state.borrow_mut();
        state.generation += 1;
        let server = &mut state.servers[number];
        server.status = status;
        server.generation = state.generation;
        server.changed_at = Instant::now();
    }

    /// Sets how a server handles connections. A server that becomes [`Health::Dead`] drops its connections, but stays
    /// in the list.
    pub fn set_health(&self, number: usize, health: Health) {
        let tasks = {
            let server = &mut self.state.borrow_mut().servers[number];
            server.health = health;
            std::mem::take(&mut server.tasks)
        };
        if health == Health::Dead {
            tasks.iter().for_each(JoinHandle::abort);
            self.state.borrow_mut().servers[number].connections = 0;
        }
    }

    fn complete_list(&self) -> EndpointList {
        self.changes_since(0, true, Duration::ZERO).expect("a complete list is always available")
    }

    /// The complete list as JSON, as a node might have saved it.
    pub fn complete_list_json(&self) -> String {
        self.complete_list().json()
    }

    /// Returns the list that is due now on a watch that has this generation: the changes that are at least `delay`
    /// old, if any, or always the complete list if `is_complete` is set.
    pub fn changes_since(&self, generation: u64, is_complete: bool, delay: Duration) -> Option<EndpointList> {
        let state = self.state.borrow();
        let is_visible = |server: &&Server| server.changed_at.elapsed() >= delay;
        let newest =
            state.servers.iter().filter(is_visible).map(|server| server.generation).max().unwrap_or(1);
        if !is_complete && newest <= generation {
            return None;
        }
        let mut list = EndpointList::new(newest, is_complete, Vec::new());
        for (number, server) in state.servers.iter().enumerate() {
            let is_listed =
                if is_complete { server.status != Status::Removed } else { server.generation > generation };
            if is_visible(&server) && is_listed {
                let is_ready = server.status == Status::Ready;
                list.push(ListedEndpoint { server: number, is_ready }, server.entry_json());
            }
        }
        Some(list)
    }

    /// Reports the load of each server that is warming up to the auditor, and whether it exceeds the limit for too
    /// long.
    fn check_slow_start_loads(&self) {
        let mut state = self.state.borrow_mut();
        for server in &mut state.servers {
            let factor = server.slow_start_factor();
            if factor >= 1.0 {
                continue;
            }
            let limit = OVERLOAD_MULTIPLE * factor * self.shared.config.server_capacity;
            let load = server.connections as f64 / limit;
            if load > 1.0 {
                server.overloaded_since.get_or_insert_with(Instant::now);
            } else {
                server.overloaded_since = None;
            }
            let is_overloaded =
                server.overloaded_since.is_some_and(|since| since.elapsed() >= OVERLOAD_AFTER);
            self.shared.auditor.borrow_mut().on_slow_start_load(
                &format!("s-{}", server.number),
                load,
                is_overloaded,
            );
        }
    }

    async fn serve(self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        if !read.read_line(&mut line).await.is_ok_and(|count| count > 0) {
            return;
        }
        let id = line.split(' ').nth(1).unwrap_or("").to_string();
        let (health, is_warming_up, is_full) = {
            let server = &self.state.borrow().servers[number];
            let is_full = server.connections as f64 >= self.shared.config.server_capacity;
            (server.health, server.slow_start_factor() < 1.0, is_full)
        };
        let attempt = ObservedAttempt { server: number, is_warming_up, is_dead: health == Health::Dead };
        self.shared.auditor.borrow_mut().on_attempt(&id, attempt, &line);
        let guard = AttemptGuard { servers: &self, number, id: &id, is_counted: Cell::new(false) };
        match health {
            Health::Dead => reset_on_drop(write.as_ref()),
            Health::Hung => while read.read_line(&mut line).await.is_ok_and(|count| count > 0) {},
            Health::Healthy if is_full => reject(write).await,
            Health::Healthy => self.set_up(&guard, read, write).await,
        }
    }

    /// Sets up a connection and echoes its lines until it ends.
    async fn set_up(
        &self,
        guard: &AttemptGuard<'_>,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) {
        guard.count_connection();
        self.shared.auditor.borrow_mut().on_setup();
        let mut line = String::new();
        let is_set_up = tokio::select! {
            is_set_up = self.ledger.set_up() => is_set_up,
            // The node closes the connection, or sends data, before the set-up is complete: the attempt ends.
            _ = read.read_line(&mut line) => return,
        };
        let answer = if is_set_up { format!("UP r{}\r\n", guard.number) } else { "ERR\r\n".to_string() };
        if write.write_all(answer.as_bytes()).await.is_err() || !is_set_up {
            return;
        }
        loop {
            line.clear();
            match read.read_line(&mut line).await {
                Ok(count) if count > 0 && write.write_all(line.as_bytes()).await.is_ok() => {}
                _ => return,
            }
        }
    }
}

async fn reject(mut write: OwnedWriteHalf) {
    let _ = write.write_all(b"BUSY\r\n").await;
}

/// Records the end of an attempt when it is dropped, which covers every way in which the attempt can end.
struct AttemptGuard<'a> {
    servers: &'a Servers,
    number: usize,
    id: &'a str,
    is_counted: Cell<bool>,
}

impl AttemptGuard<'_> {
    /// Counts the attempt's connection as open until the guard is dropped.
    fn count_connection(&self) {
        self.is_counted.set(true);
        self.servers.state.borrow_mut().servers[self.number].connections += 1;
        let peak = self.servers.peak.get();
        self.servers.peak.set(ConnectionPeak {
            max_open: peak.max_open.max(self.servers.open_connections()),
            counted: peak.counted + 1,
        });
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if self.is_counted.get() {
            let connections = &mut self.servers.state.borrow_mut().servers[self.number].connections;
            *connections = connections.saturating_sub(1);
        }
        self.servers.shared.auditor.borrow_mut().on_attempt_ended(self.id, self.number);
    }
}

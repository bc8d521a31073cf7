//! Servers and the session ledger that all of them ask at each set-up.
//!
//! A server bears so many standing connections; while it is cold it bears a part, and more than
//! `FALL_MULTIPLE` times that for `TIP_AFTER` pushes it over, which the books count as a broken rule.

use super::World;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, Instant};

pub const WARM_AFTER: Duration = Duration::from_secs(10);
pub const TIP_AFTER: Duration = Duration::from_secs(2);
pub const FALL_MULTIPLE: f64 = 3.0;
const COLD_FROM: f64 = 0.12;
/// A set-up that waits longer than this for the ledger fails.
const LEDGER_WAIT: Duration = Duration::from_millis(600);

/// The session ledger: set-ups one after the other.
#[derive(Clone)]
pub struct Ledger {
    each: Duration,
    busy_until: Rc<Cell<Instant>>,
}

impl Ledger {
    pub fn new(world: &World) -> Ledger {
        let each = Duration::from_secs_f64(1.0 / world.figures.ledger);
        Ledger { each, busy_until: Rc::new(Cell::new(Instant::now())) }
    }

    /// One set-up's call; false where it waited too long.
    async fn call(&self) -> bool {
        let turn = self.busy_until.get().max(Instant::now()) + self.each;
        if turn > Instant::now() + LEDGER_WAIT {
            sleep(LEDGER_WAIT).await;
            return false;
        }
        self.busy_until.set(turn);
        tokio::time::sleep_until(turn).await;
        true
    }
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Ready,
    Draining,
    Removed,
}

/// What a server does with connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    Sound,
    /// Its process is gone; each attempt is counted and reset.
    Dead,
    /// It accepts and says nothing.
    Hung,
}

struct Server {
    name: String,
    address: SocketAddr,
    status: Status,
    health: Health,
    /// The version of the list that told of it last, and when that changed.
    version: u64,
    changed: Instant,
    started_at: Instant,
    /// In Unix time; zero is long ago.
    started_ms: u64,
    holds: usize,
    over_since: Option<Instant>,
    tasks: Vec<JoinHandle<()>>,
}

impl Server {
    fn warmth(&self) -> f64 {
        if self.started_ms == 0 {
            return 1.0;
        }
        let age = self.started_at.elapsed().as_secs_f64() / WARM_AFTER.as_secs_f64();
        (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0)
    }

    fn entry(&self) -> String {
        let lifecycle = match self.status {
            Status::Ready => "ready",
            Status::Draining => "draining",
            Status::Removed => "gone",
        };
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"a","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":{}}}"#,
            self.name, self.address, self.started_ms
        )
    }
}

/// What one line of a watch says.
pub struct List {
    pub version: u64,
    pub whole: bool,
    /// Each server that the list names, by number, and whether it takes anything new.
    pub named: Vec<(usize, bool)>,
    entries: Vec<String>,
}

impl List {
    /// One that names these and holds no entries, to be told to the books.
    pub fn naming(version: u64, whole: bool, named: Vec<(usize, bool)>) -> List {
        List { version, whole, named, entries: Vec::new() }
    }

    pub fn json(&self) -> String {
        let entries = self.entries.join(",");
        format!(r#"{{"generation":{},"reset":{},"instances":[{entries}]}}"#, self.version, self.whole)
    }
}

/// A whole list's version, whom it names, and its entries.
type Whole = (u64, Vec<(usize, bool)>, Vec<String>);

#[derive(Default)]
struct Table {
    servers: Vec<Server>,
    version: u64,
    /// The whole list as it was before the changes began.
    before: Option<Whole>,
}

/// All servers of a run, by number; a number is never dealt again.
#[derive(Clone)]
pub struct Servers {
    world: World,
    ledger: Ledger,
    table: Rc<RefCell<Table>>,
    /// The most connections that were open at all servers together, and how often that was counted.
    most: Rc<Cell<(usize, u64)>>,
}

impl Servers {
    pub async fn start(world: &World, ledger: &Ledger, count: usize) -> Servers {
        let table = Rc::new(RefCell::new(Table { version: 1, ..Table::default() }));
        let most = Rc::default();
        let servers = Servers { world: world.clone(), ledger: ledger.clone(), table, most };
        for _ in 0..count {
            servers.add(false).await;
        }
        let look = servers.clone();
        spawn_local(async move {
            loop {
                look.look();
                sleep(Duration::from_millis(50)).await;
            }
        });
        servers
    }

    /// One more server, warm or just started; gives its number.
    pub async fn add(&self, cold: bool) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64;
        let number = {
            let mut table = self.table.borrow_mut();
            let number = table.servers.len();
            table.version += u64::from(cold);
            let version = table.version;
            table.servers.push(Server {
                name: format!("s-{number}"),
                address,
                status: Status::Ready,
                health: Health::Sound,
                version,
                changed: Instant::now(),
                started_at: Instant::now(),
                started_ms: if cold { unix } else { 0 },
                holds: 0,
                over_since: None,
                tasks: Vec::new(),
            });
            number
        };
        let servers = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serves = spawn_local(servers.clone().serve(number, stream));
                let mut table = servers.table.borrow_mut();
                let tasks = &mut table.servers[number].tasks;
                tasks.retain(|task| !task.is_finished());
                tasks.push(serves);
            }
        });
        number
    }

    /// The connections that are open at all servers together, set-ups among them.
    pub fn open(&self) -> usize {
        self.table.borrow().servers.iter().map(|r| r.holds).sum()
    }

    /// The most that were, counted at each that came, and how often that was.
    pub fn most_open(&self) -> (usize, u64) {
        self.most.get()
    }

    /// Keeps the list as it is now, for when discovery goes back to it.
    pub fn remember(&self) {
        let whole = self.since(0, true, Duration::ZERO).expect("a whole list");
        self.table.borrow_mut().before = Some((whole.version, whole.named, whole.entries));
    }

    pub fn before(&self) -> Option<List> {
        let table = self.table.borrow();
        let (version, named, entries) = table.before.clone()?;
        Some(List { version, whole: true, named, entries })
    }

    /// The list says this of a server from now on.
    pub fn set(&self, number: usize, status: Status) {
        let table = &mut *self.table.borrow_mut();
        table.version += 1;
        let server = &mut table.servers[number];
        (server.status, server.version, server.changed) = (status, table.version, Instant::now());
    }

    /// Its process dies: all that it holds is reset. The list may still name it.
    pub fn health(&self, number: usize, health: Health) {
        let tasks = {
            let server = &mut self.table.borrow_mut().servers[number];
            server.health = health;
            std::mem::take(&mut server.tasks)
        };
        if health == Health::Dead {
            tasks.iter().for_each(JoinHandle::abort);
            self.table.borrow_mut().servers[number].holds = 0;
        }
    }

    /// The whole list as a node might have kept it.
    pub fn list(&self) -> String {
        self.since(0, true, Duration::ZERO).expect("a whole list").json()
    }

    /// What a watch that has heard of a version is told now, if anything: what changed at least so long ago.
    pub fn since(&self, version: u64, whole: bool, lag: Duration) -> Option<List> {
        let table = self.table.borrow();
        let due = |r: &&Server| r.changed.elapsed() >= lag;
        let newest = table.servers.iter().filter(due).map(|r| r.version).max().unwrap_or(1);
        let tells = |r: &Server| if whole { r.status != Status::Removed } else { r.version > version };
        let all = table.servers.iter().enumerate().filter(|(_, r)| due(r) && tells(r));
        let (named, entries): (Vec<_>, Vec<_>) =
            all.map(|(at, r)| ((at, r.status == Status::Ready), r.entry())).unzip();
        (whole || newest > version).then_some(List { version: newest, whole, named, entries })
    }

    /// Whether a cold server holds more than it may, and for how long.
    fn look(&self) {
        let mut table = self.table.borrow_mut();
        for server in &mut table.servers {
            let bears = FALL_MULTIPLE * server.warmth() * self.world.figures.room;
            if server.warmth() >= 1.0 {
                continue;
            }
            let over = server.holds as f64 / bears;
            let since = match over > 1.0 {
                true => Some(*server.over_since.get_or_insert_with(Instant::now)),
                false => server.over_since.take().and(None),
            };
            let pushed = since.is_some_and(|since| since.elapsed() >= TIP_AFTER);
            self.world.books.borrow_mut().cold(&server.name, over, pushed);
        }
    }

    async fn serve(self, number: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let mut line = String::new();
        if !read.read_line(&mut line).await.is_ok_and(|count| count > 0) {
            return;
        }
        let id = line.split(' ').nth(1).unwrap_or("").to_string();
        let (health, cold, full) = {
            let server = &self.table.borrow().servers[number];
            (server.health, server.warmth() < 1.0, server.holds as f64 >= self.world.figures.room)
        };
        self.world.books.borrow_mut().attempt(&id, number, cold, health == Health::Dead);
        // However this ends, the attempt is over then.
        let over = Over { servers: &self, number, id: &id, held: Cell::new(false) };
        match health {
            Health::Dead => {
                let _ = rustix::net::sockopt::set_socket_linger(
                    write.as_ref() as &TcpStream,
                    Some(Duration::ZERO),
                );
                return;
            }
            Health::Hung => {
                while read.read_line(&mut line).await.is_ok_and(|count| count > 0) {}
                return;
            }
            Health::Sound if full => return drop(write.write_all(b"BUSY\r\n").await),
            Health::Sound => {}
        }
        over.hold();
        self.world.books.borrow_mut().set_up();
        let answer = tokio::select! {
            stood = self.ledger.call() => if stood { format!("UP r{number}\r\n") } else { "ERR\r\n".to_string() },
            // The node gave it up.
            _ = read.read_line(&mut line) => return,
        };
        if write.write_all(answer.as_bytes()).await.is_err() || answer.starts_with("ERR") {
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

/// The end of an attempt, on whichever way it comes.
struct Over<'a> {
    servers: &'a Servers,
    number: usize,
    id: &'a str,
    held: Cell<bool>,
}

impl Over<'_> {
    fn hold(&self) {
        self.held.set(true);
        self.servers.table.borrow_mut().servers[self.number].holds += 1;
        let (most, counted) = self.servers.most.get();
        self.servers.most.set((most.max(self.servers.open()), counted + 1));
    }
}

impl Drop for Over<'_> {
    fn drop(&mut self) {
        if self.held.get() {
            let holds = &mut self.servers.table.borrow_mut().servers[self.number].holds;
            *holds = holds.saturating_sub(1);
        }
        self.servers.world.books.borrow_mut().attempt_over(self.id, self.number);
    }
}

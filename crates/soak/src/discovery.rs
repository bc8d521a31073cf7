//! Simulated discovery. Each node has two addresses of its own here, so that it is known which of them was notified of what.

use crate::server::Servers;
use sparbank_test_support::invariants::{InvariantChecker, ServerNotice};
use sparbank_test_support::loopback::reset_on_drop;
use sparbank_test_support::watch_protocol::{
    chunk, endpoint_json, list_json, read_watch_request, REJECTION, WATCH_RESPONSE_HEAD,
};
use sparbank_test_support::ListKind;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// While nothing changes, an empty line this often shows that a watch is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How much of a list is written at a time in [`Mode::Pieces`].
const PIECE_BYTES: usize = 7;
/// Nodes count as notified of a change so long after discovery had it and could be reached.
const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// What discovery does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves watches.
    Serves,
    /// It resets every connection.
    Down,
    /// It answers 503.
    Rejects,
    /// It serves watches a few bytes at a time.
    Pieces,
}

/// What the list says of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ServerEntry {
    is_ready: bool,
    /// The generation of its last change.
    generation: u64,
}

struct State {
    mode: Cell<Mode>,
    generation: Cell<u64>,
    /// By server.
    entries: RefCell<Vec<ServerEntry>>,
    /// Watches opened before this one are silent.
    silent_before: Cell<u64>,
    /// Watches opened before this one are reset.
    reset_before: Cell<u64>,
    last_watch: Cell<u64>,
    /// Since when discovery can be reached without a pause.
    reachable_since: Cell<Instant>,
}

/// Discovery, for all nodes.
#[derive(Clone)]
pub struct Discovery {
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Servers,
    state: Rc<State>,
    /// By node, the address in use and the other one.
    addresses: Rc<RefCell<Vec<[SocketAddr; 2]>>>,
}

impl Discovery {
    /// Starts discovery for so many nodes.
    pub async fn start(
        checker: &Rc<RefCell<InvariantChecker>>,
        servers: &Servers,
        nodes: usize,
    ) -> Discovery {
        let state = State {
            mode: Cell::new(Mode::Serves),
            generation: Cell::new(1),
            entries: RefCell::new(vec![ServerEntry { is_ready: true, generation: 1 }; servers.len()]),
            silent_before: Cell::new(0),
            reset_before: Cell::new(0),
            last_watch: Cell::new(0),
            reachable_since: Cell::new(Instant::now()),
        };
        let discovery = Discovery {
            checker: checker.clone(),
            servers: servers.clone(),
            state: Rc::new(state),
            addresses: Rc::default(),
        };
        for node in 0..nodes {
            let own = [discovery.listen(node).await, discovery.listen(node).await];
            discovery.addresses.borrow_mut().push(own);
        }
        discovery
    }

    async fn listen(&self, node: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().serve(node, stream));
            }
        });
        address
    }

    /// Where a node finds discovery now.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses.borrow()[node][0]
    }

    /// Discovery is at its other addresses from now on.
    pub fn move_addresses(&self) {
        self.addresses.borrow_mut().iter_mut().for_each(|own| own.swap(0, 1));
    }

    /// Discovery behaves like this from now on.
    pub fn set_mode(&self, mode: Mode) {
        let was_reachable = matches!(self.state.mode.get(), Mode::Serves | Mode::Pieces);
        self.state.mode.set(mode);
        if !was_reachable {
            self.state.reachable_since.set(Instant::now());
        }
    }

    /// Open watches fall silent.
    pub fn silence_watches(&self) {
        self.state.silent_before.set(self.state.last_watch.get() + 1);
        self.state.reachable_since.set(Instant::now());
    }

    /// Open watches are reset.
    pub fn reset_watches(&self) {
        self.state.reset_before.set(self.state.last_watch.get() + 1);
    }

    /// A server drains, or takes new requests again.
    pub fn set_ready(&self, server: usize, is_ready: bool) {
        let generation = self.state.generation.get() + 1;
        self.state.generation.set(generation);
        self.state.entries.borrow_mut()[server] = ServerEntry { is_ready, generation };
        if !is_ready {
            spawn_local(self.clone().count_as_notified(server, generation));
        }
    }

    /// All nodes count as notified of a drain once discovery could be reached for long enough, whether the change arrived or not.
    async fn count_as_notified(self, server: usize, generation: u64) {
        let changed_at = Instant::now();
        loop {
            let is_reachable = matches!(self.state.mode.get(), Mode::Serves | Mode::Pieces);
            let notified_at = changed_at.max(self.state.reachable_since.get()) + NOTIFIED_WITHIN;
            if is_reachable && Instant::now() >= notified_at {
                break;
            }
            sleep_until((Instant::now() + CHECK_INTERVAL).max(notified_at)).await;
        }
        if self.state.entries.borrow()[server] != (ServerEntry { is_ready: false, generation }) {
            return;
        }
        let mut checker = self.checker.borrow_mut();
        for node in 0..self.addresses.borrow().len() {
            let incarnation = checker.incarnation(node);
            checker.on_notified(node, incarnation, server, ServerNotice::Stop);
        }
    }

    /// The complete list as it is now.
    pub fn complete_list(&self) -> String {
        self.list_since(0, ListKind::Complete)
    }

    fn list_since(&self, generation: u64, kind: ListKind) -> String {
        let entries = self.state.entries.borrow();
        let is_named = |entry: &ServerEntry| kind == ListKind::Complete || entry.generation > generation;
        let named = entries.iter().enumerate().filter(|(_, entry)| is_named(entry));
        let document = |(server, entry): (usize, &ServerEntry)| {
            let lifecycle = if entry.is_ready { "ready" } else { "draining" };
            endpoint_json(server, self.servers.address(server), lifecycle, 0)
        };
        let documents: Vec<String> = named.map(document).collect();
        list_json(self.state.generation.get(), kind, &documents.join(","))
    }

    async fn serve(self, node: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let incarnation = self.checker.borrow().incarnation(node);
        let mut stream = BufReader::new(stream);
        let Some(from) = read_watch_request(&mut stream).await else { return };
        let mut stream = stream.into_inner();
        match self.state.mode.get() {
            Mode::Down => reset_on_drop(&stream),
            Mode::Rejects => {
                let _ = stream.write_all(REJECTION.as_bytes()).await;
            }
            Mode::Serves | Mode::Pieces => self.serve_watch(node, incarnation, from, stream).await,
        }
    }

    async fn serve_watch(&self, node: usize, incarnation: u64, from: u64, mut stream: TcpStream) {
        let watch = self.state.last_watch.get() + 1;
        self.state.last_watch.set(watch);
        if stream.write_all(WATCH_RESPONSE_HEAD.as_bytes()).await.is_err() {
            return;
        }
        let mut sent = from;
        let mut last_write = Instant::now() - HEARTBEAT_INTERVAL;
        loop {
            let is_reset = watch < self.state.reset_before.get() || self.state.mode.get() == Mode::Down;
            if is_reset {
                return reset_on_drop(&stream);
            }
            if matches!(stream.try_read(&mut [0; 16]), Ok(0)) {
                return;
            }
            let is_silent = watch < self.state.silent_before.get();
            let generation = self.state.generation.get();
            let is_heartbeat_due = last_write.elapsed() >= HEARTBEAT_INTERVAL;
            if is_silent || (generation == sent && !is_heartbeat_due) {
                sleep(CHECK_INTERVAL).await;
                continue;
            }
            let entries = self.state.entries.borrow().clone();
            let kind = if sent == 0 { ListKind::Complete } else { ListKind::Incremental };
            let line = if generation == sent { String::new() } else { self.list_since(sent, kind) };
            if self.write_chunk(&mut stream, &line).await.is_err() {
                return;
            }
            let mut checker = self.checker.borrow_mut();
            for (server, entry) in entries.iter().enumerate() {
                if entry.generation > sent && entry.generation <= generation {
                    let notice = if entry.is_ready { ServerNotice::Ready } else { ServerNotice::Stop };
                    checker.on_notified(node, incarnation, server, notice);
                }
            }
            sent = generation;
            last_write = Instant::now();
        }
    }

    async fn write_chunk(&self, stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
        let chunk = chunk(line);
        if self.state.mode.get() != Mode::Pieces {
            return stream.write_all(chunk.as_bytes()).await;
        }
        for piece in chunk.as_bytes().chunks(PIECE_BYTES) {
            stream.write_all(piece).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }
}

//! Simulated discovery. Each node has two listen addresses of its own, by which a watch is attributed to its node.

use crate::server::Servers;
use sparbank_test_support::invariants::{InvariantChecker, ServerNotice};
use sparbank_test_support::loopback::{has_peer_closed, reset_on_drop, AddressBlock};
use sparbank_test_support::watch_protocol::{
    chunk, endpoint_json, list_json, read_watch_request, REJECTION_RESPONSE, WATCH_RESPONSE_HEAD,
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

/// How often an empty line is sent on a watch while the list does not change.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of each write in [`Mode::Fragmented`].
const FRAGMENT_BYTES: usize = 7;
/// A node is assumed to have received a change once discovery has had it, and was reachable, for this long.
const ASSUMED_NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// How discovery responds to watch requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Discovery serves watches normally.
    Serves,
    /// Discovery resets every connection.
    Down,
    /// Discovery rejects requests with status 503.
    Rejects,
    /// Discovery serves watches, and writes `FRAGMENT_BYTES` at a time.
    Fragmented,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ServerEntry {
    is_ready: bool,
    /// The generation of the list in which the entry last changed.
    generation: u64,
}

struct State {
    mode: Cell<Mode>,
    generation: Cell<u64>,
    /// The state of each server in the endpoint list, indexed by server number.
    entries: RefCell<Vec<ServerEntry>>,
    /// Watches with a lower number send nothing more.
    silent_before: Cell<u64>,
    /// Watches with a lower number are reset.
    reset_before: Cell<u64>,
    /// Number of the watch that was opened last.
    last_watch: Cell<u64>,
    /// The start of the current period in which discovery is reachable.
    reachable_since: Cell<Instant>,
}

/// The simulated discovery of all nodes.
#[derive(Clone)]
pub struct Discovery {
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Servers,
    state: Rc<State>,
    /// Indexed by node: the address in use, and the spare one.
    addresses: Rc<RefCell<Vec<[SocketAddr; 2]>>>,
}

impl Discovery {
    /// Starts discovery for `nodes` nodes.
    pub async fn start(
        checker: &Rc<RefCell<InvariantChecker>>,
        servers: &Servers,
        addresses: &AddressBlock,
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
            let peer_address = addresses.peer_address();
            let node_addresses =
                [discovery.listen(peer_address, node).await, discovery.listen(peer_address, node).await];
            discovery.addresses.borrow_mut().push(node_addresses);
        }
        discovery
    }

    /// Serves one node on a new address.
    async fn listen(&self, address: SocketAddr, node: usize) -> SocketAddr {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("the address of a bound socket");
        let discovery = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().serve(node, stream));
            }
        });
        address
    }

    /// The address of discovery in the configuration of a node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses.borrow()[node][0]
    }

    /// Switches every node to its spare address of discovery. The nodes learn of it by a reload.
    pub fn swap_addresses(&self) {
        self.addresses.borrow_mut().iter_mut().for_each(|node_addresses| node_addresses.swap(0, 1));
    }

    /// Changes how discovery responds.
    pub fn set_mode(&self, mode: Mode) {
        let was_reachable = matches!(self.state.mode.get(), Mode::Serves | Mode::Fragmented);
        self.state.mode.set(mode);
        if !was_reachable {
            self.state.reachable_since.set(Instant::now());
        }
    }

    /// Sends nothing more on the open watches, and keeps their connections.
    pub fn silence_watches(&self) {
        self.state.silent_before.set(self.state.last_watch.get() + 1);
        self.state.reachable_since.set(Instant::now());
    }

    /// Resets the open watches.
    pub fn reset_watches(&self) {
        self.state.reset_before.set(self.state.last_watch.get() + 1);
    }

    /// Lists a server as ready or as draining.
    pub fn set_ready(&self, server: usize, is_ready: bool) {
        let generation = self.state.generation.get() + 1;
        self.state.generation.set(generation);
        self.state.entries.borrow_mut()[server] = ServerEntry { is_ready, generation };
        if !is_ready {
            spawn_local(self.clone().assume_notified(server, generation));
        }
    }

    /// Records all nodes as notified of a drain once discovery has been reachable for long enough, even if no watch has
    /// delivered the change.
    async fn assume_notified(self, server: usize, generation: u64) {
        let changed_at = Instant::now();
        loop {
            let is_reachable = matches!(self.state.mode.get(), Mode::Serves | Mode::Fragmented);
            let notified_at = changed_at.max(self.state.reachable_since.get()) + ASSUMED_NOTIFIED_AFTER;
            if is_reachable && Instant::now() >= notified_at {
                break;
            }
            sleep_until((Instant::now() + POLL_INTERVAL).max(notified_at)).await;
        }
        if self.state.entries.borrow()[server] != (ServerEntry { is_ready: false, generation }) {
            return;
        }
        let mut checker = self.checker.borrow_mut();
        for node in 0..self.addresses.borrow().len() {
            let incarnation = checker.incarnation(node);
            checker.on_notified(node, incarnation, server, ServerNotice::Unavailable);
        }
    }

    /// The current list of all servers.
    pub fn complete_list(&self) -> String {
        self.list_since(0, ListKind::Complete)
    }

    /// The current list: all servers, or those that changed after `generation`.
    fn list_since(&self, generation: u64, kind: ListKind) -> String {
        let entries = self.state.entries.borrow();
        let is_included = |entry: &ServerEntry| kind == ListKind::Complete || entry.generation > generation;
        let included = entries.iter().enumerate().filter(|(_, entry)| is_included(entry));
        let document = |(server, entry): (usize, &ServerEntry)| {
            let lifecycle = if entry.is_ready { "ready" } else { "draining" };
            endpoint_json(server, self.servers.address(server), lifecycle, 0)
        };
        let documents: Vec<String> = included.map(document).collect();
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
                let _ = stream.write_all(REJECTION_RESPONSE.as_bytes()).await;
            }
            Mode::Serves | Mode::Fragmented => self.serve_watch(node, incarnation, from, stream).await,
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
            // A node that has closed its watch must not be recorded as notified.
            if has_peer_closed(&stream) {
                return;
            }
            let is_silent = watch < self.state.silent_before.get();
            let generation = self.state.generation.get();
            let is_heartbeat_due = last_write.elapsed() >= HEARTBEAT_INTERVAL;
            if is_silent || (generation == sent && !is_heartbeat_due) {
                sleep(POLL_INTERVAL).await;
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
                    let notice = if entry.is_ready { ServerNotice::Ready } else { ServerNotice::Unavailable };
                    checker.on_notified(node, incarnation, server, notice);
                }
            }
            sent = generation;
            last_write = Instant::now();
        }
    }

    async fn write_chunk(&self, stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
        let chunk = chunk(line);
        if self.state.mode.get() != Mode::Fragmented {
            return stream.write_all(chunk.as_bytes()).await;
        }
        for fragment in chunk.as_bytes().chunks(FRAGMENT_BYTES) {
            stream.write_all(fragment).await?;
            tokio::task::yield_now().await;
        }
        Ok(())
    }
}

//! Simulated discovery: the platform's endpoint list over HTTP/1.1, one poll at a time for all nodes together.
//!
//! Each node has an address of its own here, so the auditor knows which node was notified of what, and when.

use super::servers::Servers;
use super::Shared;
use crate::loopback::reset_on_drop;
use crate::watch_protocol::{chunk, read_watch_request, REJECTION, WATCH_RESPONSE_HEAD};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

/// How discovery behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryMode {
    /// It answers polls and serves watches.
    Healthy,
    /// Polls are reset, and watches end.
    Unreachable,
    /// It answers polls at a quarter of its rate, and half of those that it rejects it delays first.
    Overloaded,
    /// Complete lists are those from before the last changes, under their old generation.
    Stale,
}

/// A change reaches watches this long after it.
const CHANGE_DELAY: Duration = Duration::from_millis(400);
/// A poll that waits longer than this is rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// An overloaded discovery delays a rejection by this.
const LATE_REJECTION: Duration = Duration::from_millis(1_500);
/// While nothing changes, an empty line this often shows that the watch is alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// How often a watch checks for changes.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

struct PollQueue {
    mode: Cell<DiscoveryMode>,
    waiting: Cell<usize>,
    /// When the last poll in the queue will have been answered.
    busy_until: Cell<Instant>,
    rng: RefCell<Pcg64Mcg>,
}

/// Discovery, for all nodes.
pub struct Discovery {
    addresses: Vec<SocketAddr>,
    queue: Rc<PollQueue>,
}

impl Discovery {
    /// Starts discovery for all nodes of a run.
    pub async fn start(shared: &Shared, servers: &Servers, seed: u64) -> Discovery {
        let queue = Rc::new(PollQueue {
            mode: Cell::new(DiscoveryMode::Healthy),
            waiting: Cell::new(0),
            busy_until: Cell::new(Instant::now()),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
        });
        let mut addresses = Vec::new();
        for node in 0..shared.config.nodes {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            let service =
                NodeService { shared: shared.clone(), servers: servers.clone(), queue: queue.clone(), node };
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(service.clone().serve(stream));
                }
            });
        }
        Discovery { addresses, queue }
    }

    /// Where a node finds discovery.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// Discovery behaves like this from now on.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.queue.mode.set(mode);
    }
}

/// What a watch has been sent so far.
struct WatchProgress {
    /// The incarnation of the node's process that opened the watch.
    incarnation: u64,
    sent_generation: u64,
    needs_complete_list: bool,
    last_write: Instant,
}

/// Discovery as one node sees it.
#[derive(Clone)]
struct NodeService {
    shared: Shared,
    servers: Servers,
    queue: Rc<PollQueue>,
    node: usize,
}

impl NodeService {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        let Some(generation) = read_watch_request(&mut stream).await else { return };
        self.shared.auditor.borrow_mut().on_poll();
        if !self.is_admitted().await {
            let _ = stream.get_mut().write_all(REJECTION.as_bytes()).await;
            return;
        }
        if self.queue.mode.get() == DiscoveryMode::Unreachable {
            return reset_on_drop(stream.get_ref());
        }
        self.serve_watch(stream.into_inner(), generation).await;
    }

    /// Waits until the poll is at the head of the queue; false where it is rejected.
    async fn is_admitted(&self) -> bool {
        let queue = &self.queue;
        let config = &self.shared.config;
        let is_overloaded = queue.mode.get() == DiscoveryMode::Overloaded;
        let slowdown = if is_overloaded { 4.0 } else { 1.0 };
        let time_per_poll = Duration::from_secs_f64(slowdown / config.discovery_polls_per_second);
        if queue.waiting.get() >= config.discovery_queue_length {
            if is_overloaded && queue.rng.borrow_mut().random_bool(0.5) {
                sleep(LATE_REJECTION).await;
            }
            return false;
        }
        queue.waiting.set(queue.waiting.get() + 1);
        let answered_at = queue.busy_until.get().max(Instant::now()) + time_per_poll;
        let is_in_time = answered_at <= Instant::now() + QUEUE_TIMEOUT;
        if is_in_time {
            queue.busy_until.set(answered_at);
        }
        sleep_until(answered_at.min(Instant::now() + QUEUE_TIMEOUT)).await;
        queue.waiting.set(queue.waiting.get() - 1);
        is_in_time
    }

    async fn serve_watch(&self, mut stream: TcpStream, from_generation: u64) {
        let incarnation = self.shared.auditor.borrow().incarnation(self.node);
        if stream.write_all(WATCH_RESPONSE_HEAD.as_bytes()).await.is_err() {
            return;
        }
        let mut progress = WatchProgress {
            incarnation,
            sent_generation: from_generation,
            needs_complete_list: from_generation == 0,
            last_write: Instant::now() - HEARTBEAT_INTERVAL,
        };
        loop {
            if self.queue.mode.get() == DiscoveryMode::Unreachable {
                return reset_on_drop(&stream);
            }
            // A node that has closed its connection is not notified of anything.
            if matches!(stream.try_read(&mut [0; 16]), Ok(0)) {
                return;
            }
            let Some(line) = self.next_line(&mut progress) else {
                sleep(CHANGE_CHECK_INTERVAL).await;
                continue;
            };
            progress.last_write = Instant::now();
            if stream.write_all(chunk(&line).as_bytes()).await.is_err() {
                return;
            }
        }
    }
    /// What a watch is sent now, if anything: a list, or an empty line as a heartbeat.
    fn next_line(&self, progress: &mut WatchProgress) -> Option<String> {
        let is_stale = self.queue.mode.get() == DiscoveryMode::Stale;
        let list = if is_stale {
            self.servers.saved_list()
        } else {
            self.servers.changes_since(progress.sent_generation, progress.needs_complete_list, CHANGE_DELAY)
        };
        let is_heartbeat_due = progress.last_write.elapsed() >= HEARTBEAT_INTERVAL;
        let is_list_due = !is_stale || progress.needs_complete_list || is_heartbeat_due;
        let Some(list) = list.filter(|_| is_list_due) else {
            return is_heartbeat_due.then(String::new);
        };
        progress.sent_generation = list.generation;
        progress.needs_complete_list = false;
        // A stale list changes nothing: it notifies nobody.
        if !is_stale {
            self.shared.auditor.borrow_mut().on_list_sent(self.node, progress.incarnation, &list);
        }
        Some(list.json())
    }
}

//! Simulated discovery: serves the platform's endpoint list over HTTP/1.1. One queue holds the polls of all nodes.
//!
//! Each node gets its own discovery address, so that the auditor can record which node was notified of what, and when.

use super::servers::Servers;
use super::Shared;
use crate::loopback::{has_peer_closed, reset_on_drop};
use crate::watch_protocol::{chunk, read_watch_request, REJECTION_RESPONSE, WATCH_RESPONSE_HEAD};
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

/// The behaviour of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryMode {
    /// Discovery answers polls and serves watches.
    Healthy,
    /// Polls are reset, and watches end.
    Unreachable,
    /// Discovery answers polls at a quarter of its rate, and delays half of the rejections when its queue is full.
    Overloaded,
    /// Discovery serves the saved complete list, under its old generation, instead of the current one.
    Stale,
}

/// Delay until a change is sent to watches.
const CHANGE_DELAY: Duration = Duration::from_millis(400);
/// Polls that would wait longer than this are rejected.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of a rejection when discovery is overloaded.
const REJECTION_DELAY: Duration = Duration::from_millis(1_500);
/// Interval between heartbeats (empty lines) on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which a watch checks for changes.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The state that the services of all nodes share: the behaviour of discovery and the queue of polls.
struct PollQueue {
    mode: Cell<DiscoveryMode>,
    /// Number of polls that wait in the queue.
    waiting: Cell<usize>,
    /// When the last poll in the queue will have been answered.
    busy_until: Cell<Instant>,
    rng: RefCell<Pcg64Mcg>,
}

/// Discovery, shared by all nodes.
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
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
            addresses.push(listener.local_addr().expect("failed to read a socket address"));
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

    /// The address of discovery for this node.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// Sets the behaviour of discovery.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.queue.mode.set(mode);
    }
}

/// The progress of a watch: what has been sent on it so far.
struct WatchProgress {
    /// Incarnation of the node's process that opened the watch.
    incarnation: u64,
    sent_generation: u64,
    needs_complete_list: bool,
    last_write: Instant,
}

/// The discovery service for one node.
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
        if !self.wait_for_admission().await {
            let _ = stream.get_mut().write_all(REJECTION_RESPONSE.as_bytes()).await;
            return;
        }
        if self.queue.mode.get() == DiscoveryMode::Unreachable {
            return reset_on_drop(stream.get_ref());
        }
        self.serve_watch(stream.into_inner(), generation).await;
    }

    /// Waits in the queue until discovery can answer the poll; returns false if the poll is rejected.
    async fn wait_for_admission(&self) -> bool {
        let queue = &self.queue;
        let config = &self.shared.config;
        let is_overloaded = queue.mode.get() == DiscoveryMode::Overloaded;
        let slowdown = if is_overloaded { 4.0 } else { 1.0 };
        let time_per_poll = Duration::from_secs_f64(slowdown / config.discovery_polls_per_second);
        if queue.waiting.get() >= config.discovery_queue_length {
            if is_overloaded && queue.rng.borrow_mut().random_bool(0.5) {
                sleep(REJECTION_DELAY).await;
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
            // A node that has closed its watch must not be recorded as notified.
            if has_peer_closed(&stream) {
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

    /// Returns the line that is due on a watch now, if any: a list, or an empty line as a heartbeat.
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
        // A stale list brings no change, so it does not count as a notification.
        if !is_stale {
            self.shared.auditor.borrow_mut().on_list_sent(self.node, progress.incarnation, &list);
        }
        Some(list.json())
    }
}

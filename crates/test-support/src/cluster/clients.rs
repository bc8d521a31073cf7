//! Simulated clients, each of which keeps requesting an established connection, and the load balancer that distributes
//! them over the nodes.

use super::auditor::Outcome;
use super::Shared;
use crate::invariants::Answer;
use crate::loopback::answers_ping;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// The deadline that a client gives its request, in milliseconds.
pub const REQUEST_TIMEOUT_MS: u64 = 1_200;
/// A request without an answer this long after its deadline counts as lost: the rules allow half a second, and the
/// rest is a margin for slow cores.
const LOST_AFTER_MS: u64 = 1_500;
/// How long a client waits for an answer, late ones included.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(REQUEST_TIMEOUT_MS + LOST_AFTER_MS);
/// Number of requests in a row, including the first one, after which a client no longer marks its next request as a
/// retry (`r=1`).
const MAX_ATTEMPTS: u32 = 4;
/// Interval between the lines that a client sends on its established connection.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// The clients start at random times within this time.
const START_SPREAD_MS: u64 = 4_000;
/// Interval between the load balancer's health checks of a node that is down.
const DOWN_CHECK_INTERVAL_MS: u64 = 100;
/// Minimum and maximum lifetime of a connection, in milliseconds.
const MIN_CONNECTION_MS: f64 = 500.0;
const MAX_CONNECTION_MS: f64 = 300_000.0;

/// A node as a target of the load balancer.
struct Target {
    address: SocketAddr,
    is_up: Cell<bool>,
}

/// Starts all clients of a run and the load balancer's health checks. They run until the runtime is dropped.
pub fn start_clients(shared: &Shared, addresses: Vec<SocketAddr>, seed: u64) {
    let target = |address| Target { address, is_up: Cell::new(false) };
    let targets: Rc<Vec<Target>> = Rc::new(addresses.into_iter().map(target).collect());
    for node in 0..targets.len() {
        spawn_local(check_health(shared.clone(), targets.clone(), node));
    }
    for number in 0..shared.config.clients {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let client = Client {
            shared: shared.clone(),
            targets: targets.clone(),
            number,
            rng,
            request_count: 0,
            is_reconnect: false,
            retries: 0,
        };
        spawn_local(client.run());
    }
}

/// Checks the health of a node periodically. The load balancer uses the node once it has answered a check, and keeps
/// using a dead one until the next check fails.
async fn check_health(shared: Shared, targets: Rc<Vec<Target>>, node: usize) {
    loop {
        let target = &targets[node];
        target.is_up.set(answers_ping(target.address).await);
        let interval_ms =
            if target.is_up.get() { shared.config.node_check_interval_ms } else { DOWN_CHECK_INTERVAL_MS };
        sleep(Duration::from_millis(interval_ms)).await;
    }
}

/// How a request, or its established connection, ended.
enum RequestEnd {
    /// No node was up, or the connection failed before an answer.
    NotAccepted,
    /// The connection was established, and the client closed it.
    Closed,
    /// The connection was established, and then migrated or reset.
    Interrupted,
    /// The final answer was not `UP`, or none arrived in time. Holds the Retry-After in milliseconds, if the answer
    /// has one.
    Rejected(Option<u64>),
}

struct Client {
    shared: Shared,
    targets: Rc<Vec<Target>>,
    number: usize,
    rng: Pcg64Mcg,
    request_count: u64,
    /// Whether the last connection was interrupted.
    is_reconnect: bool,
    /// Number of rejections in a row.
    retries: u32,
}

impl Client {
    async fn run(mut self) {
        sleep(Duration::from_millis(self.rng.random_range(0..START_SPREAD_MS))).await;
        loop {
            let end = self.request().await;
            let default_delay_ms = self.rng.random_range(23..180);
            let delay_ms = match end {
                RequestEnd::Closed => {
                    self.is_reconnect = false;
                    self.retries = 0;
                    self.rng.random_range(0..100)
                }
                RequestEnd::Interrupted => {
                    self.is_reconnect = true;
                    self.retries = 0;
                    self.rng.random_range(self.shared.config.reconnect_delay_ms.clone())
                }
                RequestEnd::NotAccepted => default_delay_ms,
                RequestEnd::Rejected(retry_after_ms) => {
                    self.retries = (self.retries + 1) % MAX_ATTEMPTS;
                    // Half of the rejections with a Retry-After are followed by a retry after that delay.
                    retry_after_ms.filter(|_| self.rng.random_bool(0.5)).unwrap_or(default_delay_ms)
                }
            };
            sleep(Duration::from_millis(delay_ms)).await;
        }
    }

    /// Sends a request to a random node that is up.
    async fn request(&mut self) -> RequestEnd {
        self.request_count += 1;
        let up: Vec<usize> = (0..self.targets.len()).filter(|node| self.targets[*node].is_up.get()).collect();
        if up.is_empty() {
            return RequestEnd::NotAccepted;
        }
        let node = up[self.rng.random_range(0..up.len())];
        let id = format!("{:x}", ((self.number as u64) << 32) | self.request_count);
        let line = format!(
            "OPEN {id} {:x} c=live-readings,t=acme,d={REQUEST_TIMEOUT_MS},g={:x}{}{}\r\n",
            self.number,
            self.number / 4,
            if self.is_reconnect { ",again=1" } else { "" },
            if self.retries > 0 { ",r=1" } else { "" },
        );
        self.open_connection(node, &id, &line).await
    }

    async fn open_connection(&mut self, node: usize, id: &str, line: &str) -> RequestEnd {
        let Ok(stream) = TcpStream::connect(self.targets[node].address).await else {
            return RequestEnd::NotAccepted;
        };
        let _ = stream.set_nodelay(true);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        self.shared.auditor.borrow_mut().on_request(id, node, line);
        let sent_at = Instant::now();
        let is_sent = write.write_all(line.as_bytes()).await.is_ok();
        let mut text = String::new();
        let outcome =
            if is_sent { read_answer(&mut read, &mut text).await } else { Outcome::ConnectionEnded };
        self.shared.auditor.borrow_mut().on_outcome(id, outcome, sent_at.elapsed());
        match outcome {
            Outcome::Answered(Answer::Up) => self.use_connection(node, read, write).await,
            Outcome::Answered(Answer::Busy) => {
                RequestEnd::Rejected(text.trim().split(' ').nth(1).and_then(|ms| ms.parse().ok()))
            }
            Outcome::ConnectionEnded => RequestEnd::NotAccepted,
            Outcome::Answered(Answer::Failed) | Outcome::TimedOut => RequestEnd::Rejected(None),
        }
    }

    /// Sends lines at [`LINE_INTERVAL`] until the connection's lifetime is over or it is interrupted.
    async fn use_connection(
        &mut self,
        node: usize,
        mut read: BufReader<OwnedReadHalf>,
        mut write: OwnedWriteHalf,
    ) -> RequestEnd {
        let established = EstablishedGuard::new(&self.shared, node);
        let mean_ms = self.shared.config.mean_connection_ms as f64;
        let lifetime_ms = -(1.0 - self.rng.random::<f64>()).ln() * mean_ms;
        let lifetime_ms = lifetime_ms.clamp(MIN_CONNECTION_MS, MAX_CONNECTION_MS) as u64;
        let end = Instant::now() + Duration::from_millis(lifetime_ms);
        let mut next_line_at = Instant::now() + LINE_INTERVAL;
        let mut text = String::new();
        loop {
            text.clear();
            match timeout_at(next_line_at.min(end), read.read_line(&mut text)).await {
                Err(_) if Instant::now() >= end => {
                    drop(established);
                    return RequestEnd::Closed;
                }
                Err(_) => {
                    next_line_at = Instant::now() + LINE_INTERVAL;
                    if write.write_all(b"M 1\r\n").await.is_err() {
                        return RequestEnd::Interrupted;
                    }
                }
                Ok(Ok(count)) if count > 0 && !text.starts_with("MOVE") => {}
                Ok(_) => return RequestEnd::Interrupted,
            }
        }
    }
}

/// Waits for the final answer to a request. The auditor decides whether a connection may end without one.
async fn read_answer(read: &mut BufReader<OwnedReadHalf>, text: &mut String) -> Outcome {
    match timeout(ANSWER_TIMEOUT, read.read_line(text)).await {
        Err(_) => Outcome::TimedOut,
        Ok(Ok(count)) if count > 0 => match text.trim().split(' ').next() {
            Some("UP") => Outcome::Answered(Answer::Up),
            Some("BUSY") => Outcome::Answered(Answer::Busy),
            _ => Outcome::Answered(Answer::Failed),
        },
        Ok(_) => Outcome::ConnectionEnded,
    }
}

/// Counts an established connection until it is dropped.
struct EstablishedGuard {
    shared: Shared,
    node: usize,
}

impl EstablishedGuard {
    fn new(shared: &Shared, node: usize) -> EstablishedGuard {
        shared.auditor.borrow_mut().on_connection_established(node);
        EstablishedGuard { shared: shared.clone(), node }
    }
}

impl Drop for EstablishedGuard {
    fn drop(&mut self) {
        self.shared.auditor.borrow_mut().on_connection_closed(self.node);
    }
}

//! The processes of the program under test: their starts, signals, limits and exits.

use crate::connection_burst::burst_of_connections;
use crate::discovery::Discovery;
use crate::request::{class_name, DEADLINE, DEDUP_WINDOW, MAX_ATTEMPTS};
use crate::Options;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sparbank_test_support::invariants::{InvariantChecker, RetrySafety, Rule};
use sparbank_test_support::loopback::{answers_ping, AddressBlock};
use sparbank_test_support::{child_command, configure_node, ChildProcess, Signal};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// `limits.sockets` of each node.
const DESCRIPTORS: u64 = 256;
/// The hard limit on the descriptors of a process.
const DESCRIPTOR_HARD_LIMIT: u64 = 4_096;
/// The soft limit during a shortage: below what a node holds, so that it gets no new descriptor.
const EXHAUSTED_DESCRIPTORS: u64 = 4;
/// By how much the soft limit exceeds [`DESCRIPTORS`] after a shortage.
const SPARE_DESCRIPTORS: u64 = 64;
/// A node answers a health check within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long after the end of a shortage a client may still receive what the node has sent in it.
const SHORTAGE_NOTICED_WITHIN: Duration = Duration::from_millis(500);
/// The port of each node, at an address of its own.
const NODE_PORT: u16 = 8080;
/// After this time the shell that starts a node has set its trap, and SIGHUP no longer ends it.
pub(crate) const SHELL_START_TIME: Duration = Duration::from_millis(20);
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Texts of log lines by which a node reports a broken invariant or a panic.
const FAILURE_MARKERS: [&str; 2] = ["invariant violated", "panicked"];

pub(crate) struct Node {
    address: SocketAddr,
    child: RefCell<Option<ChildProcess>>,
    /// Whether clients connect to it.
    pub(crate) is_accepting: Cell<bool>,
    /// A restart is in progress, or the process has exited unexpectedly and is not replaced.
    pub(crate) is_restarting: Cell<bool>,
    /// Number of processes started so far.
    starts: Cell<u64>,
    pub(crate) started_at: Cell<Instant>,
    /// Total length of the stalls of this process that extend its time limits.
    excused_stall: Cell<Duration>,
    /// Up to here a shortage of descriptors at the node may be noticed by its clients.
    short_until: Cell<Instant>,
}

/// All nodes of a run.
#[derive(Clone)]
pub struct Nodes {
    options: Rc<Options>,
    pub(crate) checker: Rc<RefCell<InvariantChecker>>,
    discovery: Discovery,
    pub(crate) nodes: Rc<Vec<Node>>,
    seed: u64,
}

impl Nodes {
    /// Creates the nodes of a run, without starting them.
    pub fn new(
        options: &Options,
        checker: &Rc<RefCell<InvariantChecker>>,
        discovery: &Discovery,
        addresses: &AddressBlock,
        seed: u64,
    ) -> Nodes {
        let node = |number| Node {
            address: addresses.node_address(number, NODE_PORT),
            child: RefCell::new(None),
            is_accepting: Cell::new(false),
            is_restarting: Cell::new(false),
            starts: Cell::new(0),
            started_at: Cell::new(Instant::now()),
            excused_stall: Cell::new(Duration::ZERO),
            short_until: Cell::new(Instant::now()),
        };
        let nodes = (0..options.nodes).map(node).collect();
        Nodes {
            options: Rc::new(options.clone()),
            checker: checker.clone(),
            discovery: discovery.clone(),
            nodes: Rc::new(nodes),
            seed,
        }
    }

    /// The number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the run has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The address that a node listens on.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].address
    }

    /// By how much stalls of the current process extend its time limits.
    pub fn excused_stall(&self, node: usize) -> Duration {
        self.nodes[node].excused_stall.get()
    }

    /// A random node among those that clients connect to.
    pub fn draw_accepting(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        let accepting: Vec<usize> =
            (0..self.len()).filter(|node| self.nodes[*node].is_accepting.get()).collect();
        (!accepting.is_empty()).then(|| accepting[rng.random_range(0..accepting.len())])
    }

    /// Path of a file of a node, unique among the seeds of this process and among processes that share the folder.
    fn file(&self, node: usize, name: &str) -> PathBuf {
        let process = std::process::id();
        self.options.folder.join(format!("seed{}-p{process}-n{node}-{name}", self.seed))
    }

    /// Starts a process of a node. Clients connect to it once it has answered a health check.
    ///
    /// # Panics
    /// If the program cannot be started or its files cannot be written.
    pub async fn start(&self, number: usize) {
        let node = &self.nodes[number];
        node.starts.set(node.starts.get() + 1);
        node.excused_stall.set(Duration::ZERO);
        self.checker.borrow_mut().on_start(number);
        self.write_config(number);
        let log = File::create(self.file(number, &format!("{}.log", node.starts.get())))
            .expect("a writable log file");
        // Ignores SIGHUP, as `deploy/balancer.toml` does: the signal must not end the program before its handlers are installed.
        let mut command = child_command("sh");
        command.args(["-c", "trap '' HUP; exec \"$0\" serve --trace"]).arg(&self.options.program);
        configure_node(&mut command, &self.file(number, "config.json"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        *node.child.borrow_mut() = Some(ChildProcess::spawn(command));
        let started_at = Instant::now();
        node.started_at.set(started_at);
        while !answers_ping(node.address).await {
            if started_at.elapsed() > READY_TIMEOUT {
                return self.checker.borrow_mut().report(
                    Rule::Ready,
                    format!("node {number} did not answer a health check within {READY_TIMEOUT:?}"),
                );
            }
            sleep(POLL_INTERVAL).await;
        }
        node.is_accepting.set(true);
    }

    /// Writes a node's configuration, with the current address and list of discovery.
    pub(crate) fn write_config(&self, number: usize) {
        let class = |safety: RetrySafety, effect: &str| {
            let name = class_name(safety);
            format!(
                r#"{{"Effect":"{effect}","DedupScope":"all","WindowNs":{},"HardLimitNs":{},"Name":"{name}","ObjectiveNs":300000000,"Worth":2.0}}"#,
                DEDUP_WINDOW.as_nanos(),
                DEADLINE.as_nanos()
            )
        };
        let classes = [
            class(RetrySafety::Idempotent, "read_like"),
            class(RetrySafety::Keyed, "idempotency_key"),
            class(RetrySafety::NonIdempotent, "non_idempotent"),
        ];
        let config = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{:x}","limits":{{"sockets":{DESCRIPTORS}}},"known":{},
            "settings":{{"Profiles":[{}],"Discovery":"ask","Zones":["a"],"Instances":{},
            "Limits":{{"MaxAttempts":{MAX_ATTEMPTS},"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":250000000}},
            "Rules":{{"AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":10000000000,"FallMultiple":3.0,"TipAfterNs":2000000000,"StopSendingWithinNs":250000000}}}}}}"#,
            self.nodes[number].address,
            self.discovery.address(number),
            self.seed * 1_000 + number as u64 * 10 + self.nodes[number].starts.get(),
            self.discovery.complete_list(),
            classes.join(","),
            self.len(),
        );
        std::fs::write(self.file(number, "config.json"), config).expect("a writable configuration file");
    }

    pub(crate) fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &*self.nodes[number].child.borrow() {
            let _ = child.signal(signal);
        }
    }

    /// Ends a node with SIGKILL and starts it again.
    pub async fn kill_and_restart(&self, number: usize) {
        let node = &self.nodes[number];
        if node.is_restarting.replace(true) {
            return;
        }
        node.is_accepting.set(false);
        self.kill(number);
        self.start(number).await;
        node.is_restarting.set(false);
    }

    /// Ends a node's process with SIGKILL.
    pub(crate) fn kill(&self, number: usize) {
        self.checker.borrow_mut().on_kill(number);
        if let Some(mut child) = self.nodes[number].child.borrow_mut().take() {
            child.kill();
        }
    }

    /// Whether a node's process has exited. Reports an exit status other than success.
    pub(crate) fn has_exited(&self, number: usize) -> bool {
        let mut child = self.nodes[number].child.borrow_mut();
        let Some(status) = child.as_mut().and_then(ChildProcess::try_wait) else {
            return child.is_none();
        };
        *child = None;
        if !status.success() {
            self.checker.borrow_mut().report(Rule::Crash, format!("node {number} exited with {status}"));
        }
        true
    }

    /// Reports nodes that have exited without having been signalled.
    pub fn check_running(&self) {
        for number in 0..self.len() {
            if !self.nodes[number].is_restarting.get() && self.has_exited(number) {
                self.checker
                    .borrow_mut()
                    .report(Rule::Crash, format!("node {number} exited without a signal"));
                self.nodes[number].is_restarting.set(true);
                self.nodes[number].is_accepting.set(false);
            }
        }
    }

    /// Pauses a node with SIGSTOP. Its time limits are extended unless `must_meet_limits`.
    pub async fn pause_for(&self, number: usize, duration: Duration, must_meet_limits: bool) {
        if !must_meet_limits {
            let node = &self.nodes[number];
            node.excused_stall.set(node.excused_stall.get() + duration);
            self.checker.borrow_mut().on_stall(number, duration);
        }
        self.signal(number, Signal::STOP);
        sleep(duration).await;
        self.signal(number, Signal::CONT);
    }

    /// Lowers the soft limit on the descriptors of a node for some time, so that it gets no new ones.
    pub async fn exhaust_descriptors(&self, number: usize, duration: Duration) {
        self.record_shortage(number, duration);
        self.limit_descriptors(number, EXHAUSTED_DESCRIPTORS);
        sleep(duration).await;
        self.limit_descriptors(number, DESCRIPTORS + SPARE_DESCRIPTORS);
    }

    /// Idle clients use up the descriptors of a node for some time.
    pub async fn fill_with_idle_connections(&self, number: usize, duration: Duration) {
        self.record_shortage(number, duration);
        burst_of_connections(self.address(number), duration).await;
    }

    fn record_shortage(&self, number: usize, duration: Duration) {
        let short_until = &self.nodes[number].short_until;
        short_until.set(short_until.get().max(Instant::now() + duration + SHORTAGE_NOTICED_WITHIN));
    }

    /// Whether a node is, or was just now, short of descriptors.
    pub fn is_short_of_descriptors(&self, number: usize) -> bool {
        Instant::now() < self.nodes[number].short_until.get()
    }

    fn limit_descriptors(&self, number: usize, limit: u64) {
        if let Some(child) = &*self.nodes[number].child.borrow() {
            let _ = child.limit_descriptors(limit, DESCRIPTOR_HARD_LIMIT);
        }
    }

    /// Ends all nodes, and reports the broken invariants and panics in their logs.
    pub fn finish(&self) {
        for number in 0..self.len() {
            drop(self.nodes[number].child.borrow_mut().take());
            for start in 1..=self.nodes[number].starts.get() {
                let log =
                    std::fs::read_to_string(self.file(number, &format!("{start}.log"))).unwrap_or_default();
                let failures =
                    log.lines().filter(|line| FAILURE_MARKERS.iter().any(|marker| line.contains(marker)));
                for line in failures {
                    self.checker
                        .borrow_mut()
                        .report(Rule::OwnReport, format!("node {number} start {start}: {line}"));
                }
            }
        }
    }

    /// Removes the configurations and logs of the nodes.
    pub fn remove_files(&self) {
        for number in 0..self.len() {
            let _ = std::fs::remove_file(self.file(number, "config.json"));
            for start in 1..=self.nodes[number].starts.get() {
                let _ = std::fs::remove_file(self.file(number, &format!("{start}.log")));
            }
        }
    }
}

//! The processes under test: started, signalled, and checked for how they end.

use crate::discovery::Discovery;
use crate::request::{class_name, DEADLINE, DEDUP_WINDOW};
use crate::Options;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sparbank_test_support::invariants::{InvariantChecker, RetrySafety, Rule};
use sparbank_test_support::loopback::{answers_ping, AddressBlock, AddressRange};
use sparbank_test_support::{configure_node, ChildProcess, Signal};
use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Descriptors that a node may hold.
const DESCRIPTORS: u64 = 256;
/// The limit on descriptors above which it is not raised.
const MAX_DESCRIPTORS: u64 = 4_096;
/// Descriptors of a node that gets no new one, and what it gets beyond [`DESCRIPTORS`] otherwise.
const STARVED_DESCRIPTORS: u64 = 4;
const SPARE_DESCRIPTORS: u64 = 64;
/// A node is ready within this.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// SIGKILL follows SIGTERM after the longest deadline and this.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Clients keep coming for this long after SIGTERM.
const ARRIVALS_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Where nodes listen.
const NODE_PORT: u16 = 8080;
/// The shell that starts a node has its trap within this.
const SHELL_TIME: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Log lines that say that a node broke a rule.
const BROKEN_RULE_MARKS: [&str; 2] = ["invariant violated", "panicked"];

struct Node {
    address: SocketAddr,
    child: RefCell<Option<ChildProcess>>,
    is_accepting: Cell<bool>,
    /// A restart is under way.
    is_restarting: Cell<bool>,
    starts: Cell<u64>,
    started_at: Cell<Instant>,
    stalled: Cell<Duration>,
}

/// All nodes of a run.
#[derive(Clone)]
pub struct Nodes {
    options: Rc<Options>,
    checker: Rc<RefCell<InvariantChecker>>,
    discovery: Discovery,
    nodes: Rc<Vec<Node>>,
    seed: u64,
}

impl Nodes {
    /// The nodes of a run, none of them started.
    pub fn new(
        options: &Options,
        checker: &Rc<RefCell<InvariantChecker>>,
        discovery: &Discovery,
        seed: u64,
    ) -> Nodes {
        let addresses = AddressBlock::of_new_run(AddressRange::Soak);
        let node = |number| Node {
            address: addresses.of_node(number, NODE_PORT),
            child: RefCell::new(None),
            is_accepting: Cell::new(false),
            is_restarting: Cell::new(false),
            starts: Cell::new(0),
            started_at: Cell::new(Instant::now()),
            stalled: Cell::new(Duration::ZERO),
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

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Where a node listens.
    pub fn address(&self, node: usize) -> SocketAddr {
        self.nodes[node].address
    }

    /// For how long a node has been stopped beyond what the rules allow for.
    pub fn stalled(&self, node: usize) -> Duration {
        self.nodes[node].stalled.get()
    }

    /// Draws one of the nodes that clients are sent to.
    pub fn draw_accepting(&self, rng: &mut Pcg64Mcg) -> Option<usize> {
        let accepting: Vec<usize> =
            (0..self.len()).filter(|node| self.nodes[*node].is_accepting.get()).collect();
        (!accepting.is_empty()).then(|| accepting[rng.random_range(0..accepting.len())])
    }

    fn file(&self, node: usize, name: &str) -> PathBuf {
        self.options.folder.join(format!("seed{}-n{node}-{name}", self.seed))
    }

    /// Starts a process of a node; clients come once it has answered.
    ///
    /// # Panics
    /// The program cannot be started, or its files cannot be written.
    pub async fn start(&self, number: usize) {
        let node = &self.nodes[number];
        node.starts.set(node.starts.get() + 1);
        node.stalled.set(Duration::ZERO);
        self.checker.borrow_mut().on_start(number);
        self.write_config(number);
        let log = File::create(self.file(number, &format!("{}.log", node.starts.get()))).expect("a log");
        // As the deploy file has it: a SIGHUP before the program has its handlers must not end it.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' HUP; exec \"$0\" serve --trace"]).arg(&self.options.program);
        configure_node(&mut command, &self.file(number, "config.json"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        *node.child.borrow_mut() = Some(ChildProcess::spawn(&mut command));
        let started_at = Instant::now();
        node.started_at.set(started_at);
        while !answers_ping(node.address).await {
            if started_at.elapsed() > READY_TIMEOUT {
                return self.checker.borrow_mut().report(Rule::Ready, format!("node {number} is not ready"));
            }
            sleep(POLL_INTERVAL).await;
        }
        node.is_accepting.set(true);
    }

    /// Writes a node's configuration as it is now.
    fn write_config(&self, number: usize) {
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
            "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":250000000}},
            "Rules":{{"AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":10000000000,"FallMultiple":3.0,"TipAfterNs":2000000000,"StopSendingWithinNs":250000000}}}}}}"#,
            self.nodes[number].address,
            self.discovery.address(number),
            self.seed * 1_000 + number as u64 * 10 + self.nodes[number].starts.get(),
            self.discovery.complete_list(),
            classes.join(","),
            self.len(),
        );
        std::fs::write(self.file(number, "config.json"), config).expect("a configuration");
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &*self.nodes[number].child.borrow() {
            let _ = child.signal(signal);
        }
    }

    /// Ends a node with SIGTERM and starts it again; arrivals go on for a while.
    pub async fn terminate_and_restart(&self, number: usize) {
        let node = &self.nodes[number];
        if node.is_restarting.replace(true) {
            return;
        }
        self.signal(number, Signal::TERM);
        let sent_at = std::time::Instant::now();
        sleep(ARRIVALS_AFTER_SIGTERM).await;
        node.is_accepting.set(false);
        let mut is_late = false;
        while !self.has_exited(number) {
            let stalled = self.checker.borrow().stalled_since(number, sent_at);
            let limit = DEADLINE + KILL_DELAY + stalled + self.checker.borrow().lateness();
            if sent_at.elapsed() > limit && !std::mem::replace(&mut is_late, true) {
                self.checker.borrow_mut().report(Rule::Exit, format!("node {number} runs on after SIGTERM"));
                self.signal(number, Signal::KILL);
            }
            sleep(POLL_INTERVAL).await;
        }
        self.start(number).await;
        node.is_restarting.set(false);
    }

    /// Kills a node and starts it again.
    pub async fn kill_and_restart(&self, number: usize) {
        let node = &self.nodes[number];
        if node.is_restarting.replace(true) {
            return;
        }
        self.checker.borrow_mut().on_kill(number);
        self.signal(number, Signal::KILL);
        node.is_accepting.set(false);
        if let Some(mut child) = node.child.borrow_mut().take() {
            let _ = child.wait();
        }
        self.start(number).await;
        node.is_restarting.set(false);
    }

    /// Whether a node's process has ended by itself. Its exit has to be in order.
    fn has_exited(&self, number: usize) -> bool {
        let mut child = self.nodes[number].child.borrow_mut();
        let Some(status) = child.as_mut().and_then(ChildProcess::try_wait) else {
            return child.is_none();
        };
        *child = None;
        if !status.success() {
            self.checker.borrow_mut().report(Rule::Crash, format!("node {number} ended with {status}"));
        }
        true
    }

    /// Reports a node that has ended without a signal.
    pub fn check_running(&self) {
        for number in 0..self.len() {
            if !self.nodes[number].is_restarting.get() && self.has_exited(number) {
                self.checker.borrow_mut().report(Rule::Crash, format!("node {number} is gone"));
                self.nodes[number].is_restarting.set(true);
                self.nodes[number].is_accepting.set(false);
            }
        }
    }

    /// Stops a node for a while. `is_allowed_for`: the rules hold all the same.
    pub async fn stop_for(&self, number: usize, span: Duration, is_allowed_for: bool) {
        if !is_allowed_for {
            let node = &self.nodes[number];
            node.stalled.set(node.stalled.get() + span);
            self.checker.borrow_mut().on_stall(number, span);
        }
        self.signal(number, Signal::STOP);
        sleep(span).await;
        self.signal(number, Signal::CONT);
    }

    /// The nodes read their configuration again.
    pub fn reload(&self) {
        for number in 0..self.len() {
            self.write_config(number);
            // Before the shell has its trap a signal meets no program of ours; the start reads the configuration anyway.
            if self.nodes[number].started_at.get().elapsed() > SHELL_TIME {
                self.signal(number, Signal::HUP);
            }
        }
    }

    /// A node gets no new descriptor for a while.
    pub async fn starve_of_descriptors(&self, number: usize, span: Duration) {
        self.limit_descriptors(number, STARVED_DESCRIPTORS);
        sleep(span).await;
        self.limit_descriptors(number, DESCRIPTORS + SPARE_DESCRIPTORS);
    }

    fn limit_descriptors(&self, number: usize, limit: u64) {
        if let Some(child) = &*self.nodes[number].child.borrow() {
            let _ = child.limit_descriptors(limit, MAX_DESCRIPTORS);
        }
    }

    /// Ends all nodes, and reports what their logs say of broken rules.
    pub fn finish(&self) {
        for number in 0..self.len() {
            drop(self.nodes[number].child.borrow_mut().take());
            for start in 1..=self.nodes[number].starts.get() {
                let log =
                    std::fs::read_to_string(self.file(number, &format!("{start}.log"))).unwrap_or_default();
                let broken =
                    log.lines().filter(|line| BROKEN_RULE_MARKS.iter().any(|mark| line.contains(mark)));
                for line in broken {
                    self.checker
                        .borrow_mut()
                        .report(Rule::OwnReport, format!("node {number} start {start}: {line}"));
                }
            }
        }
    }

    /// Removes the files of a run.
    pub fn remove_files(&self) {
        for number in 0..self.len() {
            let _ = std::fs::remove_file(self.file(number, "config.json"));
            for start in 1..=self.nodes[number].starts.get() {
                let _ = std::fs::remove_file(self.file(number, &format!("{start}.log")));
            }
        }
    }
}

//! A multi-process test harness: several processes of the program under test on loopback, and simulated peers
//! (discovery, servers, the session ledger and clients), which all run in one thread and draw random numbers from one
//! seed.
//!
//! A run is checked against the peers' own clocks and records ([`auditor::Auditor`]), never against the nodes' logs.
//! The script of a test injects the faults. The same seed gives the same script, the same servers and clients, and the
//! same random draws of every peer. `FLEET_SEEDS=1,2,3` and `FLEET_NODES=24` override the seeds and the number of
//! nodes of a test.

pub mod auditor;
pub mod clients;
pub mod config;
pub mod discovery;
pub mod endpoint_list;
pub mod ledger;
pub mod links;
pub mod nodes;
pub mod servers;
pub mod summary;

use crate::loopback::{AddressBlock, AddressRange};
use auditor::{Auditor, Summary};
use clients::start_clients;
pub use config::{ClusterConfig, ConnectionQuota};
use discovery::{Discovery, DiscoveryMode};
use ledger::Ledger;
use links::{Link, LinkMode};
use nodes::Nodes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use servers::Servers;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Interval at which the auditor takes samples and measures the lateness of this thread.
const AUDIT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which a script checks a condition that it waits for.
const WAIT_INTERVAL_MS: u64 = 20;
/// Time within which a cluster must be in service.
const START_TIMEOUT_SECS: u64 = 40;
/// How long a cluster is in service before its script begins.
const WARM_UP_SECS: u64 = 3;
/// Port of each node's listener for clients.
const NODE_PORT: u16 = 8080;

/// State that all simulated peers share.
#[derive(Clone)]
pub struct Shared {
    /// The auditor, to which the peers report events.
    pub auditor: Rc<RefCell<Auditor>>,
    /// The configuration of the cluster.
    pub config: Rc<ClusterConfig>,
}

/// A running cluster: nodes, and the simulated peers that they connect to.
pub struct Cluster {
    /// State that all simulated peers share.
    pub shared: Shared,
    /// The nodes under test.
    pub nodes: Nodes,
    /// Discovery, shared by all nodes.
    pub discovery: Discovery,
    /// The servers.
    pub servers: Servers,
    /// Random number generator of the script.
    pub rng: Pcg64Mcg,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Links from clients to nodes, by node.
    pub client_links: Vec<Link>,
    /// Links from nodes to discovery, by node.
    pub discovery_links: Vec<Link>,
    /// The addresses of the nodes, which no other run gets while the cluster exists.
    _addresses: AddressBlock,
}

impl Cluster {
    /// Starts all nodes and clients, and waits until the cluster is in service.
    pub async fn start(seed: u64, config: ClusterConfig, program: &str) -> Cluster {
        let addresses = AddressBlock::allocate(AddressRange::Cluster);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let auditor = Rc::new(RefCell::new(Auditor::new(config.nodes)));
        let shared = Shared { auditor, config: Rc::new(config) };
        spawn_audit_task(&shared);
        let ledger = Ledger::new(shared.config.ledger_setups_per_second);
        let servers = Servers::start(&shared, &ledger, shared.config.servers).await;
        let discovery = Discovery::start(&shared, &servers, rng.random()).await;
        let mut client_links = Vec::new();
        let mut discovery_links = Vec::new();
        for node in 0..shared.config.nodes {
            client_links.push(Link::open(addresses.node_address(node, NODE_PORT)).await);
            discovery_links.push(Link::open(discovery.address(node)).await);
        }
        let discovery_addresses = discovery_links.iter().map(|link| link.address).collect();
        let nodes = Nodes::new(&shared, &addresses, discovery_addresses, program, seed);
        for node in 0..shared.config.nodes {
            nodes.start(node, &servers.complete_list_json());
        }
        let node_addresses = client_links.iter().map(|link| link.address).collect();
        start_clients(&shared, node_addresses, rng.random());
        let mut cluster = Cluster {
            shared,
            nodes,
            discovery,
            servers,
            rng,
            seed,
            client_links,
            discovery_links,
            _addresses: addresses,
        };
        cluster.wait_until_in_service().await;
        cluster
    }

    async fn wait_until_in_service(&mut self) {
        let config = &self.shared.config;
        let max_established = config.quota.map_or(usize::MAX, |quota| quota.total * 90 / 95);
        let required = config.clients.min(max_established) * 95 / 100;
        let is_in_service = |cluster: &mut Cluster| cluster.shared.auditor.borrow().established() >= required;
        self.wait_until("the cluster is in service", START_TIMEOUT_SECS, is_in_service).await;
        self.run_for_secs(WARM_UP_SECS).await;
    }

    /// Lets the cluster run for this many seconds.
    pub async fn run_for_secs(&mut self, seconds: u64) {
        self.run_for_millis(1_000 * seconds).await;
    }

    /// Lets the cluster run for this many milliseconds.
    pub async fn run_for_millis(&mut self, millis: u64) {
        sleep_until(Instant::now() + Duration::from_millis(millis)).await;
    }

    /// Waits for a condition, and fails the test if it is not reached in time.
    pub async fn wait_until(
        &mut self,
        what: &str,
        timeout_secs: u64,
        mut is_reached: impl FnMut(&mut Cluster) -> bool,
    ) {
        let end = Instant::now() + Duration::from_secs(timeout_secs);
        while !is_reached(self) {
            if Instant::now() > end {
                self.fail(&format!("condition not reached within {timeout_secs} s: {what}"));
            }
            self.run_for_millis(WAIT_INTERVAL_MS).await;
        }
    }

    /// Draws this fraction of the nodes at random, but at least one, in ascending order.
    pub fn draw_nodes(&mut self, fraction: f64) -> Vec<usize> {
        let mut drawn: Vec<usize> = (0..self.shared.config.nodes).collect();
        for last in (1..drawn.len()).rev() {
            drawn.swap(last, self.rng.random_range(0..=last));
        }
        drawn.truncate((fraction * drawn.len() as f64).round().max(1.0) as usize);
        drawn.sort_unstable();
        drawn
    }

    /// Kills nodes at the same time.
    pub fn kill(&mut self, nodes: &[usize]) {
        for node in nodes {
            self.nodes.kill(*node);
        }
        self.record_fault(&format!("killed {}", nodes.len()));
    }

    /// Restarts nodes under their names, with an endpoint list that they might have saved.
    pub fn restart(&mut self, nodes: &[usize], saved_list: &str) {
        for node in nodes {
            self.nodes.start(*node, saved_list);
        }
        self.record_fault(&format!("started {}", nodes.len()));
    }

    /// Sets the behaviour of discovery.
    pub fn set_discovery(&mut self, mode: DiscoveryMode) {
        self.record_fault(&format!("discovery {mode:?}"));
        self.discovery.set_mode(mode);
    }

    /// Sets the behaviour of the link from clients to a node.
    pub fn set_client_link(&mut self, node: usize, mode: LinkMode) {
        self.record_fault(&format!("client link of node {node} {mode:?}"));
        self.client_links[node].set_mode(mode);
    }

    /// Records a fault with the auditor, which measures recovery from it.
    pub fn record_fault(&mut self, what: &str) {
        self.shared.auditor.borrow_mut().record_fault(what);
    }

    /// Ends the run and returns its summary. A violated invariant fails the test; the panic message names the seed.
    pub async fn finish(mut self) -> Summary {
        let summary = self.shared.auditor.borrow_mut().summarize(&self.shared.config);
        if !summary.violations.is_empty() {
            let violations: Vec<String> = summary.violations.iter().map(ToString::to_string).collect();
            self.fail(&violations.join("; "));
        }
        self.nodes.kill_all();
        summary
    }

    /// Ends a run that is a measurement: violations don't fail it, but are left to the caller.
    pub fn finish_measurement(self) -> Summary {
        let summary = self.shared.auditor.borrow_mut().summarize(&self.shared.config);
        self.nodes.kill_all();
        summary
    }

    fn fail(&mut self, what: &str) -> ! {
        self.nodes.kill_all();
        let timeline = self.shared.auditor.borrow().timeline();
        panic!("{timeline}\nseed {} with {} nodes: {what}", self.seed, self.shared.config.nodes)
    }
}

/// Spawns the task that calls [`Auditor::tick`].
fn spawn_audit_task(shared: &Shared) {
    let auditor = shared.auditor.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(AUDIT_INTERVAL).await;
            auditor.borrow_mut().tick(AUDIT_INTERVAL);
        }
    });
}

/// Seeds and size of the runs of a test.
pub struct TestPlan {
    /// Seeds of the runs.
    pub seeds: Vec<u64>,
    /// Number of nodes in each run.
    pub nodes: usize,
}

impl TestPlan {
    /// Takes the plan from `FLEET_SEEDS` and `FLEET_NODES`, or these defaults of the test.
    pub fn from_env_or(seeds: &[u64], nodes: usize) -> TestPlan {
        let variable = |name: &str| std::env::var(name).ok();
        let seeds = variable("FLEET_SEEDS").map_or(seeds.to_vec(), |text| {
            text.split(',')
                .map(|seed| seed.trim().parse().expect("FLEET_SEEDS must be a list of numbers such as 1,2,3"))
                .collect()
        });
        let nodes = variable("FLEET_NODES")
            .map_or(nodes, |text| text.trim().parse().expect("FLEET_NODES must be a number such as 24"));
        TestPlan { seeds, nodes }
    }
}

/// Runs a script to completion on the current thread.
pub fn block_on<F: std::future::Future>(script: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("failed to create the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, script)
}

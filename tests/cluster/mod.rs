//! A rig of many processes: nodes of the built program on loopback, and round them stand-ins for discovery,
//! servers, the session ledger and clients, all in one thread and from one seed.
//!
//! What a run says is judged from the stand-ins' own clocks and books ([`auditor::Books`]), never from what a
//! node logs. A script names the faults; the same seed gives the same script, the same population and the same
//! draws of every stand-in. `FLEET_SEEDS=1,2,3` and `FLEET_NODES=24` set what a test plays.
#![allow(dead_code)]

pub mod auditor;
pub mod clients;
pub mod discovery;
pub mod links;
pub mod nodes;
pub mod servers;

use auditor::{Books, Summary};
use clients::Clients;
use discovery::{Discovery, Manner};
use links::{Link, Way};
use nodes::Nodes;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use servers::{Ledger, Servers};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How often the books look at their own clock.
const BEAT: Duration = Duration::from_millis(10);

/// The stand-ins' figures. Times are milliseconds; a server's room is in standing connections.
#[derive(Clone, Debug)]
pub struct Figures {
    pub nodes: usize,
    pub servers: usize,
    /// Clients that want to stand, all the time.
    pub clients: usize,
    /// Set-ups a second that the session ledger bears; more wait in its queue.
    pub ledger: f64,
    /// A warm server's room.
    pub room: f64,
    /// Mean life of a connection.
    pub life: u64,
    /// A client whose connection broke comes again within this time.
    pub rejoin: (u64, u64),
    /// The front that deals clients out notices a dead node this late.
    pub notice: u64,
    /// Calls a second that discovery answers; it queues so many more, and turns the rest away.
    pub calls: f64,
    pub call_queue: usize,
    /// The fleet-wide quota of connections, if the nodes have one.
    pub quota: Option<ConnectionQuota>,
}

/// A quota of the established connections of all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionQuota {
    pub total: usize,
    pub lease_ms: u64,
    pub clear_ms: u64,
}

impl Figures {
    /// Figures that grow with the number of nodes, so that each of them has the same to do.
    pub fn of(nodes: usize) -> Figures {
        let clients = 8 * nodes;
        Figures {
            nodes,
            servers: (nodes / 2).max(6),
            clients,
            // Eight times the usual rate, as the platform's ledger has it.
            ledger: 8.0 * clients as f64 / 30.0,
            room: 4.0 * clients as f64 / (nodes / 2).max(6) as f64,
            life: 30_000,
            rejoin: (66, 860),
            notice: 1_500,
            calls: (nodes as f64 / 6.0).max(4.0),
            call_queue: 8,
            quota: None,
        }
    }

    /// The settings that a node is told, as the platform writes them: the shares are what the clients use.
    fn settings(&self) -> String {
        let (open, rate) = (self.clients as f64, self.clients as f64 / (self.life as f64 / 1e3));
        format!(
            r#"{{"Profiles":[{{"Effect":"read_like","HardLimitNs":1200000000,"Name":"live-readings","ObjectiveNs":300000000,"Worth":2.0}}],
            "Discovery":"ask","Zones":["a"],"Instances":{},"Parties":[{{"Name":"acme","QuotaPerS":{rate:.1},"Share":1.0}}],
            "FamilyInfo":{{"MessageAimNs":[100000000],"TenantQuotaConnections":[{open:.1}],"Groups":true}},
            "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":250000000}},
            "Rules":{{"AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":{},"FallMultiple":{:.1},"TipAfterNs":{},"StopSendingWithinNs":250000000}}}}"#,
            self.nodes,
            servers::WARM_AFTER.as_nanos(),
            servers::FALL_MULTIPLE,
            servers::TIP_AFTER.as_nanos(),
        )
    }
}

/// What all stand-ins share.
#[derive(Clone)]
pub struct World {
    pub books: Rc<RefCell<Books>>,
    pub figures: Rc<Figures>,
}

/// One fleet under way.
pub struct Rig {
    pub world: World,
    pub nodes: Nodes,
    pub discovery: Discovery,
    pub servers: Servers,
    pub rng: Pcg64Mcg,
    pub seed: u64,
    clients: Clients,
    /// The links from clients to nodes, and from nodes to discovery, by node.
    pub fronts: Vec<Link>,
    pub calls: Vec<Link>,
}

/// Addresses of this run's own, in 127.0.0.0/8: by process and by run, so that tests don't meet.
pub struct Addresses {
    base: u32,
}

impl Addresses {
    fn new() -> Addresses {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let own = std::process::id().wrapping_mul(37).wrapping_add(run.wrapping_mul(11)) % 16_000;
        Addresses { base: 0x7f10_0000 + own * 256 }
    }

    /// The address of something: a kind's place and its number.
    pub fn at(&self, number: usize, port: u16) -> SocketAddr {
        SocketAddr::from((std::net::Ipv4Addr::from(self.base + 1 + number as u32), port))
    }
}

impl Rig {
    /// Starts a fleet with all nodes up, all clients on their way, and waits until it is in service.
    pub async fn start(seed: u64, figures: Figures, program: &str) -> Rig {
        let addresses = Addresses::new();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let world =
            World { books: Rc::new(RefCell::new(Books::new(figures.nodes))), figures: Rc::new(figures) };
        let count = world.figures.nodes;
        let books = world.books.clone();
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(BEAT).await;
                books.borrow_mut().beat(BEAT);
            }
        });
        let ledger = Ledger::new(&world);
        let servers = Servers::start(&world, &ledger, world.figures.servers).await;
        let discovery = Discovery::start(&world, &servers, rng.random()).await;
        let (mut fronts, mut calls) = (Vec::new(), Vec::new());
        for node in 0..count {
            fronts.push(Link::open(addresses.at(node, 8080)).await);
            calls.push(Link::open(discovery.address(node)).await);
        }
        let nodes = Nodes::new(&world, &addresses, calls.iter().map(|c| c.address).collect(), program, seed);
        for node in 0..count {
            nodes.start(node, &servers.list());
        }
        let doors = fronts.iter().map(|f| f.address).collect();
        let clients = Clients::start(&world, doors, rng.random()).await;
        let mut rig = Rig { world, nodes, discovery, servers, rng, seed, clients, fronts, calls };
        let bears = rig.world.figures.quota.map_or(usize::MAX, |quota| quota.total * 90 / 95);
        let wanted = rig.world.figures.clients.min(bears) * 95 / 100;
        rig.until("the fleet is in service", 40, |rig| rig.world.books.borrow().standing() >= wanted).await;
        rig.seconds(3).await;
        rig
    }

    /// Goes on for so many seconds.
    pub async fn seconds(&mut self, seconds: u64) {
        self.millis(1_000 * seconds).await;
    }

    pub async fn millis(&mut self, millis: u64) {
        sleep_until(Instant::now() + Duration::from_millis(millis)).await;
    }

    /// Waits on an event; the time-out only ends a run that has gone wrong.
    pub async fn until(&mut self, what: &str, seconds: u64, mut done: impl FnMut(&mut Rig) -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !done(self) {
            if Instant::now() > end {
                self.fail(&format!("not within {seconds} s: {what}"));
            }
            self.millis(20).await;
        }
    }

    /// So many of the nodes, drawn.
    pub fn draw(&mut self, part: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..self.world.figures.nodes).collect();
        for at in (1..all.len()).rev() {
            all.swap(at, self.rng.random_range(0..=at));
        }
        all.truncate((part * all.len() as f64).round().max(1.0) as usize);
        all.sort_unstable();
        all
    }

    /// Kills nodes in one instant.
    pub fn kill(&mut self, which: &[usize]) {
        for node in which {
            self.nodes.kill(*node);
        }
        self.world.books.borrow_mut().fault(&format!("killed {}", which.len()));
    }

    /// Starts nodes again under their names, with a list as they might have held it.
    pub fn restart(&mut self, which: &[usize], known: &str) {
        for node in which {
            self.nodes.start(*node, known);
        }
        self.world.books.borrow_mut().fault(&format!("started {}", which.len()));
    }

    /// Discovery is like this from now on.
    pub fn discovery_is(&mut self, manner: Manner) {
        self.world.books.borrow_mut().fault(&format!("discovery {manner:?}"));
        self.discovery.set(manner);
    }

    /// Something happens to the clients' way to a node.
    pub fn cut(&mut self, node: usize, way: Way) {
        self.world.books.borrow_mut().fault(&format!("front of node {node} {way:?}"));
        self.fronts[node].set(way);
    }

    /// Ends the run and gives what the books say; a broken rule ends the test with the seed.
    pub async fn end(mut self) -> Summary {
        let summary = self.world.books.borrow_mut().close(&self.world.figures);
        if !summary.broken.is_empty() {
            self.fail(&summary.broken.join("; "));
        }
        self.nodes.end();
        summary
    }

    /// The same for a measurement: what is broken is counted there, not here.
    pub fn measured(self) -> Summary {
        let summary = self.world.books.borrow_mut().close(&self.world.figures);
        self.nodes.end();
        summary
    }

    fn fail(&mut self, what: &str) -> ! {
        self.nodes.end();
        let lines = self.world.books.borrow().lines();
        panic!("{lines}\nseed {} with {} nodes: {what}", self.seed, self.world.figures.nodes)
    }
}

/// The seeds and the number of nodes that a test plays: its own, or those that the environment names.
pub fn plays(seeds: &[u64], nodes: usize) -> (Vec<u64>, usize) {
    let told = |name: &str| std::env::var(name).ok();
    let seeds = told("FLEET_SEEDS").map_or(seeds.to_vec(), |text| {
        text.split(',').map(|s| s.trim().parse().expect("FLEET_SEEDS=1,2,3")).collect()
    });
    let nodes = told("FLEET_NODES").map_or(nodes, |text| text.trim().parse().expect("FLEET_NODES=24"));
    (seeds, nodes)
}

/// The program under test.
pub fn program() -> &'static str {
    env!("CARGO_BIN_EXE_sparbank")
}

/// Plays a script on one thread.
pub fn run<F: std::future::Future>(script: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, script)
}

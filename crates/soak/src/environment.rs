//! The environment of one run: the simulated peers, the nodes, and the injection of the faults of a schedule.

use crate::client::{Client, ClientBehaviour, Habit};
use crate::discovery::{self, Discovery};
use crate::node::Nodes;
use crate::request::{LIMITS, RESTORATION_ANSWERED_WITHIN};
use crate::schedule::{Family, Fault, Schedule, ScheduledFault, SignalSeries};
use crate::server::{Mode, Servers, SessionEnd};
use crate::{Options, Report};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sparbank_test_support::invariants::InvariantChecker;
use sparbank_test_support::loopback::{AddressBlock, AddressRange};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

const SERVERS: usize = 5;
/// Number of clients for each node.
const CLIENTS_PER_NODE: usize = 8;
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// After a stall of this length a node still has to meet its time limits.
const SHORT_STALL: Duration = Duration::from_millis(150);
/// After a stall of this length the time limits of the node are extended.
const LONG_STALL: Duration = Duration::from_millis(1_000);
/// Range of the random durations, in milliseconds, of faults that are not instantaneous.
const FAULT_MS: std::ops::Range<u64> = 150..1_600;
/// Upper limit for a shortage of descriptors: shorter than the time by which an answer may be late.
const MAX_DESCRIPTOR_SHORTAGE: Duration = Duration::from_millis(400);
/// A drain that no watch announces lasts until after the nodes are assumed to have received it (6 s), as
/// `drain_server` adds 2 s.
const UNANNOUNCED_DRAIN: Duration = Duration::from_millis(5_500);
/// How long the clients go on after the last round, and how long the nodes then have to answer pending requests.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// The simulated peers and the nodes of a run.
struct TestEnvironment {
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Servers,
    discovery: Discovery,
    nodes: Nodes,
    behaviour: Rc<ClientBehaviour>,
    rng: RefCell<Pcg64Mcg>,
}

/// Runs a schedule to its end.
pub async fn run(options: &Options, schedule: &Schedule) -> Report {
    let checker = Rc::new(RefCell::new(InvariantChecker::new(options.nodes, LIMITS)));
    if schedule.family != Family::Faults {
        checker.borrow_mut().check_replaced_processes();
    }
    let ticked = checker.clone();
    spawn_local(async move {
        loop {
            sleep(TICK_INTERVAL).await;
            ticked.borrow_mut().tick(TICK_INTERVAL);
        }
    });
    let addresses = AddressBlock::allocate(AddressRange::Soak);
    let servers = Servers::start(&checker, &addresses, SERVERS).await;
    let discovery = Discovery::start(&checker, &servers, &addresses, options.nodes).await;
    let nodes = Nodes::new(options, &checker, &discovery, &addresses, schedule.seed);
    for node in 0..options.nodes {
        nodes.start(node).await;
    }
    let behaviour = Rc::new(ClientBehaviour::default());
    for number in 0..(options.nodes * CLIENTS_PER_NODE) as u64 {
        let habit = Habit::of_client(schedule.family, number);
        let client = Client::new(&checker, &nodes, &servers, &behaviour, habit, number + 1, schedule.seed);
        spawn_local(client.run());
    }
    let rng = RefCell::new(Pcg64Mcg::seed_from_u64(schedule.seed));
    let environment = Rc::new(TestEnvironment { checker, servers, discovery, nodes, behaviour, rng });
    environment.clone().inject_all(schedule).await;
    sleep(SETTLE_TIME).await;
    environment.behaviour.stopped.set(true);
    sleep(if schedule.family == Family::Restorations { RESTORATION_ANSWERED_WITHIN } else { SETTLE_TIME })
        .await;
    environment.nodes.check_running();
    environment.nodes.finish();
    let checker = environment.checker.borrow();
    if checker.violations().is_empty() {
        environment.nodes.remove_files();
    }
    Report {
        seed: schedule.seed,
        schedule: schedule.clone(),
        violations: checker.violations().to_vec(),
        requests: checker.sent_requests(),
        served: checker.served_requests(),
    }
}

impl TestEnvironment {
    /// Starts each fault at its time, and waits for the end of the schedule.
    async fn inject_all(self: Rc<TestEnvironment>, schedule: &Schedule) {
        let start = Instant::now();
        for scheduled in &schedule.faults {
            sleep_until(start + Duration::from_millis(scheduled.at_ms)).await;
            self.nodes.check_running();
            let duration = Duration::from_millis(self.rng.borrow_mut().random_range(FAULT_MS));
            spawn_local(self.clone().inject(*scheduled, duration));
        }
        sleep_until(start + Duration::from_millis(schedule.end_ms())).await;
    }

    async fn inject(self: Rc<TestEnvironment>, scheduled: ScheduledFault, duration: Duration) {
        let ScheduledFault { fault, target, .. } = scheduled;
        let signal_interval = scheduled.signal_interval();
        let node = target as usize % self.nodes.len();
        match fault {
            Fault::Terminate => {
                self.nodes.shut_down_and_restart(node, SignalSeries::Terminate, Duration::ZERO).await;
            }
            Fault::ShutDown(series) => self.nodes.shut_down_and_restart(node, series, signal_interval).await,
            Fault::HalfHeads
            | Fault::HalfBodies
            | Fault::ConnectionsLost
            | Fault::ConnectionsLostLate
            | Fault::ConnectionsLostTwice => unreachable!("{fault:?} is a fault of the AMQP family"),
            Fault::ConnectionBurst => self.nodes.fill_with_idle_connections(node, duration).await,
            Fault::Kill => self.nodes.kill_and_restart(node).await,
            Fault::ShortStall => self.nodes.pause_for(node, SHORT_STALL, true).await,
            Fault::LongStall => self.nodes.pause_for(node, LONG_STALL, false).await,
            Fault::MoveDiscovery => {
                self.discovery.swap_addresses();
                self.nodes.reload();
            }
            Fault::Reload => self.nodes.reload(),
            Fault::DescriptorShortage => {
                self.nodes.exhaust_descriptors(node, duration.min(MAX_DESCRIPTOR_SHORTAGE)).await;
            }
            Fault::Drain => self.drain_server(target, duration).await,
            Fault::SilentWatches => {
                self.discovery.silence_watches();
                // Silence has an effect only if there is a change to announce.
                self.drain_server(target, UNANNOUNCED_DRAIN).await;
            }
            Fault::ResetWatches => self.discovery.reset_watches(),
            Fault::DiscoveryDown => self.set_discovery_mode(discovery::Mode::Down, duration).await,
            Fault::DiscoveryRejects => self.set_discovery_mode(discovery::Mode::Rejects, duration).await,
            Fault::ListsFragmented => self.set_discovery_mode(discovery::Mode::Fragmented, duration).await,
            Fault::ServersHang => self.set_server_modes(target, Mode::Hangs, duration).await,
            Fault::ServersReject => self.set_server_modes(target, Mode::Rejects, duration).await,
            Fault::ServersReset => self.set_server_modes(target, Mode::Resets, duration).await,
            Fault::ServersTruncate => self.set_server_modes(target, Mode::Truncates, duration).await,
            Fault::ServersLate => self.set_server_modes(target, Mode::Late, duration).await,
            Fault::ServerRefuses => self.servers.refuse_for(target as usize % SERVERS, duration).await,
            Fault::SessionsEnd => self.end_sessions(target, SessionEnd::Orderly),
            Fault::SessionsReset => self.end_sessions(target, SessionEnd::Reset),
            Fault::SessionsBurst => self.end_sessions(target, SessionEnd::Burst),
            Fault::ClientsDisconnect => Self::activate(&self.behaviour.disconnect, duration).await,
            Fault::ClientsFlood => Self::activate(&self.behaviour.flood, duration).await,
            Fault::ClientsIdle => Self::activate(&self.behaviour.idle, duration).await,
            Fault::ClientsPartialLine => Self::activate(&self.behaviour.partial_line, duration).await,
        }
    }

    /// The servers that a fault affects: each one with a probability of one half.
    fn affected_servers(target: u64) -> impl Iterator<Item = usize> {
        (0..SERVERS).filter(move |server| (target >> server) & 1 == 1)
    }

    async fn set_server_modes(&self, target: u64, mode: Mode, duration: Duration) {
        Self::affected_servers(target).for_each(|server| self.servers.set_mode(server, mode));
        sleep(duration).await;
        Self::affected_servers(target).for_each(|server| self.servers.set_mode(server, Mode::Serves));
    }

    fn end_sessions(&self, target: u64, end: SessionEnd) {
        Self::affected_servers(target).for_each(|server| self.servers.end_sessions(server, end));
    }

    async fn drain_server(&self, target: u64, duration: Duration) {
        let server = target as usize % SERVERS;
        self.discovery.set_ready(server, false);
        // With this margin, `UNANNOUNCED_DRAIN` outlasts the time after which the nodes are assumed to have received
        // the drain.
        sleep(duration + Duration::from_secs(2)).await;
        self.discovery.set_ready(server, true);
    }

    async fn set_discovery_mode(&self, mode: discovery::Mode, duration: Duration) {
        self.discovery.set_mode(mode);
        sleep(duration).await;
        self.discovery.set_mode(discovery::Mode::Serves);
    }

    /// Activates a client fault for some time.
    async fn activate(behaviour: &Cell<bool>, duration: Duration) {
        behaviour.set(true);
        sleep(duration).await;
        behaviour.set(false);
    }
}

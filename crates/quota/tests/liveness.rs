//! Tests that leases leave little of a total unused: the utilization of a level while demand exceeds the total, and
//! the time until it recovers after nodes shut down or are killed. Both are compared with an equal static division
//! and with a shared pool, in virtual time. There are twelve nodes, messages take 5 ms, the grantor applies its log
//! every 50 ms, and connections last 1 s on average. `QUOTA_SEEDS` sets the seeds.

mod support {
    pub mod plan;
    pub mod seeds;
}

use rand::{rngs::StdRng, Rng, SeedableRng};
use sparbank_quota::{
    Grantor, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LogEntry, Quota, QuotaPlan,
    Resource,
};
use sparbank_time::MonotonicTime;
use std::time::Duration;
use support::plan::{members, quota};
use support::seeds::seeds_from_env;

const NODES: usize = 12;
/// The most connections of all nodes together.
const TOTAL: u64 = 600;
/// The only quota of the plan, a level.
const CONNECTIONS: usize = 0;

const RUN_MS: u64 = 40_000;
const EVENT_AT_MS: u64 = 20_000;
/// The time after the event at which a node that shuts down ends its remaining connections.
const SHUTDOWN_MS: u64 = 1_000;
const MESSAGE_DELAY_MS: u64 = 5;
const LOG_INTERVAL_MS: u64 = 50;
const MEAN_CONNECTION_MS: f64 = 1000.0;
/// The concurrent connections that clients demand of the fleet, as a multiple of the total.
const DEMAND: f64 = 1.5;
/// The utilization is averaged from this time until the event.
const MEASURED_FROM_MS: u64 = 10_000;
/// The utilization counts as recovered once it has been at least this high for [`RECOVERED_FOR_MS`].
const RECOVERED_UTILIZATION: f64 = 0.9;
const RECOVERED_FOR_MS: u64 = 1000;

/// How the total is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Division {
    Leases,
    /// Equal, constant shares.
    Static,
    /// One pool that all nodes share without delay, which gives the shortest recovery and the highest utilization
    /// that are possible.
    SharedPool,
}

/// The event that affects half of the nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    None,
    /// The nodes shut down and end their connections within [`SHUTDOWN_MS`].
    Shutdown,
    Kill,
}

impl Event {
    /// The time from which the recovery is measured.
    fn ends_at_ms(self) -> u64 {
        if self == Event::Shutdown {
            EVENT_AT_MS + SHUTDOWN_MS
        } else {
            EVENT_AT_MS
        }
    }

    fn affects(self, member: usize, now_ms: u64) -> bool {
        self != Event::None && now_ms >= EVENT_AT_MS && member % 2 == 1
    }
}

fn plan() -> QuotaPlan {
    let connections = quota("connections", Resource::Connections, TOTAL);
    QuotaPlan {
        members: members(NODES as u16),
        grantors: vec!["n0".into()],
        lease_ms: 3000,
        clear_ms: 0,
        drift_ppm: 1000,
        quotas: vec![Quota { floor_percent: 10, ..connections }],
    }
}

/// A message in flight.
struct InFlight<T> {
    arrives_at_ms: u64,
    message: T,
}

fn at_millisecond(now_ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(now_ms)
}

/// Removes the messages that have arrived, and returns them in the order in which they were sent.
fn take_arrived<T>(in_flight: &mut Vec<InFlight<T>>, now_ms: u64) -> Vec<T> {
    let all = std::mem::take(in_flight);
    let (arrived, remaining): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|message| message.arrives_at_ms <= now_ms);
    *in_flight = remaining;
    arrived.into_iter().map(|arrived| arrived.message).collect()
}

struct Fleet {
    rng: StdRng,
    division: Division,
    /// The demand of the first node as a multiple of the demand of each other node.
    first_node_weight: f64,
    event: Event,
    holders: Vec<LeaseHolder>,
    grantor: Grantor,
    /// The end times of the connections of each node, in milliseconds.
    connections: Vec<Vec<u64>>,
    requests: Vec<InFlight<LeaseRequest>>,
    grants: Vec<InFlight<LeaseGrant>>,
}

impl Fleet {
    fn new(seed: u64, division: Division, first_node_weight: f64, event: Event) -> Fleet {
        let plan = plan();
        let holder = |member: usize| {
            let id = HolderId { member: member as u16, incarnation: 1 };
            LeaseHolder::new(id, plan.clone(), MonotonicTime::ZERO)
        };
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            division,
            first_node_weight,
            event,
            holders: (0..NODES).map(holder).collect(),
            grantor: Grantor::new(LeaseTable::new(plan.clone()), MonotonicTime::ZERO),
            connections: vec![Vec::new(); NODES],
            requests: Vec::new(),
            grants: Vec::new(),
        }
    }

    fn established(&self) -> u64 {
        self.connections.iter().map(|connections| connections.len() as u64).sum()
    }

    /// Simulates one millisecond.
    fn step(&mut self, now_ms: u64) {
        for member in 0..NODES {
            if self.event == Event::Kill && self.event.affects(member, now_ms) {
                self.connections[member].clear();
            } else {
                self.run_node(member, now_ms);
            }
        }
        if now_ms.is_multiple_of(LOG_INTERVAL_MS) {
            self.run_grantor(now_ms);
        }
        for grant in take_arrived(&mut self.grants, now_ms) {
            self.holders[usize::from(grant.holder.member)].on_grant(at_millisecond(now_ms), &grant);
        }
    }

    fn run_node(&mut self, member: usize, now_ms: u64) {
        self.end_connections(member, now_ms);
        if self.event.affects(member, now_ms) {
            self.holders[member].shut_down();
        } else {
            for _ in 0..self.draw_arrivals(member, now_ms) {
                self.connect(member, now_ms);
            }
        }
        let now = at_millisecond(now_ms);
        let holder = &mut self.holders[member];
        if self.division == Division::Leases && holder.next_request_at() <= now {
            let message = holder.create_request(now);
            self.requests.push(InFlight { arrives_at_ms: now_ms + MESSAGE_DELAY_MS, message });
        }
    }

    fn end_connections(&mut self, member: usize, now_ms: u64) {
        let is_shut_down = self.event.affects(member, now_ms) && now_ms >= EVENT_AT_MS + SHUTDOWN_MS;
        let connections = &mut self.connections[member];
        let before = connections.len();
        connections.retain(|ends_at_ms| *ends_at_ms > now_ms && !is_shut_down);
        for _ in connections.len()..before {
            self.holders[member].release(&[CONNECTIONS]);
        }
    }

    /// Draws the number of connections that clients request in this millisecond. The demand of nodes that shut down
    /// or were killed moves to the others.
    fn draw_arrivals(&mut self, member: usize, now_ms: u64) -> u32 {
        let weight = if member == 0 { self.first_node_weight } else { 1.0 };
        let nodes = if self.event.affects(1, now_ms) { NODES / 2 } else { NODES } as f64;
        let fleet_demand = DEMAND * TOTAL as f64 / MEAN_CONNECTION_MS;
        let mean = fleet_demand * weight / (nodes - 1.0 + self.first_node_weight);
        mean as u32 + u32::from(self.rng.random_bool(mean.fract()))
    }

    fn connect(&mut self, member: usize, now_ms: u64) {
        let is_admitted = match self.division {
            Division::Leases => self.holders[member].acquire(at_millisecond(now_ms), &[CONNECTIONS]).is_ok(),
            Division::Static => self.connections[member].len() < TOTAL as usize / NODES,
            Division::SharedPool => self.established() < TOTAL,
        };
        if is_admitted {
            let duration_ms = -MEAN_CONNECTION_MS * self.rng.random_range(f64::EPSILON..1.0).ln();
            self.connections[member].push(now_ms + 1 + duration_ms as u64);
        }
    }

    fn run_grantor(&mut self, now_ms: u64) {
        let now = at_millisecond(now_ms);
        let expiries = self.grantor.expired_leases(now);
        let requests = take_arrived(&mut self.requests, now_ms);
        for message in self.grantor.apply(now, &LogEntry { expiries, requests }) {
            self.grants.push(InFlight { arrives_at_ms: now_ms + MESSAGE_DELAY_MS, message });
        }
    }
}

struct Outcome {
    /// The mean utilization before the event, as a fraction of the total.
    utilization_before: f64,
    /// The time from the end of the event until the utilization recovered, in milliseconds; `None` if it never did.
    recovery_ms: Option<u64>,
    max_established: u64,
}

fn run(seed: u64, division: Division, first_node_weight: f64, event: Event) -> Outcome {
    let mut fleet = Fleet::new(seed, division, first_node_weight, event);
    let recovery_from_ms = event.ends_at_ms();
    let mut established_before = 0;
    let mut recovery_ms = None;
    let mut max_established = 0;
    let mut recovered_since_ms = 0;
    for now_ms in 0..RUN_MS {
        fleet.step(now_ms);
        let established = fleet.established();
        max_established = max_established.max(established);
        if (MEASURED_FROM_MS..EVENT_AT_MS).contains(&now_ms) {
            established_before += established;
        }
        let is_low = (established as f64) < RECOVERED_UTILIZATION * TOTAL as f64;
        if now_ms < recovery_from_ms || is_low {
            recovered_since_ms = now_ms + 1;
        } else if recovery_ms.is_none() && now_ms - recovered_since_ms >= RECOVERED_FOR_MS {
            recovery_ms = Some(recovered_since_ms - recovery_from_ms);
        }
    }
    let measured_ms = (EVENT_AT_MS - MEASURED_FROM_MS) as f64;
    let utilization_before = established_before as f64 / measured_ms / TOTAL as f64;
    Outcome { utilization_before, recovery_ms, max_established }
}

struct Summary {
    min: f64,
    median: f64,
    max: f64,
}

fn summarize(mut values: Vec<f64>) -> Summary {
    values.sort_by(f64::total_cmp);
    Summary { min: values[0], median: values[values.len() / 2], max: values[values.len() - 1] }
}

/// Runs all seeds and checks that none exceeds the total.
fn run_all(seeds: &[u64], division: Division, first_node_weight: f64, event: Event) -> Vec<Outcome> {
    let outcomes: Vec<Outcome> =
        seeds.iter().map(|seed| run(*seed, division, first_node_weight, event)).collect();
    assert!(!outcomes.is_empty(), "no seeds");
    assert!(outcomes.iter().all(|outcome| outcome.max_established <= TOTAL));
    outcomes
}

/// Checks the utilization with leases, and prints that of the other divisions for comparison.
fn check_utilization(seeds: &[u64], first_node_weight: f64, min_utilization: f64) {
    for division in [Division::Leases, Division::Static, Division::SharedPool] {
        let outcomes = run_all(seeds, division, first_node_weight, Event::None);
        let Summary { min, median, .. } =
            summarize(outcomes.iter().map(|outcome| outcome.utilization_before).collect());
        println!(
            "{division:?}, first node with {first_node_weight} times the demand: \
             utilization {median:.3} (min {min:.3})"
        );
        assert!(min >= min_utilization || division != Division::Leases);
    }
}

/// The longest recovery among all seeds, in milliseconds.
fn longest_recovery_ms(seeds: &[u64], division: Division, event: Event) -> f64 {
    let outcomes = run_all(seeds, division, 1.0, event);
    let recovery_ms = |outcome: &Outcome| outcome.recovery_ms.map_or(f64::INFINITY, |ms| ms as f64);
    let Summary { median, max, .. } = summarize(outcomes.iter().map(recovery_ms).collect());
    println!("{event:?}, {division:?}: recovered after {median:.0} ms (max {max:.0})");
    max
}

/// Checks that the recovery with leases takes at most this much longer than with a shared pool, where only the
/// arrival of new demand limits it.
fn check_recovery(seeds: &[u64], event: Event, max_extra_ms: f64) {
    let [leases, _, shared_pool] = [Division::Leases, Division::Static, Division::SharedPool]
        .map(|division| longest_recovery_ms(seeds, division, event));
    assert!(
        leases <= max_extra_ms + shared_pool,
        "{event:?}: recovery took {leases} ms with leases and {shared_pool} ms with a shared pool"
    );
}

#[test]
fn utilization_is_high_and_recovers_after_node_loss() {
    let seeds = seeds_from_env();
    check_utilization(&seeds, 1.0, 0.95);
    check_utilization(&seeds, 10.0, 0.9);
    // Half of the nodes are lost at once. A shutdown may delay the recovery by a second; a kill by a second plus the
    // lease of 3 s, since the grantor reclaims the units of killed nodes only when their leases have expired.
    check_recovery(&seeds, Event::Shutdown, 1_000.0);
    check_recovery(&seeds, Event::Kill, 4_000.0);
}

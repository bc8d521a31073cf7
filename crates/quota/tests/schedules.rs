//! Long random schedules in virtual time: nodes that start, shut down, are killed, stopped and continued, with clocks
//! that drift apart; messages lost, delayed, duplicated and reordered; grantors that lead in turn, lag, and restart
//! with empty lease tables. An auditor counts what was really opened and spent. `QUOTA_SEEDS` and `QUOTA_STEPS` set what
//! is played.

use rand::{rngs::StdRng, Rng, SeedableRng};
use sparbank_quota::{
    Grantor, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LogEntry, Member, Nanos, Quota,
    QuotaPlan, Resource,
};
use std::fmt;

const NANOS_PER_MS: Nanos = 1_000_000;
const NANOS_PER_SECOND: f64 = 1e9;
const MEMBERS: u64 = 6;
const GRANTORS: usize = 3;
const MAX_MESSAGE_DELAY: Nanos = 5000 * NANOS_PER_MS;
const USUAL_MESSAGE_DELAY: Nanos = 20 * NANOS_PER_MS;
/// The clocks of the nodes drift apart by less than a hundredth, and so do the seconds of their rates.
const CLOCK_TOLERANCE: f64 = 1.01;

// The quotas, as indices in the plan.
const CONNECTIONS: usize = 0;
const SETUPS: usize = 1;
const RETRIES: usize = 2;
const QUOTAS: usize = 3;

const FIRST_ATTEMPT: [usize; 2] = [CONNECTIONS, SETUPS];
const RETRY: [usize; 2] = [SETUPS, RETRIES];

fn plan() -> QuotaPlan {
    let member = |i| Member { name: format!("n{i}"), address: ([127, 0, 0, 1], 9000 + i as u16).into() };
    let quota = |name: &str, resource, total, burst, floor_percent| Quota {
        name: name.to_string(),
        resource,
        total,
        burst,
        floor_percent,
        subscriber: None,
        class: None,
    };
    let plan = QuotaPlan {
        members: (0..MEMBERS).map(member).collect(),
        grantors: vec!["n0".into(), "n1".into(), "n2".into()],
        lease_ms: 1000,
        clear_ms: 600,
        drift_ppm: 20_000,
        quotas: vec![
            quota("standing", Resource::Connections, 60, 0, 10),
            quota("ledger", Resource::Setups, 100, 10 + MEMBERS, 20),
            quota("retries", Resource::Retries, 30, MEMBERS, 0),
        ],
    };
    plan.validate().unwrap();
    plan
}

/// A fault that is injected to see that the auditor detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Grantors reclaim leases by a clock that is ahead.
    EarlyReclaim,
    /// A grantor that lost its lease table leads.
    LostLeaseTable,
    /// Nodes accept the grant for any of their requests.
    StaleGrantAccepted,
    /// Nodes that continue after a stop use the time that they read before it.
    StaleClock,
}

/// A breach of a quota that the auditor saw.
#[derive(Debug)]
enum Breach {
    /// More events at once than the burst.
    Burst { quota: String, at_once: f64, at: Nanos },
    /// More established connections than the total.
    Connections { established: u64, total: u64, at: Nanos },
    /// More units allowed, over all running nodes, than the total.
    Allowed { quota: String, units: u64, at: Nanos },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Burst { quota, at_once, at } => {
                write!(f, "{quota}: {at_once:.2} at once at {} ms", at / NANOS_PER_MS)
            }
            Breach::Connections { established, total, at } => {
                write!(f, "standing: {established} of {total} at {} ms", at / NANOS_PER_MS)
            }
            Breach::Allowed { quota, units, at } => {
                write!(f, "{quota}: {units} granted at {} ms", at / NANOS_PER_MS)
            }
        }
    }
}

struct Node {
    holder: LeaseHolder,
    incarnation: u64,
    clock_offset: Nanos,
    /// How much faster than true time its clock runs, in millionths.
    clock_drift_ppm: i64,
    /// The true time at which it was stopped.
    stopped_at: Option<Nanos>,
    /// What its clock read when it last ran.
    last_reading: Nanos,
    established: u64,
    last_sequence: u64,
}

impl Node {
    /// What its clock reads at a true time.
    fn clock(&self, true_time: Nanos) -> Nanos {
        let drift = true_time as i64 / 1_000_000 * self.clock_drift_ppm;
        self.clock_offset + (true_time as i64 + drift) as u64
    }

    /// What its clock read when it last ran, whatever the time is.
    fn stale_clock(&self, _true_time: Nanos) -> Nanos {
        self.last_reading
    }

    fn is_running(&self) -> bool {
        self.stopped_at.is_none()
    }
}

#[derive(Clone)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

struct InFlightMessage {
    arrives_at: Nanos,
    message: Message,
}

/// The auditor's bucket for a rate of all nodes together: it overflows if in any window there are more events than rate
/// times window plus burst.
struct AuditBucket {
    level: f64,
    updated_at: Nanos,
}

/// A grantor and how many entries of the log it has applied.
struct Replica {
    grantor: Grantor,
    applied: usize,
}

struct World {
    rng: StdRng,
    fault: Fault,
    plan: QuotaPlan,
    now: Nanos,
    /// By member.
    nodes: Vec<Option<Node>>,
    incarnations: u64,
    log: Vec<LogEntry>,
    replicas: Vec<Replica>,
    leader: usize,
    in_flight: Vec<InFlightMessage>,
    pending_requests: Vec<LeaseRequest>,
    audit_buckets: Vec<AuditBucket>,
    checks: u64,
    spent: [u64; QUOTAS],
}

impl World {
    fn new(seed: u64, fault: Fault) -> World {
        let plan = plan();
        let replica = || Replica { grantor: Grantor::new(LeaseTable::new(plan.clone()), 0), applied: 0 };
        World {
            rng: StdRng::seed_from_u64(seed),
            fault,
            now: 0,
            nodes: (0..MEMBERS).map(|_| None).collect(),
            incarnations: 0,
            log: Vec::new(),
            replicas: (0..GRANTORS).map(|_| replica()).collect(),
            leader: 0,
            in_flight: Vec::new(),
            pending_requests: Vec::new(),
            audit_buckets: (0..QUOTAS).map(|_| AuditBucket { level: 0.0, updated_at: 0 }).collect(),
            checks: 0,
            spent: [0; QUOTAS],
            plan,
        }
    }

    /// Sends a message, sometimes twice; each copy may be lost or delayed.
    fn send(&mut self, message: Message) {
        let is_duplicated = self.rng.random_bool(0.05);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..20) {
                0 => continue,
                1 => self.rng.random_range(0..MAX_MESSAGE_DELAY),
                _ => self.rng.random_range(0..USUAL_MESSAGE_DELAY),
            };
            let arrives_at = self.now + delay;
            self.in_flight.push(InFlightMessage { arrives_at, message: message.clone() });
        }
    }

    /// One step: some time passes, and something happens.
    fn step(&mut self) -> Result<(), Breach> {
        self.now += self.rng.random_range(0..2 * NANOS_PER_MS);
        let member = self.rng.random_range(0..MEMBERS as usize);
        match self.rng.random_range(0..10_000) {
            0..=7 => self.nodes[member] = None,
            8..=27 if self.nodes[member].is_none() => self.start_node(member),
            28..=32 => self.stop_node(member),
            33..=45 => self.continue_node(member)?,
            46..=48 => self.shut_down_node(member),
            49..=52 => self.change_leader(),
            53..=200 => self.commit_log_entry(),
            201..=3000 => self.attempt(member, &FIRST_ATTEMPT)?,
            3001..=4200 => self.attempt(member, &RETRY)?,
            4201..=4700 => self.end_connection(member),
            _ => {}
        }
        let lagging = self.rng.random_range(0..GRANTORS);
        if self.rng.random_bool(0.02) {
            self.catch_up(lagging);
        }
        self.deliver_messages();
        self.run_nodes();
        self.audit()
    }

    fn start_node(&mut self, member: usize) {
        self.incarnations += 1;
        let clock_offset = self.rng.random_range(0..1 << 40);
        let clock_drift_ppm = self.rng.random_range(-9_000..9_000);
        let id = HolderId { member: member as u16, incarnation: self.incarnations };
        let mut node = Node {
            holder: LeaseHolder::new(id, self.plan.clone(), 0),
            incarnation: self.incarnations,
            clock_offset,
            clock_drift_ppm,
            stopped_at: None,
            last_reading: 0,
            established: 0,
            last_sequence: 0,
        };
        node.last_reading = node.clock(self.now);
        node.holder = LeaseHolder::new(id, self.plan.clone(), node.last_reading);
        self.nodes[member] = Some(node);
    }

    fn stop_node(&mut self, member: usize) {
        if let Some(node) = &mut self.nodes[member] {
            node.stopped_at = node.stopped_at.or(Some(self.now));
        }
    }

    fn continue_node(&mut self, member: usize) -> Result<(), Breach> {
        let was_stopped = self.nodes[member].as_mut().and_then(|node| node.stopped_at.take()).is_some();
        if was_stopped && self.fault == Fault::StaleClock {
            // Attempts that were queued before the stop are admitted by the old reading of the clock.
            for _ in 0..20 {
                self.attempt_by(Node::stale_clock, member, &FIRST_ATTEMPT)?;
            }
        }
        Ok(())
    }

    fn shut_down_node(&mut self, member: usize) {
        if let Some(node) = &mut self.nodes[member] {
            node.holder.shut_down();
        }
    }

    /// Another grantor leads, once it has applied the committed entries, or one is started anew.
    fn change_leader(&mut self) {
        self.leader = self.rng.random_range(0..GRANTORS);
        if self.rng.random_bool(0.5) {
            let lease_table = LeaseTable::new(self.plan.clone());
            let applied = if self.fault == Fault::LostLeaseTable { self.log.len() } else { 0 };
            self.replicas[self.leader] = Replica { grantor: Grantor::new(lease_table, self.now), applied };
        }
    }

    fn attempt(&mut self, member: usize, quotas: &[usize]) -> Result<(), Breach> {
        self.attempt_by(Node::clock, member, quotas)
    }

    /// An attempt at a node, admitted by the given reading of its clock.
    fn attempt_by(
        &mut self,
        clock: fn(&Node, Nanos) -> Nanos,
        member: usize,
        quotas: &[usize],
    ) -> Result<(), Breach> {
        let Some(node) = self.nodes[member].as_mut().filter(|node| node.is_running()) else { return Ok(()) };
        let reading = clock(node, self.now);
        if node.holder.acquire(reading, quotas).is_err() {
            return Ok(());
        }
        node.established += u64::from(quotas.contains(&CONNECTIONS));
        for &quota in quotas {
            self.spent[quota] += 1;
            if quota != CONNECTIONS {
                self.audit_event(quota)?;
            }
        }
        self.audit_established()
    }

    fn audit_event(&mut self, quota: usize) -> Result<(), Breach> {
        let settings = &self.plan.quotas[quota];
        let bucket = &mut self.audit_buckets[quota];
        let leaked = (self.now - bucket.updated_at) as f64 * settings.total as f64 / NANOS_PER_SECOND;
        bucket.level = (bucket.level - leaked).max(0.0) + 1.0;
        bucket.updated_at = self.now;
        if bucket.level > settings.burst as f64 * CLOCK_TOLERANCE + 1e-6 {
            let quota = settings.name.clone();
            return Err(Breach::Burst { quota, at_once: bucket.level, at: self.now });
        }
        Ok(())
    }

    fn audit_established(&self) -> Result<(), Breach> {
        let total = self.plan.quotas[CONNECTIONS].total;
        let established: u64 = self.nodes.iter().flatten().map(|node| node.established).sum();
        if established > total {
            return Err(Breach::Connections { established, total, at: self.now });
        }
        Ok(())
    }

    fn end_connection(&mut self, member: usize) {
        let Some(node) = &mut self.nodes[member] else { return };
        if node.is_running() && node.established > 0 {
            node.established -= 1;
            node.holder.release(&[CONNECTIONS]);
        }
    }

    /// The leader commits an entry: the pending requests, and the leases that have expired by its clock.
    fn commit_log_entry(&mut self) {
        self.catch_up(self.leader);
        let ahead = if self.fault == Fault::EarlyReclaim { 400 * NANOS_PER_MS } else { 0 };
        let expiries = self.replicas[self.leader].grantor.expired_leases(self.now + ahead);
        let requests = std::mem::take(&mut self.pending_requests);
        self.log.push(LogEntry { expiries, requests });
        for grant in self.catch_up(self.leader) {
            self.send(Message::Grant(grant));
        }
    }

    /// Applies the committed entries at a replica and gives the grants of the last one.
    fn catch_up(&mut self, replica: usize) -> Vec<LeaseGrant> {
        let Replica { grantor, applied } = &mut self.replicas[replica];
        let mut grants = Vec::new();
        for entry in &self.log[*applied..] {
            grants = grantor.apply(self.now, entry);
        }
        *applied = self.log.len();
        grants
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        while let Some(index) = self.in_flight.iter().position(|in_flight| in_flight.arrives_at <= now) {
            match self.in_flight.swap_remove(index).message {
                Message::Request(request) => self.pending_requests.push(request),
                Message::Grant(grant) => self.deliver_grant(grant),
            }
        }
    }

    fn deliver_grant(&mut self, mut grant: LeaseGrant) {
        let node = self.nodes[usize::from(grant.holder.member)].as_mut();
        let Some(node) = node.filter(|node| node.incarnation == grant.holder.incarnation) else { return };
        if self.fault == Fault::StaleGrantAccepted {
            grant.sequence = node.last_sequence;
        }
        if node.is_running() {
            let reading = node.clock(self.now);
            node.holder.on_grant(reading, &grant);
        }
    }

    /// What a node does at each turn of its event loop: it sends its lease request when it is due, and ends the
    /// connections above its allotment.
    fn run_nodes(&mut self) {
        let mut requests = Vec::new();
        for node in self.nodes.iter_mut().flatten() {
            if let Some(stopped_at) = node.stopped_at {
                // Servers end the connections of a stopped node.
                if self.now >= stopped_at + self.plan.clear_ms * NANOS_PER_MS {
                    for _ in 0..std::mem::take(&mut node.established) {
                        node.holder.release(&[CONNECTIONS]);
                    }
                }
                continue;
            }
            let reading = node.clock(self.now);
            node.last_reading = reading;
            for _ in 0..node.holder.excess(reading, CONNECTIONS) {
                node.established -= 1;
                node.holder.release(&[CONNECTIONS]);
            }
            if node.holder.next_request_at() <= reading {
                requests.push(node.holder.create_request(reading));
                node.last_sequence += 1;
            }
        }
        for request in requests {
            self.send(Message::Request(request));
        }
    }

    /// Checks that what all running nodes may use now, each by its own clock, is within the total.
    fn audit(&mut self) -> Result<(), Breach> {
        for quota in 0..QUOTAS {
            let mut units = 0;
            for node in self.nodes.iter_mut().flatten().filter(|node| node.is_running()) {
                let reading = node.clock(self.now);
                units += node.holder.allowed_units(reading, quota);
            }
            self.checks += 1;
            let settings = &self.plan.quotas[quota];
            if units > settings.total_units() {
                return Err(Breach::Allowed { quota: settings.name.clone(), units, at: self.now });
            }
        }
        Ok(())
    }
}

/// A breach, and where in which schedule it happened.
#[derive(Debug)]
struct FoundBreach {
    seed: u64,
    step: u64,
    breach: Breach,
}

impl fmt::Display for FoundBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}, step {}: {}", self.seed, self.step, self.breach)
    }
}

fn play(seed: u64, fault: Fault, steps: u64) -> Result<World, FoundBreach> {
    let mut world = World::new(seed, fault);
    for step in 0..steps {
        world.step().map_err(|breach| FoundBreach { seed, step, breach })?;
    }
    Ok(world)
}

fn steps_from_env() -> u64 {
    std::env::var("QUOTA_STEPS").ok().and_then(|steps| steps.parse().ok()).unwrap_or(100_000)
}

fn seeds_from_env() -> Vec<u64> {
    let Ok(seeds) = std::env::var("QUOTA_SEEDS") else { return (1..=10).collect() };
    seeds.split(',').map(|seed| seed.trim().parse().expect("QUOTA_SEEDS: numbers")).collect()
}

/// A million steps: never above the total, whatever fails, and not because nothing is granted.
#[test]
fn random_faults_never_exceed_a_total() {
    let steps = steps_from_env();
    let mut checks = 0;
    let mut setups = 0;
    let mut seconds = 0.0;
    for seed in seeds_from_env() {
        let world = play(seed, Fault::None, steps).unwrap_or_else(|found| panic!("{found}"));
        checks += world.checks;
        setups += world.spent[SETUPS];
        seconds += world.now as f64 / NANOS_PER_SECOND;
    }
    println!("{checks} checks, 0 breaches; {:.1} set-ups a second of 100", setups as f64 / seconds);
    assert!(setups as f64 > seconds * 10.0, "nothing was granted");
}

/// The auditor detects each injected fault.
#[rstest::rstest]
#[case(Fault::EarlyReclaim)]
#[case(Fault::LostLeaseTable)]
#[case(Fault::StaleGrantAccepted)]
#[case(Fault::StaleClock)]
fn auditor_detects_injected_fault(#[case] fault: Fault) {
    let found = (1..=40).find_map(|seed| play(seed, fault, 100_000).err());
    println!("{fault:?}: {found:?}");
    assert!(found.is_some(), "{fault:?} was not detected");
}

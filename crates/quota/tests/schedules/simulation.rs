//! The simulation of nodes, messages and grantors in virtual time. All random choices are drawn from one seed.

use crate::auditor::{Auditor, Violation};
use crate::fleet::{plan, Node, CONNECTIONS, GRANTORS, MEMBERS, QUOTAS, RETRIES, SETUPS};
use rand::{rngs::StdRng, Rng, SeedableRng};
use sparbank_quota::{
    Grantor, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LogEntry, QuotaPlan,
};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// The virtual time that one step takes at most.
const MAX_STEP: Duration = Duration::from_millis(2);
const MAX_MESSAGE_DELAY: Duration = Duration::from_secs(5);
const USUAL_MESSAGE_DELAY: Duration = Duration::from_millis(20);

const FIRST_ATTEMPT: [usize; 2] = [CONNECTIONS, SETUPS];
const RETRY: [usize; 2] = [SETUPS, RETRIES];

/// A fault that is injected to verify that the auditor detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Grantors reclaim leases by a clock that is 400 ms ahead.
    EarlyReclaim,
    /// A grantor that has restarted with an empty lease table leads without replaying the log.
    LostLeaseTable,
    /// Nodes accept a grant for any of their requests, not only for the newest one.
    StaleGrantAccepted,
    /// Nodes that continue after a stop use the clock reading from before the stop.
    StaleClock,
}

#[derive(Clone)]
enum Message {
    Request(LeaseRequest),
    Grant(LeaseGrant),
}

struct InFlightMessage {
    arrives_at: MonotonicTime,
    message: Message,
}

/// A grantor and the number of log entries that it has applied.
struct Replica {
    grantor: Grantor,
    applied: usize,
}

pub struct Simulation {
    rng: StdRng,
    fault: Fault,
    plan: QuotaPlan,
    now: MonotonicTime,
    /// The running or stopped node of each member, if there is one.
    nodes: Vec<Option<Node>>,
    incarnations: u64,
    log: Vec<LogEntry>,
    replicas: Vec<Replica>,
    leader: usize,
    in_flight: Vec<InFlightMessage>,
    pending_requests: Vec<LeaseRequest>,
    auditor: Auditor,
}

impl Simulation {
    pub fn new(seed: u64, fault: Fault) -> Simulation {
        let plan = plan();
        let grantor = Grantor::new(LeaseTable::new(plan.clone()), MonotonicTime::ZERO);
        let replica = || Replica { grantor: grantor.clone(), applied: 0 };
        Simulation {
            rng: StdRng::seed_from_u64(seed),
            fault,
            now: MonotonicTime::ZERO,
            nodes: (0..MEMBERS).map(|_| None).collect(),
            incarnations: 0,
            log: Vec::new(),
            replicas: (0..GRANTORS).map(|_| replica()).collect(),
            leader: 0,
            in_flight: Vec::new(),
            pending_requests: Vec::new(),
            auditor: Auditor::new(&plan),
            plan,
        }
    }

    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    pub fn auditor(&self) -> &Auditor {
        &self.auditor
    }

    /// A duration below the maximum.
    fn random_duration(&mut self, maximum: Duration) -> Duration {
        Duration::from_nanos(self.rng.random_range(0..maximum.as_nanos_u64()))
    }

    /// Sends a message, sometimes twice; each copy may be lost or delayed.
    fn send(&mut self, message: Message) {
        let is_duplicated = self.rng.random_bool(0.05);
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..20) {
                0 => continue,
                1 => self.random_duration(MAX_MESSAGE_DELAY),
                _ => self.random_duration(USUAL_MESSAGE_DELAY),
            };
            let arrives_at = self.now + delay;
            self.in_flight.push(InFlightMessage { arrives_at, message: message.clone() });
        }
    }

    /// Advances the time, performs one random action, and audits the result.
    pub fn step(&mut self) -> Result<(), Violation> {
        let elapsed = self.random_duration(MAX_STEP);
        self.now += elapsed;
        let member = self.rng.random_range(0..usize::from(MEMBERS));
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
        let clock_offset = Duration::from_nanos(self.rng.random_range(0..1 << 40));
        let clock_drift_ppm = self.rng.random_range(-9_000..9_000);
        let id = HolderId { member: member as u16, incarnation: self.incarnations };
        let mut node = Node {
            holder: LeaseHolder::new(id, self.plan.clone(), MonotonicTime::ZERO),
            incarnation: self.incarnations,
            clock_offset,
            clock_drift_ppm,
            stopped_at: None,
            last_reading: MonotonicTime::ZERO,
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

    fn continue_node(&mut self, member: usize) -> Result<(), Violation> {
        let was_stopped = self.nodes[member].as_mut().and_then(|node| node.stopped_at.take()).is_some();
        if was_stopped && self.fault == Fault::StaleClock {
            // Attempts that were queued before the stop are admitted by the stale clock reading.
            for _ in 0..20 {
                self.attempt_by_clock(Node::stale_clock, member, &FIRST_ATTEMPT)?;
            }
        }
        Ok(())
    }

    fn shut_down_node(&mut self, member: usize) {
        if let Some(node) = &mut self.nodes[member] {
            node.holder.shut_down();
        }
    }

    /// Selects a random leader, which restarts with an empty lease table in half of the cases. It applies all
    /// committed entries before it commits its next one.
    fn change_leader(&mut self) {
        self.leader = self.rng.random_range(0..GRANTORS);
        if self.rng.random_bool(0.5) {
            let lease_table = LeaseTable::new(self.plan.clone());
            let applied = if self.fault == Fault::LostLeaseTable { self.log.len() } else { 0 };
            self.replicas[self.leader] = Replica { grantor: Grantor::new(lease_table, self.now), applied };
        }
    }

    fn attempt(&mut self, member: usize, quotas: &[usize]) -> Result<(), Violation> {
        self.attempt_by_clock(Node::clock, member, quotas)
    }

    /// Makes an attempt at a node, which the given clock times.
    fn attempt_by_clock(
        &mut self,
        clock: fn(&Node, MonotonicTime) -> MonotonicTime,
        member: usize,
        quotas: &[usize],
    ) -> Result<(), Violation> {
        let Some(node) = self.nodes[member].as_mut().filter(|node| node.is_running()) else { return Ok(()) };
        let reading = clock(node, self.now);
        if node.holder.acquire(reading, quotas).is_err() {
            return Ok(());
        }
        node.established += u64::from(quotas.contains(&CONNECTIONS));
        for &quota in quotas {
            self.auditor.on_admitted(quota, self.now)?;
        }
        self.audit_established()
    }

    fn audit_established(&self) -> Result<(), Violation> {
        let established = self.nodes.iter().flatten().map(|node| node.established).sum();
        self.auditor.check_established(established, self.now)
    }

    fn end_connection(&mut self, member: usize) {
        let Some(node) = &mut self.nodes[member] else { return };
        if node.is_running() && node.established > 0 {
            node.established -= 1;
            node.holder.release(&[CONNECTIONS]);
        }
    }

    /// The leader commits an entry with the pending requests and the leases that have expired by its clock.
    fn commit_log_entry(&mut self) {
        self.catch_up(self.leader);
        let clock_lead =
            if self.fault == Fault::EarlyReclaim { Duration::from_millis(400) } else { Duration::ZERO };
        let expiries = self.replicas[self.leader].grantor.expired_leases(self.now + clock_lead);
        let requests = std::mem::take(&mut self.pending_requests);
        self.log.push(LogEntry { expiries, requests });
        for grant in self.catch_up(self.leader) {
            self.send(Message::Grant(grant));
        }
    }

    /// Applies the committed entries at a replica and returns the grants of the last one.
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

    /// Runs one iteration of the event loop of each node, which ends the connections above the allotment and sends
    /// the lease request when it is due.
    fn run_nodes(&mut self) {
        let mut requests = Vec::new();
        for node in self.nodes.iter_mut().flatten() {
            if let Some(stopped_at) = node.stopped_at {
                // Servers end the connections of a node that has been stopped for the clear time.
                if self.now >= stopped_at + Duration::from_millis(self.plan.clear_ms) {
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

    /// Checks that all running nodes together may use no more than the total now, each by its own clock.
    fn audit(&mut self) -> Result<(), Violation> {
        for quota in 0..QUOTAS {
            let mut units = 0;
            for node in self.nodes.iter_mut().flatten().filter(|node| node.is_running()) {
                let reading = node.clock(self.now);
                units += node.holder.allowed_units(reading, quota);
            }
            self.auditor.check_allowed(quota, units, self.now)?;
        }
        Ok(())
    }
}

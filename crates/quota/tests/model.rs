//! Exhaustive model check of the lease protocol for a small fleet: two holders and two grantors, either of which can
//! lead. Messages can be lost, duplicated and reordered, time can advance by a tick between any two actions, and a
//! grantor can restart once. The holders, lease tables and grantors are those of the crate; the checker only chooses
//! the next action.

mod support {
    pub mod plan;
}

use sparbank_quota::{
    Grantor, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, LeaseTable, LogEntry, QuotaPlan, Resource,
};
use sparbank_time::MonotonicTime;
use stateright::{Checker, Model, Property};
use std::time::Duration;
use support::plan::{members, quota};

/// Two ticks expire a lease of 300 ms on the grantor's clock as well, which waits one nanosecond longer.
const TICK: Duration = Duration::from_millis(151);
/// The only quota of the plan, a level.
const CONNECTIONS: usize = 0;

const TOTAL_IS_NEVER_EXCEEDED: &str = "the total is never exceeded";
const GRANTS_NEVER_EXCEED_THE_TOTAL: &str = "the grants of a lease table never exceed the total";

/// A fault that is injected to verify that the checker detects it.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// Grantors reclaim leases one tick early.
    EarlyReclaim,
    /// A grantor that has restarted with an empty lease table leads without replaying the log.
    LostLeaseTable,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: MonotonicTime,
    holders: Vec<LeaseHolder>,
    requests: Vec<LeaseRequest>,
    grants: Vec<LeaseGrant>,
    log: Vec<LogEntry>,
    replicas: Vec<Replica>,
    grantor_restarts: u8,
}

/// A grantor and the number of log entries that it has applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Replica {
    grantor: Grantor,
    applied: usize,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    SendRequest {
        holder: usize,
    },
    /// A grantor leads and commits a request. The request stays in flight, since it can be delivered again.
    CommitRequest {
        replica: usize,
        request: usize,
    },
    /// A grantor leads and commits the leases that have expired by its clock.
    CommitExpiries {
        replica: usize,
    },
    CatchUp {
        replica: usize,
    },
    DeliverGrant {
        grant: usize,
    },
    Acquire {
        holder: usize,
    },
    Release {
        holder: usize,
    },
    RestartGrantor {
        replica: usize,
    },
}

/// The model, with the limits that make its state space finite.
struct LeaseModel {
    plan: QuotaPlan,
    fault: Fault,
    max_ticks: u32,
    /// The number of requests that each holder may send.
    max_requests: [usize; 2],
    max_log_entries: usize,
    /// The member of each holder.
    members: Vec<u16>,
}

impl LeaseModel {
    fn new(fault: Fault, members: &[u16], max_requests: [usize; 2]) -> LeaseModel {
        let plan = plan();
        plan.validate().expect("the plan is valid");
        LeaseModel { plan, fault, max_ticks: 2, max_requests, max_log_entries: 4, members: members.to_vec() }
    }

    /// Adds the possible actions of the grantors.
    fn replica_actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        for (replica, Replica { applied, .. }) in state.replicas.iter().enumerate() {
            // Only a replica that has applied all committed entries can lead.
            if *applied < state.log.len() {
                actions.push(Action::CatchUp { replica });
            } else if state.log.len() < self.max_log_entries {
                let requests = 0..state.requests.len();
                actions.extend(requests.map(|request| Action::CommitRequest { replica, request }));
                actions.push(Action::CommitExpiries { replica });
            }
            if state.grantor_restarts == 0 {
                actions.push(Action::RestartGrantor { replica });
            }
        }
    }

    fn commit_request(&self, state: &mut ModelState, replica: usize, request: usize) -> Option<()> {
        let entry = LogEntry { requests: vec![state.requests[request].clone()], ..LogEntry::default() };
        let leader = &mut state.replicas[replica];
        let before = leader.grantor.clone();
        let grants = leader.grantor.apply(state.now, &entry);
        if leader.grantor == before {
            return None;
        }
        leader.applied += 1;
        state.grants.extend(grants);
        state.grants.sort();
        state.grants.dedup();
        state.log.push(entry);
        Some(())
    }

    fn commit_expiries(&self, state: &mut ModelState, replica: usize) -> Option<()> {
        let clock_lead = if self.fault == Fault::EarlyReclaim { TICK } else { Duration::ZERO };
        let leader = &mut state.replicas[replica];
        let expiries = leader.grantor.expired_leases(state.now + clock_lead);
        if expiries.is_empty() {
            return None;
        }
        let entry = LogEntry { expiries, ..LogEntry::default() };
        leader.grantor.apply(state.now, &entry);
        leader.applied += 1;
        state.log.push(entry);
        Some(())
    }

    fn restart_grantor(&self, state: &mut ModelState, replica: usize) {
        state.grantor_restarts += 1;
        let applied = if self.fault == Fault::LostLeaseTable { state.log.len() } else { 0 };
        let grantor = Grantor::new(LeaseTable::new(self.plan.clone()), state.now);
        state.replicas[replica] = Replica { grantor, applied };
    }
}

impl ModelState {
    fn catch_up(&mut self, replica: usize) {
        let Replica { grantor, applied } = &mut self.replicas[replica];
        for entry in &self.log[*applied..] {
            grantor.apply(self.now, entry);
        }
        *applied = self.log.len();
    }

    fn deliver_grant(&mut self, grant: usize) -> Option<()> {
        let grant = &self.grants[grant];
        let holder = &mut self.holders[grant.holder.incarnation as usize - 1];
        holder.on_grant(self.now, grant).then_some(())
    }

    fn release(&mut self, holder: usize) -> Option<()> {
        let holder = &mut self.holders[holder];
        if holder.status(CONNECTIONS).used == 0 {
            return None;
        }
        holder.release(&[CONNECTIONS]);
        Some(())
    }
}

/// Two members and a level of two connections.
fn plan() -> QuotaPlan {
    QuotaPlan {
        members: members(2),
        grantors: vec!["n0".into()],
        lease_ms: 300,
        clear_ms: 0,
        drift_ppm: 0,
        quotas: vec![quota("connections", Resource::Connections, 2)],
    }
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let holder = |(index, member): (usize, &u16)| {
            let id = HolderId { member: *member, incarnation: index as u64 + 1 };
            LeaseHolder::new(id, self.plan.clone(), MonotonicTime::ZERO)
        };
        let grantor = Grantor::new(LeaseTable::new(self.plan.clone()), MonotonicTime::ZERO);
        let replica = || Replica { grantor: grantor.clone(), applied: 0 };
        vec![ModelState {
            now: MonotonicTime::ZERO,
            holders: self.members.iter().enumerate().map(holder).collect(),
            requests: Vec::new(),
            grants: Vec::new(),
            log: Vec::new(),
            replicas: vec![replica(), replica()],
            grantor_restarts: 0,
        }]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Action>) {
        if state.now < MonotonicTime::ZERO + self.max_ticks * TICK {
            actions.push(Action::Tick);
        }
        for holder in 0..state.holders.len() {
            let incarnation = holder as u64 + 1;
            let sent = state.requests.iter().filter(|request| request.holder.incarnation == incarnation);
            if sent.count() < self.max_requests[holder] {
                actions.push(Action::SendRequest { holder });
            }
            actions.extend([Action::Acquire { holder }, Action::Release { holder }]);
        }
        self.replica_actions(state, actions);
        actions.extend((0..state.grants.len()).map(|grant| Action::DeliverGrant { grant }));
    }

    fn next_state(&self, last: &ModelState, action: Action) -> Option<ModelState> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.now += TICK,
            Action::SendRequest { holder } => {
                let request = state.holders[holder].create_request(state.now);
                state.requests.push(request);
            }
            Action::CommitRequest { replica, request } => {
                self.commit_request(&mut state, replica, request)?;
            }
            Action::CommitExpiries { replica } => self.commit_expiries(&mut state, replica)?,
            Action::CatchUp { replica } => state.catch_up(replica),
            Action::DeliverGrant { grant } => state.deliver_grant(grant)?,
            Action::Acquire { holder } => {
                state.holders[holder].acquire(state.now, &[CONNECTIONS]).ok()?;
            }
            Action::Release { holder } => state.release(holder)?,
            Action::RestartGrantor { replica } => self.restart_grantor(&mut state, replica),
        }
        // As in a node, connections above the allotment end as soon as the lease has expired.
        for holder in &mut state.holders {
            for _ in 0..holder.excess(state.now, CONNECTIONS) {
                holder.release(&[CONNECTIONS]);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(TOTAL_IS_NEVER_EXCEEDED, |model: &LeaseModel, state: &ModelState| {
                let mut holders = state.holders.clone();
                let allowed: u64 =
                    holders.iter_mut().map(|holder| holder.allowed_units(state.now, CONNECTIONS)).sum();
                let used: u64 = holders.iter().map(|holder| holder.status(CONNECTIONS).used).sum();
                allowed.max(used) <= model.plan.quotas[CONNECTIONS].total
            }),
            Property::always(GRANTS_NEVER_EXCEED_THE_TOTAL, |model: &LeaseModel, state: &ModelState| {
                let divisible = model.plan.divisible_units(CONNECTIONS);
                let granted = |replica: &Replica| replica.grantor.lease_table().granted_units(CONNECTIONS);
                state.replicas.iter().all(|replica| granted(replica) <= divisible)
            }),
            Property::sometimes("the total is reached", |model: &LeaseModel, state: &ModelState| {
                let used: u64 = state.holders.iter().map(|holder| holder.status(CONNECTIONS).used).sum();
                used == model.plan.quotas[CONNECTIONS].total
            }),
        ]
    }
}

/// The result of a model check.
struct Exploration {
    states: usize,
    violated: bool,
}

fn explore(fault: Fault, members: &[u16], max_requests: [usize; 2]) -> Exploration {
    let checker = LeaseModel::new(fault, members, max_requests).checker().threads(2).spawn_bfs().join();
    let states = checker.unique_state_count();
    println!("{states} states");
    let invariants = [TOTAL_IS_NEVER_EXCEEDED, GRANTS_NEVER_EXCEED_THE_TOTAL];
    let violated = invariants.iter().any(|invariant| checker.discovery(invariant).is_some());
    Exploration { states, violated }
}

#[test]
fn two_members_never_exceed_the_total() {
    let Exploration { states, violated } = explore(Fault::None, &[0, 1], [2, 1]);
    assert!(!violated && states > 10_000, "{states}");
}

/// Two incarnations of a member run at the same time during an upgrade, or if a second process is started by mistake.
#[test]
fn two_incarnations_of_a_member_never_exceed_the_total() {
    let Exploration { states, violated } = explore(Fault::None, &[0, 0], [2, 1]);
    assert!(!violated && states > 10_000, "{states}");
}

#[test]
fn early_reclaim_is_detected() {
    assert!(explore(Fault::EarlyReclaim, &[0, 1], [1, 1]).violated);
}

#[test]
fn lost_lease_table_is_detected() {
    assert!(explore(Fault::LostLeaseTable, &[0, 1], [1, 1]).violated);
}

//! The lease table: the allotments of each holder. It is a deterministic state machine without clock or I/O: grantors
//! that apply the same log entries in the same order have equal tables.

use crate::division::{divide_by_demand, Demand};
use crate::plan::QuotaPlan;
use crate::protocol::{HolderId, LeaseExpiry, LeaseGrant, LeaseRequest, LogEntry};
use std::collections::BTreeMap;

/// The lease of one holder. Each vector has one element per quota of the plan.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    /// The number of the newest applied request.
    sequence: u64,
    allotments: Vec<u64>,
    wanted: Vec<u64>,
    targets: Vec<u64>,
}

impl Lease {
    fn empty(quotas: usize) -> Lease {
        Lease { sequence: 0, allotments: vec![0; quotas], wanted: vec![0; quotas], targets: vec![0; quotas] }
    }
}

/// The leases of all holders. The allotments of a quota never add up to more than its divisible units.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    plan: QuotaPlan,
    layout: u64,
    leases: BTreeMap<HolderId, Lease>,
    /// The latest incarnation of each member that has sent a request. Earlier ones are fenced.
    latest_incarnations: BTreeMap<u16, u64>,
}

impl LeaseTable {
    /// How many incarnations of one member can have a lease at a time. A member that restarts more often gets no
    /// lease until those of its first incarnations have expired.
    pub const MAX_INCARNATIONS_PER_MEMBER: usize = 8;

    /// Creates a table without leases.
    pub fn new(plan: QuotaPlan) -> LeaseTable {
        LeaseTable {
            layout: plan.layout_hash(),
            plan,
            leases: BTreeMap::new(),
            latest_incarnations: BTreeMap::new(),
        }
    }

    /// The plan whose quotas are granted.
    pub fn plan(&self) -> &QuotaPlan {
        &self.plan
    }

    /// The units of a quota that are currently granted, not counting the floors.
    pub fn granted_units(&self, quota: usize) -> u64 {
        self.leases.values().map(|lease| lease.allotments[quota]).sum()
    }

    /// The number of a holder's newest applied request; `None` for a holder without a lease.
    pub fn sequence(&self, holder: HolderId) -> Option<u64> {
        self.leases.get(&holder).map(|lease| lease.sequence)
    }

    /// All holders with a lease.
    pub fn holders(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.leases.keys().copied()
    }

    /// Whether a request has the layout of this plan. Requests of another layout are never applied.
    pub fn matches_layout(&self, request: &LeaseRequest) -> bool {
        let quotas = self.plan.quotas.len();
        request.layout == self.layout
            && usize::from(request.holder.member) < self.plan.members.len()
            && request.retained.len() == quotas
            && request.wanted.len() == quotas
    }

    /// Applies a log entry and returns the grants for its requests. Requests that have another layout, are not newer
    /// than the last applied one of their holder, or come from one incarnation too many of a member get no grant.
    pub fn apply(&mut self, entry: &LogEntry) -> Vec<LeaseGrant> {
        for expiry in &entry.expiries {
            self.reclaim(expiry);
        }
        let mut accepted = Vec::new();
        for request in &entry.requests {
            if self.lower_to_retained(request) {
                accepted.push(request);
            }
        }
        if accepted.is_empty() {
            return Vec::new();
        }
        self.set_targets();
        let available = |quota| self.plan.divisible_units(quota).saturating_sub(self.granted_units(quota));
        let mut available: Vec<u64> = (0..self.plan.quotas.len()).map(available).collect();
        accepted.into_iter().filter_map(|request| self.grant(request, &mut available)).collect()
    }

    fn reclaim(&mut self, expiry: &LeaseExpiry) {
        let Some(lease) = self.leases.get_mut(&expiry.holder) else { return };
        if lease.sequence != expiry.sequence {
            return;
        }
        if expiry.includes_levels {
            self.leases.remove(&expiry.holder);
            self.unfence_earlier_incarnations(expiry.holder);
            return;
        }
        for (allotment, quota) in lease.allotments.iter_mut().zip(&self.plan.quotas) {
            if !quota.resource.is_level() {
                *allotment = 0;
            }
        }
        lease.wanted.fill(0);
    }

    /// Stops fencing the earlier incarnations of a holder whose lease has expired. If the wall clock of a member was
    /// set back between two starts, the newer process has the lower incarnation and would otherwise never be granted
    /// any units.
    fn unfence_earlier_incarnations(&mut self, holder: HolderId) {
        if self.latest_incarnations.get(&holder.member) == Some(&holder.incarnation) {
            self.latest_incarnations.remove(&holder.member);
        }
    }

    /// Lowers the allotments of the sender to what it retains. Returns false if the request must not be answered.
    fn lower_to_retained(&mut self, request: &LeaseRequest) -> bool {
        let holder = request.holder;
        if !self.matches_layout(request) || !self.may_hold_lease(request) {
            return false;
        }
        let latest = self.latest_incarnations.entry(holder.member).or_default();
        *latest = (*latest).max(holder.incarnation);
        let quotas = self.plan.quotas.len();
        let lease = self.leases.entry(holder).or_insert_with(|| Lease::empty(quotas));
        if request.sequence <= lease.sequence {
            return false;
        }
        lease.sequence = request.sequence;
        lease.wanted.clone_from(&request.wanted);
        for (allotment, retained) in lease.allotments.iter_mut().zip(&request.retained) {
            *allotment = (*allotment).min(*retained);
        }
        if request.shutting_down {
            self.leases.remove(&holder);
        }
        true
    }

    /// Whether the sender already has a lease or can get its first one.
    fn may_hold_lease(&self, request: &LeaseRequest) -> bool {
        let holder = request.holder;
        if self.leases.contains_key(&holder) {
            return true;
        }
        let incarnations = self.leases.keys().filter(|known| known.member == holder.member).count();
        !request.shutting_down && incarnations < LeaseTable::MAX_INCARNATIONS_PER_MEMBER
    }

    /// Divides each quota among the holders by demand and sets the results as their targets. Fenced holders get
    /// targets of zero.
    fn set_targets(&mut self) {
        let quotas = self.plan.quotas.len();
        let mut demands: Vec<Vec<Demand>> = vec![Vec::with_capacity(self.leases.len()); quotas];
        for (holder, lease) in &self.leases {
            if is_fenced(&self.latest_incarnations, holder) {
                continue;
            }
            for (demands, wanted) in demands.iter_mut().zip(&lease.wanted) {
                demands.push(Demand { wanted: *wanted, weight: 1 });
            }
        }
        let divide = |(quota, demands): (usize, &Vec<Demand>)| {
            divide_by_demand(self.plan.divisible_units(quota), demands)
        };
        let shares: Vec<Vec<u64>> = demands.iter().enumerate().map(divide).collect();
        // The index of the holder among those that are not fenced.
        let mut position = 0;
        for (holder, lease) in &mut self.leases {
            if is_fenced(&self.latest_incarnations, holder) {
                lease.targets.fill(0);
                continue;
            }
            for (target, shares) in lease.targets.iter_mut().zip(&shares) {
                *target = shares[position];
            }
            position += 1;
        }
    }

    /// Raises the allotments of the sender towards its targets with the available units.
    fn grant(&mut self, request: &LeaseRequest, available: &mut [u64]) -> Option<LeaseGrant> {
        let holder = request.holder;
        let sequence = request.sequence;
        let fenced = is_fenced(&self.latest_incarnations, &holder);
        if request.shutting_down {
            let quotas = self.plan.quotas.len();
            let allotments = vec![0; quotas];
            let targets = vec![0; quotas];
            return Some(LeaseGrant { holder, sequence, allotments, targets, fenced });
        }
        let lease = self.leases.get_mut(&holder).filter(|lease| lease.sequence == sequence)?;
        let quotas = lease.allotments.iter_mut().zip(&lease.targets).zip(available);
        for ((allotment, target), available) in quotas {
            let increase = target.saturating_sub(*allotment).min(*available);
            *allotment += increase;
            *available -= increase;
        }
        let allotments = lease.allotments.clone();
        let targets = lease.targets.clone();
        Some(LeaseGrant { holder, sequence, allotments, targets, fenced })
    }
}

/// Whether a later incarnation of the holder's member has sent a request.
fn is_fenced(latest_incarnations: &BTreeMap<u16, u64>, holder: &HolderId) -> bool {
    latest_incarnations.get(&holder.member).is_some_and(|latest| *latest > holder.incarnation)
}

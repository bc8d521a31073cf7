//! The lease holder: what one node may use, what it requests and what it returns.

use crate::plan::QuotaPlan;
use crate::protocol::{HolderId, LeaseGrant, LeaseRequest};
use crate::quota_usage::{QuotaStatus, QuotaUsage};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How often a holder renews its lease per lease duration.
const LEASE_RENEWALS_PER_TERM: u32 = 3;
/// How often it does so while attempts are rejected or the node is shutting down.
const URGENT_LEASE_RENEWALS_PER_TERM: u32 = 12;

/// The rejection of an attempt that exceeds a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The index of the exhausted quota in the plan.
    pub quota: usize,
    /// How long the attempt should wait before it is retried.
    pub retry_after: Duration,
}

/// The allotments of one node and their use. It fails safe: without grants, the node may use only its floors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    id: HolderId,
    plan: QuotaPlan,
    layout: u64,
    /// One element per quota of the plan.
    usage: Vec<QuotaUsage>,
    /// The number of the newest request; zero before the first one.
    sequence: u64,
    requested_at: MonotonicTime,
    awaits_grant: bool,
    lease_expires_at: MonotonicTime,
    has_lease: bool,
    is_shutting_down: bool,
    fenced: bool,
}

impl LeaseHolder {
    /// Creates a holder without a lease, which may use only the floors of its member.
    pub fn new(id: HolderId, plan: QuotaPlan, now: MonotonicTime) -> LeaseHolder {
        let usage = (0..plan.quotas.len()).map(|quota| QuotaUsage::new(&plan, quota, now)).collect();
        LeaseHolder {
            id,
            layout: plan.layout_hash(),
            plan,
            usage,
            sequence: 0,
            requested_at: now,
            awaits_grant: false,
            lease_expires_at: now,
            has_lease: false,
            is_shutting_down: false,
            fenced: false,
        }
    }

    /// Acquires one connection or event of each of these quotas, given as indices in the plan.
    ///
    /// # Errors
    ///
    /// The first exhausted quota. In this case nothing is acquired.
    pub fn acquire(&mut self, now: MonotonicTime, quotas: &[usize]) -> Result<(), Rejection> {
        self.expire_lease(now);
        for quota in quotas {
            self.usage[*quota].refill(now);
        }
        if let Some(exhausted) = quotas.iter().copied().find(|quota| !self.usage[*quota].has_capacity()) {
            return Err(self.reject(now, exhausted));
        }
        for quota in quotas {
            self.usage[*quota].consume();
        }
        Ok(())
    }

    /// Checks that this node may still use what it has acquired of these quotas: its lease may have expired since.
    ///
    /// # Errors
    ///
    /// The first quota of which more is in use than allowed.
    pub fn check_levels(&mut self, now: MonotonicTime, quotas: &[usize]) -> Result<(), Rejection> {
        self.expire_lease(now);
        match quotas.iter().copied().find(|quota| self.usage[*quota].excess() > 0) {
            Some(exceeded) => Err(self.reject(now, exceeded)),
            None => Ok(()),
        }
    }

    /// Whether more of these quotas is in use than this node may use at this time, at which its lease may have expired.
    pub fn exceeds_levels(&self, now: MonotonicTime, quotas: &[usize]) -> bool {
        let has_expired = self.has_lease && self.lease_expires_at <= now;
        quotas.iter().map(|quota| &self.usage[*quota]).any(|usage| {
            let excess = if has_expired { usage.excess_over_floor() } else { usage.excess() };
            excess > 0
        })
    }

    fn reject(&mut self, now: MonotonicTime, quota: usize) -> Rejection {
        let lease_duration = self.plan.lease_duration();
        let level_wait = lease_duration / LEASE_RENEWALS_PER_TERM;
        let retry_after = self.usage[quota].reject(now, level_wait, lease_duration);
        Rejection { quota, retry_after }
    }

    /// Releases the levels among these quotas when a connection that was acquired or adopted has ended.
    pub fn release(&mut self, quotas: &[usize]) {
        for quota in quotas {
            self.usage[*quota].release();
        }
    }

    /// Counts an established connection that was not acquired here against the levels among these quotas, even if
    /// they are exhausted.
    pub fn adopt(&mut self, quotas: &[usize]) {
        for quota in quotas {
            self.usage[*quota].adopt();
        }
    }

    /// The number of connections that exceed what this node may use of a level and have to end.
    pub fn excess(&mut self, now: MonotonicTime, quota: usize) -> u64 {
        self.advance(now);
        self.usage[quota].excess()
    }

    /// The units of a quota that this node may use now: floor and allotment.
    pub fn allowed_units(&mut self, now: MonotonicTime, quota: usize) -> u64 {
        self.advance(now);
        self.usage[quota].allowed_units()
    }

    /// When the next lease request is due; sooner while attempts are rejected or the node is shutting down.
    pub fn next_request_at(&self) -> MonotonicTime {
        if self.sequence == 0 {
            return self.requested_at;
        }
        let is_urgent = self.is_shutting_down || self.usage.iter().any(QuotaUsage::has_new_rejections);
        let renewals = if is_urgent { URGENT_LEASE_RENEWALS_PER_TERM } else { LEASE_RENEWALS_PER_TERM };
        self.requested_at + self.plan.lease_duration() / renewals
    }

    /// Creates the next lease request, which has to be sent immediately. From now on this node uses no more than the
    /// units that the request retains.
    pub fn create_request(&mut self, now: MonotonicTime) -> LeaseRequest {
        self.advance(now);
        let since_last_request =
            now.saturating_duration_since(self.requested_at).max(Duration::from_nanos(1));
        let returns_allotment = self.is_shutting_down || self.fenced;
        for usage in &mut self.usage {
            usage.update_wanted(since_last_request, returns_allotment);
            usage.lower_allotment(returns_allotment);
            usage.clamp_tokens();
        }
        self.sequence += 1;
        self.requested_at = now;
        self.awaits_grant = true;
        LeaseRequest {
            holder: self.id,
            sequence: self.sequence,
            layout: self.layout,
            retained: self.usage.iter().map(QuotaUsage::retained).collect(),
            wanted: self.usage.iter().map(QuotaUsage::wanted).collect(),
            shutting_down: self.is_shutting_down && !self.usage.iter().any(QuotaUsage::has_connections),
        }
    }

    /// Accepts a grant. Returns false if the grant is ignored because it does not answer the newest request, is a
    /// duplicate, is incomplete, or arrives after its lease has expired.
    pub fn on_grant(&mut self, now: MonotonicTime, grant: &LeaseGrant) -> bool {
        self.advance(now);
        let expires_at = self.requested_at + self.plan.lease_duration();
        let answers_newest_request = grant.holder == self.id && grant.sequence == self.sequence;
        let is_complete = grant.allotments.len() == self.usage.len();
        if !self.awaits_grant || !answers_newest_request || expires_at <= now || !is_complete {
            return false;
        }
        self.awaits_grant = false;
        self.has_lease = true;
        self.lease_expires_at = expires_at;
        self.fenced = grant.fenced;
        for (quota, usage) in self.usage.iter_mut().enumerate() {
            let target = grant.targets.get(quota).copied().unwrap_or(0);
            usage.set_allotment(grant.allotments[quota], target);
            usage.clamp_tokens();
        }
        true
    }

    /// Starts the shutdown: from now on the node requests no units and returns those that are not in use.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// The remaining time of the lease; zero if there is none.
    pub fn lease_remaining(&self, now: MonotonicTime) -> Duration {
        self.lease_expires_at.saturating_duration_since(now)
    }

    /// The state of a quota, for log lines.
    pub fn status(&self, quota: usize) -> QuotaStatus {
        self.usage[quota].status()
    }

    /// Drops the allotments if the lease has expired, and refills all token buckets up to now.
    fn advance(&mut self, now: MonotonicTime) {
        self.expire_lease(now);
        self.refill_all(now);
    }

    fn expire_lease(&mut self, now: MonotonicTime) {
        if !self.has_lease || now < self.lease_expires_at {
            return;
        }
        self.has_lease = false;
        self.refill_all(self.lease_expires_at);
        for usage in &mut self.usage {
            usage.expire_allotment();
            usage.clamp_tokens();
        }
    }

    fn refill_all(&mut self, now: MonotonicTime) {
        for usage in &mut self.usage {
            usage.refill(now);
        }
    }
}

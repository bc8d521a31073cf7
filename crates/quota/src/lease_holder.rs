//! The lease holder: what one node may use now, what it requests, and what it gives back.

use crate::plan::QuotaPlan;
use crate::protocol::{HolderId, LeaseGrant, LeaseRequest};
use crate::quota_usage::{QuotaStatus, QuotaUsage};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How often a holder renews its lease in the time of one.
const LEASE_RENEWALS_PER_TERM: u32 = 3;
/// How often it does while attempts are rejected or the node shuts down.
const URGENT_LEASE_RENEWALS_PER_TERM: u32 = 12;

/// An attempt that exceeds a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The index in the plan of the quota that is exhausted.
    pub quota: usize,
    /// How long the attempt should wait before it is retried.
    pub retry_after: Duration,
}

/// The allotments of one node. It fails safe: without grants it comes down to its floors.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    id: HolderId,
    plan: QuotaPlan,
    layout: u64,
    /// One for each quota of the plan.
    usage: Vec<QuotaUsage>,
    /// The number of the newest request; zero before the first.
    sequence: u64,
    requested_at: MonotonicTime,
    awaits_grant: bool,
    lease_expires_at: MonotonicTime,
    has_lease: bool,
    is_shutting_down: bool,
    fenced: bool,
}

impl LeaseHolder {
    /// A holder with the floors of its member and without a lease.
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

    /// Acquires one unit of use (a connection or an event) of each of these quotas, given as indices in the plan.
    ///
    /// # Errors
    ///
    /// The first quota that is exhausted; then nothing is acquired.
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

    fn reject(&mut self, now: MonotonicTime, quota: usize) -> Rejection {
        let lease_duration = self.plan.lease_duration();
        let level_wait = lease_duration / LEASE_RENEWALS_PER_TERM;
        let retry_after = self.usage[quota].reject(now, level_wait, lease_duration);
        Rejection { quota, retry_after }
    }

    /// Releases the levels among these quotas: a connection that was acquired or adopted has ended.
    pub fn release(&mut self, quotas: &[usize]) {
        for quota in quotas {
            self.usage[*quota].release();
        }
    }

    /// Counts an established connection that was not acquired here in the levels among these quotas, whether there
    /// is capacity or not.
    pub fn adopt(&mut self, quotas: &[usize]) {
        for quota in quotas {
            self.usage[*quota].adopt();
        }
    }

    /// How many connections of a level exceed what this node may use, and have to end.
    pub fn excess(&mut self, now: MonotonicTime, quota: usize) -> u64 {
        self.advance(now);
        self.usage[quota].excess()
    }

    /// The units of a quota that this node may use now, floor and allotment.
    pub fn allowed_units(&mut self, now: MonotonicTime, quota: usize) -> u64 {
        self.advance(now);
        self.usage[quota].allowed_units()
    }

    /// When the next lease request is due: sooner while attempts are rejected or the node shuts down.
    pub fn next_request_at(&self) -> MonotonicTime {
        if self.sequence == 0 {
            return self.requested_at;
        }
        let is_urgent = self.is_shutting_down || self.usage.iter().any(QuotaUsage::has_new_rejections);
        let renewals = if is_urgent { URGENT_LEASE_RENEWALS_PER_TERM } else { LEASE_RENEWALS_PER_TERM };
        self.requested_at + self.plan.lease_duration() / renewals
    }

    /// The next lease request, to be sent at once: from now on this node uses no more than the request retains.
    pub fn create_request(&mut self, now: MonotonicTime) -> LeaseRequest {
        self.advance(now);
        let since_last_request =
            now.saturating_duration_since(self.requested_at).max(Duration::from_nanos(1));
        let gives_back = self.is_shutting_down || self.fenced;
        for usage in &mut self.usage {
            usage.update_wanted(since_last_request, gives_back);
            usage.lower_allotment(gives_back);
            usage.clip_bucket();
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

    /// Accepts a grant; false if it is ignored, since it is for an older request, arrived before, or arrives after the
    /// end of its lease.
    pub fn on_grant(&mut self, now: MonotonicTime, grant: &LeaseGrant) -> bool {
        self.advance(now);
        let expires_at = self.requested_at + self.plan.lease_duration();
        let answers_newest = grant.holder == self.id && grant.sequence == self.sequence;
        let is_complete = grant.allotments.len() == self.usage.len();
        if !self.awaits_grant || !answers_newest || expires_at <= now || !is_complete {
            return false;
        }
        self.awaits_grant = false;
        self.has_lease = true;
        self.lease_expires_at = expires_at;
        self.fenced = grant.fenced;
        for (quota, usage) in self.usage.iter_mut().enumerate() {
            let target = grant.targets.get(quota).copied().unwrap_or(0);
            usage.set_allotment(grant.allotments[quota], target);
            usage.clip_bucket();
        }
        true
    }

    /// Starts the shutdown: from now on the node wants nothing and gives back what it does not use.
    pub fn shut_down(&mut self) {
        self.is_shutting_down = true;
    }

    /// How long the lease is still valid; zero while the node lives on its floors.
    pub fn lease_remaining(&self, now: MonotonicTime) -> Duration {
        self.lease_expires_at.saturating_duration_since(now)
    }

    /// The state of a quota, for log lines.
    pub fn status(&self, quota: usize) -> QuotaStatus {
        self.usage[quota].status()
    }

    /// Expires the lease if it has ended, and brings all buckets up to now.
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
            usage.clip_bucket();
        }
    }

    fn refill_all(&mut self, now: MonotonicTime) {
        for usage in &mut self.usage {
            usage.refill(now);
        }
    }
}

//! The use of one quota at one node: its floor and allotment, what is in use, and the token bucket of a rate.

use crate::plan::QuotaPlan;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The tokens of one event: a rate of one unit (a thousandth of an event per second) yields one token per nanosecond.
const TOKENS_PER_EVENT: u64 = 1_000_000_000_000;
/// What a node wants falls by at most a quarter from request to request, so that allotments don't follow noise.
const WANTED_DECAY_NUMERATOR: u64 = 3;
const WANTED_DECAY_DENOMINATOR: u64 = 4;
/// A node wants a sixteenth more than it used.
const HEADROOM_DIVISOR: u64 = 16;
/// An allotment that exceeds its target by at most a sixteenth of itself is retained.
const TARGET_TOLERANCE_DIVISOR: u64 = 16;
/// The largest Retry-After.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The state of one quota at one node, for log lines. Units are connections, or thousandths of an event per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// The total of the fleet, in units.
    pub total: u64,
    /// The node's floor, in units.
    pub floor: u64,
    /// The node's allotment beside its floor, in units.
    pub allotment: u64,
    /// Connections in use now, or events since the start.
    pub used: u64,
    /// Rejections since the start.
    pub rejected: u64,
}

/// One quota at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct QuotaUsage {
    is_level: bool,
    total: u64,
    floor: u64,
    /// The burst of the fleet beyond the one event of each member.
    shared_burst: u64,
    /// Granted until the lease expires.
    allotment: u64,
    /// Of a level: the allotment when the last lease expired.
    allotment_at_expiry: u64,
    target: u64,
    /// Connections now; events since the start.
    used: u64,
    rejected: u64,
    used_at_last_request: u64,
    rejected_at_last_request: u64,
    wanted: u64,
    /// The bucket of a rate, in tokens, as of `refilled_at`.
    tokens: u64,
    refilled_at: MonotonicTime,
    /// The latest time that a rejected attempt was given to retry at.
    last_retry_at: MonotonicTime,
}

impl QuotaUsage {
    /// Nothing in use and no allotment. The bucket starts empty, since a previous process of the member may have
    /// spent the tokens of this second.
    pub(crate) fn new(plan: &QuotaPlan, quota: usize, now: MonotonicTime) -> QuotaUsage {
        let settings = &plan.quotas[quota];
        QuotaUsage {
            is_level: settings.resource.is_level(),
            total: settings.total_units(),
            floor: plan.floor_units(quota),
            shared_burst: settings.burst.saturating_sub(plan.members.len() as u64),
            allotment: 0,
            allotment_at_expiry: 0,
            target: 0,
            used: 0,
            rejected: 0,
            used_at_last_request: 0,
            rejected_at_last_request: 0,
            wanted: 0,
            tokens: 0,
            refilled_at: now,
            last_retry_at: MonotonicTime::ZERO,
        }
    }

    /// The units that this node may use: floor and allotment.
    pub(crate) fn allowed_units(&self) -> u64 {
        self.floor + self.allotment
    }

    pub(crate) fn has_capacity(&self) -> bool {
        if self.is_level {
            self.used < self.allowed_units()
        } else {
            self.tokens >= TOKENS_PER_EVENT
        }
    }

    /// Counts one connection or event; the caller has checked the capacity.
    pub(crate) fn consume(&mut self) {
        self.used += 1;
        if !self.is_level {
            self.tokens = self.tokens.saturating_sub(TOKENS_PER_EVENT);
        }
    }

    /// Counts a connection as ended.
    pub(crate) fn release(&mut self) {
        if self.is_level {
            self.used = self.used.saturating_sub(1);
        }
    }

    /// Counts a connection whether there is capacity for it or not.
    pub(crate) fn adopt(&mut self) {
        if self.is_level {
            self.used += 1;
        }
    }

    /// The connections that exceed floor and allotment.
    pub(crate) fn excess(&self) -> u64 {
        if self.is_level {
            self.used.saturating_sub(self.allowed_units())
        } else {
            0
        }
    }

    /// Counts a rejection and gives the Retry-After of the rejected attempt: when there is capacity for it, as far as
    /// this node knows, if all that were rejected before it retry too.
    pub(crate) fn reject(
        &mut self,
        now: MonotonicTime,
        level_wait: Duration,
        lease_duration: Duration,
    ) -> Duration {
        self.rejected += 1;
        if self.is_level {
            return level_wait;
        }
        // One after the other, from the time at which the bucket has an event again.
        let rate = self.allowed_units();
        let interval = TOKENS_PER_EVENT.checked_div(rate).map_or(MAX_RETRY_AFTER, Duration::from_nanos);
        let missing_tokens = TOKENS_PER_EVENT - self.tokens;
        let refilled_in = missing_tokens.checked_div(rate).map_or(lease_duration, Duration::from_nanos);
        let earliest = now + refilled_in;
        let after_last = self.last_retry_at + interval;
        let latest = now + MAX_RETRY_AFTER;
        self.last_retry_at = earliest.max(after_last).min(latest);
        self.last_retry_at.saturating_duration_since(now)
    }

    pub(crate) fn has_new_rejections(&self) -> bool {
        self.rejected > self.rejected_at_last_request
    }

    /// Brings the bucket of a rate up to now.
    pub(crate) fn refill(&mut self, now: MonotonicTime) {
        if self.is_level || now <= self.refilled_at {
            return;
        }
        let added =
            now.saturating_duration_since(self.refilled_at).as_nanos() * u128::from(self.allowed_units());
        let tokens = added.saturating_add(u128::from(self.tokens));
        self.tokens = tokens.min(u128::from(self.bucket_capacity())) as u64;
        self.refilled_at = now;
    }

    /// Drops the tokens above the bucket's capacity.
    pub(crate) fn clip_bucket(&mut self) {
        self.tokens = self.tokens.min(self.bucket_capacity());
    }

    /// The capacity of the bucket in tokens: one event of the member, and the node's share of the shared burst.
    fn bucket_capacity(&self) -> u64 {
        let shared_tokens =
            u128::from(self.shared_burst) * u128::from(self.allowed_units()) * u128::from(TOKENS_PER_EVENT);
        (shared_tokens / u128::from(self.total).max(1)) as u64 + TOKENS_PER_EVENT
    }

    /// Takes the allotment away at the end of the lease.
    pub(crate) fn expire_allotment(&mut self) {
        self.allotment_at_expiry = if self.is_level { self.allotment } else { 0 };
        self.allotment = 0;
        self.target = 0;
    }

    pub(crate) fn set_allotment(&mut self, allotment: u64, target: u64) {
        self.allotment = allotment;
        self.target = target;
    }

    /// Sets what the next lease request wants beside the floor, from what was used and rejected since the last one.
    pub(crate) fn update_wanted(&mut self, since_last_request: Duration, is_shutting_down: bool) {
        let rejected = self.rejected - self.rejected_at_last_request;
        let demand = if self.is_level {
            self.used + rejected
        } else {
            let events = u128::from(self.used - self.used_at_last_request + rejected);
            let rate = events * u128::from(TOKENS_PER_EVENT) / since_last_request.as_nanos();
            rate.min(u128::from(u64::MAX / 4)) as u64
        };
        self.used_at_last_request = self.used;
        self.rejected_at_last_request = self.rejected;
        let beside_floor = (demand + demand / HEADROOM_DIVISOR).saturating_sub(self.floor);
        let decayed = self.wanted / WANTED_DECAY_DENOMINATOR * WANTED_DECAY_NUMERATOR;
        self.wanted = if is_shutting_down { 0 } else { beside_floor.max(decayed) };
    }

    /// Lowers the allotment to what the next lease request retains: the target, but no less than is in use.
    pub(crate) fn lower_allotment(&mut self, is_shutting_down: bool) {
        let above_target = self.allotment.saturating_sub(self.target);
        let retained = if is_shutting_down {
            0
        } else if above_target <= self.allotment / TARGET_TOLERANCE_DIVISOR {
            self.allotment
        } else {
            self.target
        };
        let in_use = if self.is_level { self.used.saturating_sub(self.floor) } else { 0 };
        self.allotment = retained.max(in_use).min(self.allotment);
    }

    /// The units beside the floor that this node still uses, with or without a lease: connections above the floor
    /// remain established until they end.
    pub(crate) fn retained(&self) -> u64 {
        if self.is_level && self.allotment == 0 {
            self.allotment_at_expiry.min(self.used.saturating_sub(self.floor))
        } else {
            self.allotment
        }
    }

    pub(crate) fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Whether connections are in use.
    pub(crate) fn has_connections(&self) -> bool {
        self.is_level && self.used > 0
    }

    pub(crate) fn status(&self) -> QuotaStatus {
        QuotaStatus {
            total: self.total,
            floor: self.floor,
            allotment: self.allotment,
            used: self.used,
            rejected: self.rejected,
        }
    }
}

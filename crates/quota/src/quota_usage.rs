//! The use of one quota at one node: floor, allotment, connections or events counted, and the token bucket of a rate.

use crate::plan::QuotaPlan;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The tokens that one event costs. A rate of one unit (a thousandth of an event per second) adds one token per
/// nanosecond.
const TOKENS_PER_EVENT: u64 = 1_000_000_000_000;
/// The wanted units fall by at most a quarter from one request to the next, so that allotments do not follow
/// short-term fluctuations.
const WANTED_DECAY_NUMERATOR: u64 = 3;
const WANTED_DECAY_DENOMINATOR: u64 = 4;
/// A node requests a sixteenth more than its demand.
const HEADROOM_DIVISOR: u64 = 16;
/// An allotment is retained in full if it exceeds its target by at most a sixteenth of itself.
const TARGET_TOLERANCE_DIVISOR: u64 = 16;
/// Upper limit on the Retry-After of a rejected request.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// The state of one quota at one node, for log lines. Units are connections, or thousandths of an event per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStatus {
    /// The total of the fleet, in units.
    pub total: u64,
    /// The node's floor, in units.
    pub floor: u64,
    /// The node's allotment in addition to its floor, in units.
    pub allotment: u64,
    /// Current connections, or events since the node started.
    pub used: u64,
    /// Rejections since the node started.
    pub rejected: u64,
}

/// The state of one quota at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct QuotaUsage {
    is_level: bool,
    total: u64,
    floor: u64,
    /// The part of the burst that is shared by the fleet, beyond one event for each member.
    shared_burst: u64,
    /// The granted units; zero without a lease.
    allotment: u64,
    /// The allotment of a level when the last lease expired; zero for a rate.
    allotment_at_expiry: u64,
    target: u64,
    /// Current connections of a level, or events of a rate since the start.
    used: u64,
    rejected: u64,
    used_at_last_request: u64,
    rejected_at_last_request: u64,
    wanted: u64,
    /// The tokens in the bucket of a rate as of `refilled_at`.
    tokens: u64,
    refilled_at: MonotonicTime,
    /// The latest retry time that was given to a rejected attempt.
    last_retry_at: MonotonicTime,
}

impl QuotaUsage {
    /// Creates a state with nothing in use and no allotment. The bucket starts empty because a previous process of
    /// the member may already have spent the tokens of the current second.
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

    /// The units that this node may use now: floor and allotment.
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

    /// Counts one connection or event. The caller must have checked [`QuotaUsage::has_capacity`].
    pub(crate) fn consume(&mut self) {
        self.used += 1;
        if !self.is_level {
            self.tokens = self.tokens.saturating_sub(TOKENS_PER_EVENT);
        }
    }

    /// Removes an ended connection from a level.
    pub(crate) fn release(&mut self) {
        if self.is_level {
            self.used = self.used.saturating_sub(1);
        }
    }

    /// Adds a connection to a level, whether it has capacity or not.
    pub(crate) fn adopt(&mut self) {
        if self.is_level {
            self.used += 1;
        }
    }

    /// The number of connections of a level that exceed floor and allotment.
    pub(crate) fn excess(&self) -> u64 {
        self.excess_over(self.allowed_units())
    }

    /// The number of connections of a level that exceed the floor.
    pub(crate) fn excess_over_floor(&self) -> u64 {
        self.excess_over(self.floor)
    }

    fn excess_over(&self, allowed: u64) -> u64 {
        if self.is_level {
            self.used.saturating_sub(allowed)
        } else {
            0
        }
    }

    /// Counts a rejection and returns the Retry-After of the rejected attempt. For a rate, that is the expected time
    /// until there is capacity for this attempt if all attempts that were rejected before it retry too.
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
        // Retries are spaced by the time that one event takes to refill, starting when the bucket next has one event.
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

    /// Adds the tokens of a rate that have accrued since the last refill.
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

    /// Discards the tokens above the bucket's capacity, which falls with the allotment.
    pub(crate) fn clamp_tokens(&mut self) {
        self.tokens = self.tokens.min(self.bucket_capacity());
    }

    /// The capacity of the bucket in tokens: one event, plus this node's share of the shared burst.
    fn bucket_capacity(&self) -> u64 {
        let shared_tokens =
            u128::from(self.shared_burst) * u128::from(self.allowed_units()) * u128::from(TOKENS_PER_EVENT);
        (shared_tokens / u128::from(self.total).max(1)) as u64 + TOKENS_PER_EVENT
    }

    /// Removes the allotment when the lease has expired.
    pub(crate) fn expire_allotment(&mut self) {
        self.allotment_at_expiry = if self.is_level { self.allotment } else { 0 };
        self.allotment = 0;
        self.target = 0;
    }

    pub(crate) fn set_allotment(&mut self, allotment: u64, target: u64) {
        self.allotment = allotment;
        self.target = target;
    }

    /// Computes the units that the next lease request claims in addition to the floor, from the use and the rejections
    /// since the last request.
    pub(crate) fn update_wanted(&mut self, since_last_request: Duration, returns_allotment: bool) {
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
        let above_floor = (demand + demand / HEADROOM_DIVISOR).saturating_sub(self.floor);
        let decayed = self.wanted / WANTED_DECAY_DENOMINATOR * WANTED_DECAY_NUMERATOR;
        self.wanted = if returns_allotment { 0 } else { above_floor.max(decayed) };
    }

    /// Lowers the allotment to what the next lease request retains: the target, but no less than is in use.
    pub(crate) fn lower_allotment(&mut self, returns_allotment: bool) {
        let above_target = self.allotment.saturating_sub(self.target);
        let retained = if returns_allotment {
            0
        } else if above_target <= self.allotment / TARGET_TOLERANCE_DIVISOR {
            self.allotment
        } else {
            self.target
        };
        let in_use = if self.is_level { self.used.saturating_sub(self.floor) } else { 0 };
        self.allotment = retained.max(in_use).min(self.allotment);
    }

    /// The units that the next lease request retains in addition to the floor. Connections above the floor use units
    /// until they end, even after the lease has expired.
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

    /// Whether this is a level with current connections.
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

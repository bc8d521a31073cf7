//! Admission control for retries: reconnecting clients, retries by clients, and attempts after a failed one.
//!
//! The first attempt for a new client is never delayed here. Retries are limited by a congestion window of attempts in
//! flight. It is one after a start of the node; fast connection set-ups widen it, slow and failed ones narrow it. While
//! it is below [`THROTTLE_BELOW`] the node is throttled: retries are also paced, and a request that would be queued
//! past its deadline is rejected immediately.

use crate::model::{AttemptKind, Notice, Outcome};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A connection set-up is fast if it takes no longer than the objective of its class divided by this.
const FAST_DIVISOR: u32 = 2;
/// A fast set-up multiplies the window by this; two in a row at least double it.
const FAST_FACTOR: f64 = 1.5;
/// A slow set-up multiplies the window by this.
const SLOW_FACTOR: f64 = 0.7;
/// A failed attempt multiplies the window by this. A single failure may be due to that server alone.
const FAILURE_FACTOR: f64 = 0.5;
/// Upper limit of the window: the retries in flight if all set-ups are fast. The next slow set-up narrows it again.
const MAX_WINDOW: f64 = 64.0;
/// The node is throttled while the window is below this, for example after two failures that follow a start.
const THROTTLE_BELOW: f64 = 0.5;
/// Lower limit of the window, at which half of the node's set-up rate is still admitted.
const MIN_WINDOW: f64 = 0.25;

/// A decision on the next attempt of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// The attempt may be sent, or no decision has been made yet.
    #[default]
    Admitted,
    /// The request has to wait and counts as queued.
    Queued,
}

/// The congestion window for retries, and the number of retries queued for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdmission {
    window: f64,
    in_flight: u32,
    queued: u32,
    /// While throttled, no retry is sent before this time.
    next_retry_at: MonotonicTime,
    /// When a failure last narrowed the window. Failures of attempts that were sent before then have the same cause and
    /// do not narrow it again.
    last_failure_at: MonotonicTime,
    throttled: bool,
}

impl Default for RetryAdmission {
    fn default() -> RetryAdmission {
        RetryAdmission {
            window: 1.0,
            in_flight: 0,
            queued: 0,
            next_retry_at: MonotonicTime::ZERO,
            last_failure_at: MonotonicTime::ZERO,
            throttled: false,
        }
    }
}

impl RetryAdmission {
    /// Decides whether an attempt may be sent now. `previous` is the last decision on its request.
    pub fn decide(&mut self, now: MonotonicTime, kind: AttemptKind, previous: Admission) -> Admission {
        self.dequeue(previous);
        let is_full = self.in_flight >= self.window.max(1.0) as u32;
        let is_paced = self.throttled && now < self.next_retry_at;
        if kind == AttemptKind::Retry && (is_full || is_paced) {
            self.queued += 1;
            Admission::Queued
        } else {
            Admission::Admitted
        }
    }

    /// Whether a queued request would have to wait past its deadline at this pacing interval.
    pub fn misses_deadline(&self, now: MonotonicTime, interval: Duration, deadline: MonotonicTime) -> bool {
        self.throttled && now < self.next_retry_at && now + self.queue_delay(interval) >= deadline
    }

    /// Returns the time until all queued requests have been sent at this pacing interval.
    pub fn queue_delay(&self, interval: Duration) -> Duration {
        interval.saturating_mul(self.queued)
    }

    /// Removes a request from the queue count if `previous`, the last decision on it, queued it.
    pub fn dequeue(&mut self, previous: Admission) {
        if previous == Admission::Queued {
            self.queued = self.queued.saturating_sub(1);
        }
    }

    /// Records a sent attempt. While throttled, the next retry is sent no earlier than `next_retry_at`.
    pub fn on_sent(&mut self, next_retry_at: MonotonicTime) {
        self.in_flight += 1;
        self.next_retry_at = next_retry_at;
    }

    /// Records that an attempt of a class with this objective succeeded after `setup_time`.
    pub fn on_established(&mut self, setup_time: Duration, objective: Duration) -> Option<Notice> {
        self.in_flight = self.in_flight.saturating_sub(1);
        let factor = if setup_time <= objective / FAST_DIVISOR { FAST_FACTOR } else { SLOW_FACTOR };
        self.window = (self.window * factor).clamp(MIN_WINDOW, MAX_WINDOW);
        self.update_throttle()
    }

    /// Records that an attempt sent at `sent_at` ended without success. Only errors and timeouts narrow the window, as
    /// their cause may be something that all servers share.
    pub fn on_attempt_ended(
        &mut self,
        outcome: Outcome,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<Notice> {
        self.in_flight = self.in_flight.saturating_sub(1);
        let has_failed = matches!(outcome, Outcome::Error | Outcome::Timeout);
        if has_failed && sent_at >= self.last_failure_at {
            self.last_failure_at = now;
            self.window = (self.window * FAILURE_FACTOR).max(MIN_WINDOW);
        }
        self.update_throttle()
    }

    /// Returns the fraction of the node's set-up rate that is admitted while throttled; `None` if it is not.
    pub fn throttled_rate(&self) -> Option<f64> {
        self.throttled.then_some(self.window / THROTTLE_BELOW)
    }

    fn update_throttle(&mut self) -> Option<Notice> {
        let was_throttled = self.throttled;
        self.throttled = self.window < THROTTLE_BELOW;
        match (was_throttled, self.throttled) {
            (false, true) => Some(Notice::PacingStarted),
            (true, false) => Some(Notice::PacingEnded),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;

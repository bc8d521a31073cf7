//! Admission of retries: reconnecting clients, clients' retries, and attempts that follow a failed one.
//!
//! A new client's first attempt is never delayed here. Retries share a congestion window of attempts in flight: fast
//! set-ups widen it, slow and failed ones narrow it. A node that has just started begins with a window of one. While
//! the window is below [`THROTTLE_BELOW`] the node is throttled: retries also keep a pacing interval, and a request
//! that would have to queue past its deadline is rejected at once.

use crate::model::{AttemptKind, Notice, Outcome};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An attempt is fast that succeeds within its class's objective divided by this.
const FAST_DIVISOR: u32 = 2;
/// A fast set-up multiplies the window by this: two in a row double it.
const FAST_FACTOR: f64 = 1.5;
/// A slow set-up multiplies the window by this.
const SLOW_FACTOR: f64 = 0.7;
/// A failed attempt multiplies the window by this. One failure may be its server's fault alone.
const FAILURE_FACTOR: f64 = 0.5;
/// The widest window: retries in flight at once when all set-ups are fast; the next slow one narrows it at once.
const MAX_WINDOW: f64 = 64.0;
/// The node is throttled while the window is below this: two failures after a start bring it there.
const THROTTLE_BELOW: f64 = 0.5;
/// The narrowest window: half of the node's set-up rate is always admitted.
const MIN_WINDOW: f64 = 0.25;

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent, or there was no decision on it yet.
    #[default]
    Admitted,
    /// It has to wait and is counted among those queued.
    Queued,
}

/// The window of retries in flight, and the retries that are queued for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAdmission {
    window: f64,
    in_flight: u32,
    queued: u32,
    /// While throttled, no retry is sent before this time.
    next_at: MonotonicTime,
    /// When an attempt last failed. Failures of attempts that were sent before then have the same cause.
    last_failure_at: MonotonicTime,
    throttled: bool,
}

impl Default for RetryAdmission {
    fn default() -> RetryAdmission {
        RetryAdmission {
            window: 1.0,
            in_flight: 0,
            queued: 0,
            next_at: MonotonicTime::ZERO,
            last_failure_at: MonotonicTime::ZERO,
            throttled: false,
        }
    }
}

impl RetryAdmission {
    /// Decides whether a request may be sent now. `previous` is the last decision on it.
    pub fn decide(&mut self, now: MonotonicTime, kind: AttemptKind, previous: Admission) -> Admission {
        self.dequeue(previous);
        let is_full = self.in_flight >= self.window.max(1.0) as u32;
        let is_paced = self.throttled && now < self.next_at;
        if kind == AttemptKind::Retry && (is_full || is_paced) {
            self.queued += 1;
            Admission::Queued
        } else {
            Admission::Admitted
        }
    }

    /// Whether a queued request would have to wait past its deadline, at this pacing interval.
    pub fn misses_deadline(&self, now: MonotonicTime, interval: Duration, deadline: MonotonicTime) -> bool {
        self.throttled && now < self.next_at && now + self.queue_delay(interval) >= deadline
    }

    /// How long it takes at this pacing interval until all queued requests have been sent.
    pub fn queue_delay(&self, interval: Duration) -> Duration {
        interval.saturating_mul(self.queued)
    }

    /// A request no longer waits for admission, if it was queued by the last decision on it.
    pub fn dequeue(&mut self, previous: Admission) {
        if previous == Admission::Queued {
            self.queued = self.queued.saturating_sub(1);
        }
    }

    /// An attempt was sent. While throttled, the next retry is sent no sooner than `next_at`.
    pub fn on_sent(&mut self, next_at: MonotonicTime) {
        self.in_flight += 1;
        self.next_at = next_at;
    }

    /// An attempt succeeded after `setup_time`; its class has this objective.
    pub fn on_established(&mut self, setup_time: Duration, objective: Duration) -> Option<Notice> {
        self.in_flight = self.in_flight.saturating_sub(1);
        let factor = if setup_time <= objective / FAST_DIVISOR { FAST_FACTOR } else { SLOW_FACTOR };
        self.window = (self.window * factor).clamp(MIN_WINDOW, MAX_WINDOW);
        self.update_throttle()
    }

    /// An attempt that was sent at `sent_at` ended before it succeeded. Errors and timeouts may be due to what all
    /// servers share; other outcomes do not narrow the window.
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

    /// While throttled: the fraction of the node's set-up rate that is admitted.
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

//! Outlier detection for one endpoint: how long a server is ejected after a failure.
//!
//! An endpoint that discovery has confirmed, or that has answered, is *confirmed*: its failures eject it for a Full
//! Jitter time whose limit doubles from [`EJECTION_BASE`] to [`EJECTION_CAP`]. An endpoint that only a cached list
//! contains is *unconfirmed* and may be long gone. While there are others it gets one attempt at a time until one
//! succeeds; its first failure ejects it for up to [`EJECTION_CAP`], its second for longer than that. So within any
//! `EJECTION_CAP` it costs two attempts, and more only where all eligible servers have an attempt in flight.

use super::backoff::full_jitter_limit;
use crate::model::{ListKind, Outcome};
use crate::random::uniform_duration_up_to;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The limit of the first ejection; it doubles with each failure in a row.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// A confirmed endpoint is ejected no longer than this, so that a server that has recovered is tried again.
pub const EJECTION_CAP: Duration = Duration::from_secs(30);

/// The outlier state of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutlierState {
    /// Consecutive failures.
    failures: u32,
    ejected_until: MonotonicTime,
    /// Only a cached list contains it. Not handed over: the next process receives a newer list.
    #[serde(skip)]
    unconfirmed: bool,
}

impl OutlierState {
    /// A list of this kind contains the endpoint.
    pub fn on_listed(&mut self, kind: ListKind) {
        self.unconfirmed = kind == ListKind::Saved;
    }

    /// The server's process has restarted: failures of the one before no longer count.
    pub fn reset(&mut self) {
        *self = OutlierState::default();
    }

    /// Discovery has sent a list: the cached entries that it did not remove exist.
    pub fn confirm(&mut self) {
        if self.unconfirmed {
            self.reset();
        }
    }

    /// Whether attempts may not be sent to it now.
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until > now
    }

    /// Whether it takes one more attempt beside those in flight. An unconfirmed endpoint takes one at a time.
    pub fn admits_another(&self, in_flight: usize) -> bool {
        !self.unconfirmed || in_flight == 0
    }

    /// Whether it may be long gone: then a reset counts as a failure too.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// An attempt succeeded, or a connection was established before this process started.
    pub fn on_success(&mut self) {
        self.reset();
    }

    /// An attempt failed. `roll` is a uniform random number. An error is an answer, which confirms the endpoint.
    pub fn on_failure(&mut self, now: MonotonicTime, roll: u64, outcome: Outcome) {
        self.failures += 1;
        self.unconfirmed &= outcome != Outcome::Error;
        let ejection = match (self.unconfirmed, self.failures) {
            (true, 1) => uniform_duration_up_to(roll, EJECTION_CAP),
            (true, _) => EJECTION_CAP + uniform_duration_up_to(roll, EJECTION_CAP),
            (false, failures) => {
                let limit = full_jitter_limit(EJECTION_BASE, EJECTION_CAP, failures);
                uniform_duration_up_to(roll, limit)
            }
        };
        self.ejected_until = self.ejected_until.max(now + ejection);
    }
}

#[cfg(test)]
mod tests;

//! Outlier detection for one endpoint: whether and how long a server is ejected after a failure.
//!
//! An endpoint that discovery has confirmed or that has answered is *confirmed*. Each failure ejects it for a Full
//! Jitter time whose limit doubles from [`EJECTION_BASE`] to [`EJECTION_CAP`]. An endpoint that only a cached list
//! contains is *unconfirmed*: it may have been removed long ago. Until an attempt succeeds it gets one attempt at a
//! time, as long as other servers are eligible. Its first failure ejects it for up to [`EJECTION_CAP`], further ones
//! for longer than that. It therefore costs at most two attempts within any `EJECTION_CAP`, unless all eligible servers
//! are unconfirmed and have an attempt in flight.

use super::backoff::full_jitter_limit;
use crate::model::{ListKind, Outcome};
use crate::random::uniform_duration_up_to;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Base of the limit of an ejection, which doubles with each consecutive failure.
const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Upper limit of a confirmed endpoint's ejection, so that a server that has recovered is tried again.
pub const EJECTION_CAP: Duration = Duration::from_secs(30);

/// The outlier state of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutlierState {
    /// Failures since the last success or reset.
    failures: u32,
    ejected_until: MonotonicTime,
    /// Only a cached list contains the endpoint. Not part of a handover, as the successor receives a newer list.
    #[serde(skip)]
    unconfirmed: bool,
}

impl OutlierState {
    /// Records that a list of this kind contains the endpoint.
    pub fn on_listed(&mut self, kind: ListKind) {
        self.unconfirmed = kind == ListKind::Saved;
    }

    /// Resets the state to that of a confirmed endpoint without failures, for example after a restart of the server.
    pub fn reset(&mut self) {
        *self = OutlierState::default();
    }

    /// Confirms the endpoint: discovery has sent a list and has not removed it.
    pub fn confirm(&mut self) {
        if self.unconfirmed {
            self.reset();
        }
    }

    /// Whether the endpoint is ejected: no attempts may be sent to it.
    pub fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until > now
    }

    /// Whether one more attempt may be sent, given the number in flight. An unconfirmed endpoint gets one at a time.
    pub fn admits_another(&self, in_flight: usize) -> bool {
        !self.unconfirmed || in_flight == 0
    }

    /// Whether the endpoint is unconfirmed. If so, a reset counts as a failure too.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Records that an attempt succeeded, or that a connection was resumed from before this process started.
    pub fn on_success(&mut self) {
        self.reset();
    }

    /// Records a failed attempt. `random` is a uniform random number. An error answer confirms the endpoint.
    pub fn on_failure(&mut self, now: MonotonicTime, random: u64, outcome: Outcome) {
        self.failures += 1;
        self.unconfirmed &= outcome != Outcome::Error;
        let ejection = match (self.unconfirmed, self.failures) {
            (true, 1) => uniform_duration_up_to(random, EJECTION_CAP),
            (true, _) => EJECTION_CAP + uniform_duration_up_to(random, EJECTION_CAP),
            (false, failures) => {
                let limit = full_jitter_limit(EJECTION_BASE, EJECTION_CAP, failures);
                uniform_duration_up_to(random, limit)
            }
        };
        self.ejected_until = self.ejected_until.max(now + ejection);
    }
}

#[cfg(test)]
mod tests;

//! The health of one server as this node has observed it: ejection, latency, resets, and when it last sent there.
//!
//! A handover transfers the serialized form to other versions of this program: its names are fixed.

use super::latency_overload::LatencyOverload;
use super::outlier::OutlierState;
use super::recent_resets::RecentResets;
use super::slow_start::ServerRamp;
use crate::model::{ListKind, Outcome, Settings};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The health of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerHealth {
    #[serde(flatten)]
    latency: LatencyOverload,
    #[serde(rename = "sent_at")]
    last_sent_at: MonotonicTime,
    #[serde(flatten)]
    resets: RecentResets,
    #[serde(rename = "trust")]
    outlier: OutlierState,
    /// The fraction of the connections to migrate if the health check in progress finds the server over capacity;
    /// zero while none is in progress.
    #[serde(skip)]
    pending_migration: f64,
}

/// The response to a latency report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LatencyResponse {
    /// Nothing is to be done.
    None,
    /// A health check decides whether to migrate.
    CheckHealth,
    /// This fraction of the connections is to be migrated.
    Migrate(f64),
}

impl ServerHealth {
    /// A list of this kind contains the server.
    pub fn on_listed(&mut self, kind: ListKind) {
        self.outlier.on_listed(kind);
    }

    /// The server's process has restarted: what was observed of the one before no longer counts.
    pub fn on_restarted(&mut self) {
        self.resets.clear();
        self.outlier.reset();
    }

    /// Discovery has sent a list: the cached entries that it did not remove exist.
    pub fn confirm(&mut self) {
        self.outlier.confirm();
    }

    /// Whether attempts may be sent there now: it is neither ejected nor overloaded.
    pub fn is_available(&self, now: MonotonicTime) -> bool {
        !self.latency.is_overloaded(now) && !self.outlier.is_ejected(now)
    }

    /// Whether it takes one more attempt beside those in flight. An unconfirmed server takes one at a time.
    pub fn admits_another(&self, in_flight: usize) -> bool {
        self.outlier.admits_another(in_flight)
    }

    /// The established connections that it reset lately; decays with time.
    pub fn recent_resets(&self, now: MonotonicTime) -> f64 {
        self.resets.count(now)
    }

    /// Its input to the slow start.
    pub fn ramp(&self, capacity_factor: f64, nominal: f64) -> ServerRamp {
        let recovering_until = self.latency.recovering_until();
        ServerRamp { capacity_factor, nominal, recovering_until, last_sent_at: self.last_sent_at }
    }

    /// An attempt was sent there.
    pub fn on_sent(&mut self, now: MonotonicTime) {
        self.last_sent_at = now;
    }

    /// An attempt succeeded, or a connection was established before this process started.
    pub fn on_success(&mut self) {
        self.outlier.on_success();
    }

    /// An attempt ended before its connection was established. `roll` draws a uniform random number, which is needed
    /// for a failure alone.
    pub fn on_attempt_ended(&mut self, now: MonotonicTime, outcome: Outcome, roll: impl FnOnce() -> u64) {
        match outcome {
            Outcome::Ok => self.on_success(),
            Outcome::Reset if !self.outlier.is_unconfirmed() => {}
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalShortage | Outcome::Rejected => {}
            Outcome::Reset | Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed => {
                self.outlier.on_failure(now, roll(), outcome);
            }
        }
    }

    /// An established connection ended. A reset tells that it was more than the server can take.
    pub fn on_connection_ended(&mut self, now: MonotonicTime, outcome: Outcome, roll: impl FnOnce() -> u64) {
        match outcome {
            Outcome::Reset => self.resets.record(now),
            _ => self.on_attempt_ended(now, outcome, roll),
        }
    }

    /// Records a latency report, by the strictest objective of all classes. A single report above it may be due to a
    /// stall: where health checks are possible, one decides whether to migrate.
    pub fn on_latency_report(
        &mut self,
        settings: &Settings,
        now: MonotonicTime,
        latency: Duration,
    ) -> LatencyResponse {
        let objectives = settings.classes.iter().filter_map(|class| class.message_latency_objective);
        let Some(objective) = objectives.min() else { return LatencyResponse::None };
        let demand = self.latency.on_report(now, latency, objective, settings.slow_start_duration);
        let Some(demand) = demand else { return LatencyResponse::None };
        if demand.is_confirmed || !settings.health_checks {
            return LatencyResponse::Migrate(demand.fraction);
        }
        let is_checking = self.pending_migration != 0.0;
        self.pending_migration = demand.fraction;
        if is_checking {
            LatencyResponse::None
        } else {
            LatencyResponse::CheckHealth
        }
    }

    /// The result of a health check. Returns the fraction of the connections to migrate.
    pub fn on_health_check(&mut self, utilization: Option<f64>) -> Option<f64> {
        let fraction = std::mem::take(&mut self.pending_migration);
        utilization.is_some_and(|utilization| utilization > 1.0).then_some(fraction)
    }
}

#[cfg(test)]
mod tests;

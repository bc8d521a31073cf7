//! The health of one server as observed by this node: ejection, latency, resets, and the time of the last attempt.
//!
//! Handovers between program versions carry the serialized form: its names must not change.

use super::latency_overload::LatencyOverload;
use super::outlier::OutlierState;
use super::recent_resets::RecentResets;
use super::slow_start::ServerRamp;
use crate::model::{ListKind, Outcome, Settings};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The observed health of one server.
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
    /// zero if no health check is in progress.
    #[serde(skip)]
    pending_fraction: f64,
}

/// The response to a latency report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LatencyResponse {
    /// No action is needed.
    None,
    /// Check the server's health; the result decides whether connections migrate.
    CheckHealth,
    /// Migrate this fraction of the connections.
    Migrate(f64),
}

impl ServerHealth {
    /// Records that a list of this kind contains the server.
    pub fn on_listed(&mut self, kind: ListKind) {
        self.outlier.on_listed(kind);
    }

    /// Discards resets and ejection: the server's process has restarted.
    pub fn on_restarted(&mut self) {
        self.resets.clear();
        self.outlier.reset();
    }

    /// Confirms the server: discovery has sent a list and has not removed it.
    pub fn confirm(&mut self) {
        self.outlier.confirm();
    }

    /// Whether attempts may be sent to the server now: it is neither ejected nor overloaded.
    pub fn is_available(&self, now: MonotonicTime) -> bool {
        !self.latency.is_overloaded(now) && !self.outlier.is_ejected(now)
    }

    /// Whether one more attempt may be sent, given the number in flight. An unconfirmed server gets one at a time.
    pub fn admits_another(&self, in_flight: usize) -> bool {
        self.outlier.admits_another(in_flight)
    }

    /// The decaying count of established connections that the server has reset.
    pub fn recent_resets(&self, now: MonotonicTime) -> f64 {
        self.resets.count(now)
    }

    /// Returns the server's input to the slow start.
    pub fn ramp(&self, capacity_factor: f64, nominal: f64) -> ServerRamp {
        let recovering_until = self.latency.recovering_until();
        ServerRamp { capacity_factor, nominal, recovering_until, last_sent_at: self.last_sent_at }
    }

    /// Records that an attempt was sent to the server.
    pub fn on_sent(&mut self, now: MonotonicTime) {
        self.last_sent_at = now;
    }

    /// Records that an attempt succeeded, or that a connection was resumed from before this process started.
    pub fn on_success(&mut self) {
        self.outlier.on_success();
    }

    /// Records that an attempt ended without an established connection. `random` draws a uniform random number; it is
    /// called only for a failure.
    pub fn on_attempt_ended(&mut self, now: MonotonicTime, outcome: Outcome, random: impl FnOnce() -> u64) {
        match outcome {
            Outcome::Ok => self.on_success(),
            Outcome::Reset if !self.outlier.is_unconfirmed() => {}
            Outcome::Cancelled | Outcome::NotSent | Outcome::LocalShortage | Outcome::Rejected => {}
            Outcome::Reset | Outcome::Error | Outcome::Timeout | Outcome::ConnectFailed => {
                self.outlier.on_failure(now, random(), outcome);
            }
        }
    }

    /// Records that an established connection ended. A reset shows that the server is over capacity.
    pub fn on_connection_ended(
        &mut self,
        now: MonotonicTime,
        outcome: Outcome,
        random: impl FnOnce() -> u64,
    ) {
        match outcome {
            Outcome::Reset => self.resets.record(now),
            _ => self.on_attempt_ended(now, outcome, random),
        }
    }

    /// Records a latency report and compares it with the strictest objective of all classes. A single report above the
    /// objective may be due to a stall: if health checks are possible, one decides whether to migrate.
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
        let is_checking = self.pending_fraction != 0.0;
        self.pending_fraction = demand.fraction;
        if is_checking {
            LatencyResponse::None
        } else {
            LatencyResponse::CheckHealth
        }
    }

    /// Records the result of a health check. Returns the fraction of the connections to migrate, if any.
    pub fn on_health_check(&mut self, utilization: Option<f64>) -> Option<f64> {
        let fraction = std::mem::take(&mut self.pending_fraction);
        utilization.is_some_and(|utilization| utilization > 1.0).then_some(fraction)
    }
}

#[cfg(test)]
mod tests;

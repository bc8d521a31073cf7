//! Overload detection by message latency, for one server.
//!
//! A server that reports high latency gets no new requests until a report says that the overload is over, or none arrives
//! in time; it is then filled slowly. While its latency is above the objective and does not fall, a fraction of its connections
//! is to be migrated.

use serde::{Deserialize, Serialize};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// A report is valid for this long, unless another one replaces it.
const REPORT_VALIDITY: Duration = Duration::from_millis(2_500);
/// The interval between the latency reports of one server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A server is overloaded above this fraction of the objective. Servers report from a third of the strictest
/// objective on, and once more below it when the overload is over.
const OVERLOAD_FRACTION: f64 = 0.33;
/// The fraction of the connections that is migrated beside what the growth of the latency calls for, so that the
/// backlog shrinks.
const BACKLOG_MIGRATION: f64 = 0.15;
/// The largest fraction that is migrated for the growth of the latency.
const MAX_GROWTH_MIGRATION: f64 = 0.3;
/// A latency that is lower by more than one in this many is falling.
const FALLING_DIVISOR: u32 = 16;

/// The latency state of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LatencyOverload {
    /// The latency last reported.
    #[serde(rename = "delay", with = "sparbank_time::serde_nanos")]
    latency: Duration,
    #[serde(rename = "busy_until")]
    overloaded_until: MonotonicTime,
    #[serde(rename = "paced_until")]
    recovering_until: MonotonicTime,
}

/// A request to migrate connections away from a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationDemand {
    /// The fraction of the server's connections to migrate.
    pub fraction: f64,
    /// The report before this one was above the objective too, so that this is not a single stall.
    pub is_confirmed: bool,
}

impl LatencyOverload {
    /// Whether the server gets no new requests now.
    pub fn is_overloaded(&self, now: MonotonicTime) -> bool {
        self.overloaded_until > now
    }

    /// Until then the server is filled slowly.
    pub fn recovering_until(&self) -> MonotonicTime {
        self.recovering_until
    }

    /// Records a report. Returns what to migrate if the latency is above the objective and not falling.
    pub fn on_report(
        &mut self,
        now: MonotonicTime,
        latency: Duration,
        objective: Duration,
        recovery_time: Duration,
    ) -> Option<MigrationDemand> {
        let previous = if self.is_overloaded(now) { self.latency } else { Duration::ZERO };
        self.latency = latency;
        if latency.as_nanos_f64() > objective.as_nanos_f64() * OVERLOAD_FRACTION {
            self.overloaded_until = now + REPORT_VALIDITY;
            self.recovering_until = now + recovery_time;
        } else {
            self.overloaded_until = now;
        }
        let is_falling = latency < previous - previous / FALLING_DIVISOR;
        if latency <= objective || is_falling {
            return None;
        }
        let growth = latency.saturating_sub(previous).as_nanos_f64() / REPORT_INTERVAL.as_nanos_f64();
        let fraction = growth.min(MAX_GROWTH_MIGRATION) + BACKLOG_MIGRATION;
        Some(MigrationDemand { fraction, is_confirmed: previous > objective })
    }
}

#[cfg(test)]
mod tests;

//! Overload detection by message latency, for one server.
//!
//! A server that reports high latency gets no new requests until it reports a lower latency or its last report expires;
//! it is then filled slowly. While its latency is above the objective and not falling, a fraction of its connections is
//! migrated.

use serde::{Deserialize, Serialize};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// A report expires after this time, unless a newer one replaces it.
const REPORT_VALIDITY: Duration = Duration::from_millis(2_500);
/// The interval between the latency reports of one server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A server is overloaded above this fraction of the objective. Servers report latencies from a third of the strictest
/// objective on, and once more when the latency has dropped below that.
const OVERLOAD_FRACTION: f64 = 0.33;
/// Fraction of the connections that is migrated in addition to the one for the growth of the latency, so that the
/// server's backlog shrinks.
const BACKLOG_FRACTION: f64 = 0.15;
/// Upper limit of the fraction that is migrated for the growth of the latency.
const MAX_GROWTH_FRACTION: f64 = 0.3;
/// The latency is falling if it dropped by more than the previous latency divided by this.
const FALLING_DIVISOR: u32 = 16;

/// The latency state of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct LatencyOverload {
    /// The most recently reported latency.
    #[serde(rename = "delay", with = "sparbank_time::serde_nanos")]
    latency: Duration,
    #[serde(rename = "busy_until")]
    overloaded_until: MonotonicTime,
    #[serde(rename = "paced_until")]
    recovering_until: MonotonicTime,
}

/// The migration that a report calls for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationDemand {
    /// The fraction of the server's connections to migrate.
    pub fraction: f64,
    /// The previous report was above the objective too, which rules out a single stall.
    pub is_confirmed: bool,
}

impl LatencyOverload {
    /// Whether the server is overloaded and must not get new requests.
    pub fn is_overloaded(&self, now: MonotonicTime) -> bool {
        self.overloaded_until > now
    }

    /// The end of the recovery, until which the server is filled slowly.
    pub fn recovering_until(&self) -> MonotonicTime {
        self.recovering_until
    }

    /// Records a report. Returns a demand for migration if the latency is above the objective and not falling.
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
        let fraction = growth.min(MAX_GROWTH_FRACTION) + BACKLOG_FRACTION;
        Some(MigrationDemand { fraction, is_confirmed: previous > objective })
    }
}

#[cfg(test)]
mod tests;

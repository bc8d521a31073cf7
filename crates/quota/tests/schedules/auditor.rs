//! The auditor, which counts established connections and admitted events independently of the nodes' own counts.

use crate::fleet::{CONNECTIONS, NANOS_PER_MILLISECOND, NANOS_PER_SECOND, QUOTAS, SETUPS};
use sparbank_quota::{Quota, QuotaPlan};
use sparbank_time::{DurationExt, MonotonicTime};
use std::fmt;

/// The clocks of the nodes, and therefore their rates, deviate from true time by less than one percent.
const CLOCK_TOLERANCE: f64 = 1.01;
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A violation of a quota.
#[derive(Debug)]
pub enum Violation {
    /// More events at once than the burst allows.
    Burst { quota: String, events: f64, at: MonotonicTime },
    /// More established connections than the total.
    Connections { established: u64, total: u64, at: MonotonicTime },
    /// All running nodes together are allowed more units than the total.
    AllowedUnits { quota: String, units: u64, at: MonotonicTime },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Burst { quota, events, at } => {
                write!(
                    f,
                    "{quota}: burst of {events:.2} events at {} ms",
                    at.as_nanos() / NANOS_PER_MILLISECOND
                )
            }
            Violation::Connections { established, total, at } => {
                write!(
                    f,
                    "connections: {established} established, {total} allowed, at {} ms",
                    at.as_nanos() / NANOS_PER_MILLISECOND
                )
            }
            Violation::AllowedUnits { quota, units, at } => {
                write!(
                    f,
                    "{quota}: nodes may use {units} units at {} ms",
                    at.as_nanos() / NANOS_PER_MILLISECOND
                )
            }
        }
    }
}

/// A leaky bucket for the combined rate of all nodes. It overflows if the events in any time window exceed the rate
/// times the window plus the burst.
struct LeakyBucket {
    level: f64,
    updated_at: MonotonicTime,
}

/// The admitted events and connections of all nodes, by quota.
pub struct Auditor {
    quotas: Vec<Quota>,
    buckets: Vec<LeakyBucket>,
    admitted: [u64; QUOTAS],
    checks: u64,
}

impl Auditor {
    pub fn new(plan: &QuotaPlan) -> Auditor {
        Auditor {
            quotas: plan.quotas.clone(),
            buckets: (0..QUOTAS)
                .map(|_| LeakyBucket { level: 0.0, updated_at: MonotonicTime::ZERO })
                .collect(),
            admitted: [0; QUOTAS],
            checks: 0,
        }
    }

    /// How often the allowed units were checked.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// The number of admitted set-ups.
    pub fn setups(&self) -> u64 {
        self.admitted[SETUPS]
    }

    /// Counts an event or connection that a node has admitted, and checks the burst of a rate.
    pub fn on_admitted(&mut self, quota: usize, now: MonotonicTime) -> Result<(), Violation> {
        self.admitted[quota] += 1;
        if quota == CONNECTIONS {
            return Ok(());
        }
        let settings = &self.quotas[quota];
        let bucket = &mut self.buckets[quota];
        let elapsed = now.saturating_duration_since(bucket.updated_at);
        let leaked = elapsed.as_nanos_f64() * settings.total as f64 / NANOS_PER_SECOND;
        bucket.level = (bucket.level - leaked).max(0.0) + 1.0;
        bucket.updated_at = now;
        if bucket.level > settings.burst as f64 * CLOCK_TOLERANCE + ROUNDING_TOLERANCE {
            let quota = settings.name.clone();
            return Err(Violation::Burst { quota, events: bucket.level, at: now });
        }
        Ok(())
    }

    /// Checks the number of established connections of all nodes.
    pub fn check_established(&self, established: u64, now: MonotonicTime) -> Result<(), Violation> {
        let total = self.quotas[CONNECTIONS].total;
        if established > total {
            return Err(Violation::Connections { established, total, at: now });
        }
        Ok(())
    }

    /// Checks the units that all running nodes together may use now, each by its own clock.
    pub fn check_allowed(&mut self, quota: usize, units: u64, now: MonotonicTime) -> Result<(), Violation> {
        self.checks += 1;
        let settings = &self.quotas[quota];
        if units > settings.total_units() {
            return Err(Violation::AllowedUnits { quota: settings.name.clone(), units, at: now });
        }
        Ok(())
    }
}

//! The auditor: it counts what was really opened and spent, apart from the nodes' own counts.

use crate::fleet::{CONNECTIONS, NANOS_PER_MILLISECOND, NANOS_PER_SECOND, QUOTAS, SETUPS};
use sparbank_quota::{Quota, QuotaPlan};
use sparbank_time::{DurationExt, MonotonicTime};
use std::fmt;

/// The clocks of the nodes drift apart by less than a hundredth, and so do the seconds of their rates.
const CLOCK_TOLERANCE: f64 = 1.01;
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A breach of a quota that the auditor saw.
#[derive(Debug)]
pub enum Breach {
    /// More events at once than the burst.
    Burst { quota: String, at_once: f64, at: MonotonicTime },
    /// More established connections than the total.
    Connections { established: u64, total: u64, at: MonotonicTime },
    /// More units allowed, over all running nodes, than the total.
    Allowed { quota: String, units: u64, at: MonotonicTime },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Burst { quota, at_once, at } => {
                write!(f, "{quota}: {at_once:.2} at once at {} ms", at.as_nanos() / NANOS_PER_MILLISECOND)
            }
            Breach::Connections { established, total, at } => {
                write!(
                    f,
                    "standing: {established} of {total} at {} ms",
                    at.as_nanos() / NANOS_PER_MILLISECOND
                )
            }
            Breach::Allowed { quota, units, at } => {
                write!(f, "{quota}: {units} granted at {} ms", at.as_nanos() / NANOS_PER_MILLISECOND)
            }
        }
    }
}

/// A bucket for a rate of all nodes together: it overflows if in any window there are more events than rate times window
/// plus burst.
struct AuditBucket {
    level: f64,
    updated_at: MonotonicTime,
}

/// Counts by quota.
pub struct Auditor {
    quotas: Vec<Quota>,
    buckets: Vec<AuditBucket>,
    spent: [u64; QUOTAS],
    checks: u64,
}

impl Auditor {
    pub fn new(plan: &QuotaPlan) -> Auditor {
        Auditor {
            quotas: plan.quotas.clone(),
            buckets: (0..QUOTAS)
                .map(|_| AuditBucket { level: 0.0, updated_at: MonotonicTime::ZERO })
                .collect(),
            spent: [0; QUOTAS],
            checks: 0,
        }
    }

    /// How often the units that are allowed were checked.
    pub fn checks(&self) -> u64 {
        self.checks
    }

    /// The set-ups that were admitted.
    pub fn setups(&self) -> u64 {
        self.spent[SETUPS]
    }

    /// Counts an event or a connection that a node admitted.
    pub fn on_admitted(&mut self, quota: usize, now: MonotonicTime) -> Result<(), Breach> {
        self.spent[quota] += 1;
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
            return Err(Breach::Burst { quota, at_once: bucket.level, at: now });
        }
        Ok(())
    }

    /// Checks the established connections of all nodes.
    pub fn check_established(&self, established: u64, now: MonotonicTime) -> Result<(), Breach> {
        let total = self.quotas[CONNECTIONS].total;
        if established > total {
            return Err(Breach::Connections { established, total, at: now });
        }
        Ok(())
    }

    /// Checks the units that all running nodes may use now, each by its own clock.
    pub fn check_allowed(&mut self, quota: usize, units: u64, now: MonotonicTime) -> Result<(), Breach> {
        self.checks += 1;
        let settings = &self.quotas[quota];
        if units > settings.total_units() {
            return Err(Breach::Allowed { quota: settings.name.clone(), units, at: now });
        }
        Ok(())
    }
}

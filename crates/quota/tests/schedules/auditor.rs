//! The auditor: it counts what was really opened and spent, apart from the nodes' own counts.

use crate::fleet::{CONNECTIONS, NANOS_PER_MS, NANOS_PER_SECOND, QUOTAS, SETUPS};
use sparbank_quota::{Nanos, Quota, QuotaPlan};
use std::fmt;

/// The clocks of the nodes drift apart by less than a hundredth, and so do the seconds of their rates.
const CLOCK_TOLERANCE: f64 = 1.01;
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A breach of a quota that the auditor saw.
#[derive(Debug)]
pub enum Breach {
    /// More events at once than the burst.
    Burst { quota: String, at_once: f64, at: Nanos },
    /// More established connections than the total.
    Connections { established: u64, total: u64, at: Nanos },
    /// More units allowed, over all running nodes, than the total.
    Allowed { quota: String, units: u64, at: Nanos },
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Breach::Burst { quota, at_once, at } => {
                write!(f, "{quota}: {at_once:.2} at once at {} ms", at / NANOS_PER_MS)
            }
            Breach::Connections { established, total, at } => {
                write!(f, "standing: {established} of {total} at {} ms", at / NANOS_PER_MS)
            }
            Breach::Allowed { quota, units, at } => {
                write!(f, "{quota}: {units} granted at {} ms", at / NANOS_PER_MS)
            }
        }
    }
}

/// A bucket for a rate of all nodes together: it overflows if in any window there are more events than rate times window
/// plus burst.
struct AuditBucket {
    level: f64,
    updated_at: Nanos,
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
            buckets: (0..QUOTAS).map(|_| AuditBucket { level: 0.0, updated_at: 0 }).collect(),
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
    pub fn on_admitted(&mut self, quota: usize, now: Nanos) -> Result<(), Breach> {
        self.spent[quota] += 1;
        if quota == CONNECTIONS {
            return Ok(());
        }
        let settings = &self.quotas[quota];
        let bucket = &mut self.buckets[quota];
        let leaked = (now - bucket.updated_at) as f64 * settings.total as f64 / NANOS_PER_SECOND;
        bucket.level = (bucket.level - leaked).max(0.0) + 1.0;
        bucket.updated_at = now;
        if bucket.level > settings.burst as f64 * CLOCK_TOLERANCE + ROUNDING_TOLERANCE {
            let quota = settings.name.clone();
            return Err(Breach::Burst { quota, at_once: bucket.level, at: now });
        }
        Ok(())
    }

    /// Checks the established connections of all nodes.
    pub fn check_established(&self, established: u64, now: Nanos) -> Result<(), Breach> {
        let total = self.quotas[CONNECTIONS].total;
        if established > total {
            return Err(Breach::Connections { established, total, at: now });
        }
        Ok(())
    }

    /// Checks the units that all running nodes may use now, each by its own clock.
    pub fn check_allowed(&mut self, quota: usize, units: u64, now: Nanos) -> Result<(), Breach> {
        self.checks += 1;
        let settings = &self.quotas[quota];
        if units > settings.total_units() {
            return Err(Breach::Allowed { quota: settings.name.clone(), units, at: now });
        }
        Ok(())
    }
}

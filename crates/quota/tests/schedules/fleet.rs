//! The simulated fleet: its plan and its nodes.

use crate::support::plan::{members, quota};
use sparbank_quota::{LeaseHolder, Quota, QuotaPlan, Resource};
use sparbank_time::MonotonicTime;
use std::time::Duration;

pub const NANOS_PER_MILLISECOND: u64 = 1_000_000;
pub const NANOS_PER_SECOND: f64 = 1e9;
pub const MEMBERS: u16 = 6;
pub const GRANTORS: usize = 3;

// The quotas, as indices in the plan.
pub const CONNECTIONS: usize = 0;
pub const SETUPS: usize = 1;
pub const RETRIES: usize = 2;
pub const QUOTAS: usize = 3;

pub fn plan() -> QuotaPlan {
    let connections = quota("connections", Resource::Connections, 60);
    let setups = quota("setups", Resource::Setups, 100);
    let retries = quota("retries", Resource::Retries, 30);
    let plan = QuotaPlan {
        members: members(MEMBERS),
        grantors: vec!["n0".into(), "n1".into(), "n2".into()],
        lease_ms: 1000,
        clear_ms: 600,
        drift_ppm: 20_000,
        quotas: vec![
            Quota { floor_percent: 10, ..connections },
            Quota { burst: 10 + u64::from(MEMBERS), floor_percent: 20, ..setups },
            Quota { burst: u64::from(MEMBERS), ..retries },
        ],
    };
    plan.validate().expect("the plan is valid");
    plan
}

pub struct Node {
    pub holder: LeaseHolder,
    pub incarnation: u64,
    pub clock_offset: Duration,
    /// How much faster than true time the clock runs, in parts per million.
    pub clock_drift_ppm: i64,
    /// The true time at which the node was stopped; `None` while it is running.
    pub stopped_at: Option<MonotonicTime>,
    /// The clock reading of the last iteration of the node's event loop.
    pub last_reading: MonotonicTime,
    pub established: u64,
    pub last_sequence: u64,
}

impl Node {
    /// The reading of the node's clock at a true time.
    pub fn clock(&self, true_time: MonotonicTime) -> MonotonicTime {
        let nanos = true_time.as_nanos() as i64;
        let drift = nanos / 1_000_000 * self.clock_drift_ppm;
        MonotonicTime::from_nanos((nanos + drift) as u64) + self.clock_offset
    }

    /// The clock reading of the last iteration, regardless of the time.
    pub fn stale_clock(&self, _true_time: MonotonicTime) -> MonotonicTime {
        self.last_reading
    }

    pub fn is_running(&self) -> bool {
        self.stopped_at.is_none()
    }
}

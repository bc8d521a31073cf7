//! The schedule by which established clients are migrated: in even steps between a start and an end time.

use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// The time between two migration steps.
pub const MIGRATION_STEP_INTERVAL: Duration = Duration::from_millis(25);
/// The time between the announcement of a migration and its first step. Until the load balancer in front of the nodes
/// has detected the announcement, it would send a migrated client back to this node.
const MIGRATION_DELAY: Duration = Duration::from_millis(300);
/// The migration of all established clients is complete this long before the end of the schedule.
const MIGRATED_BEFORE_END: Duration = Duration::from_millis(400);
/// Requests that are still unanswered fail this long before the end of the schedule: their deadline has passed, or no
/// time is left.
const UNANSWERED_FAILED_BEFORE_END: Duration = Duration::from_millis(250);

/// The work of one migration step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationStep {
    /// No client is migrated yet: the load balancer would still send migrated clients back to this node.
    NotStarted,
    /// Migrate clients, and fail requests whose time is over.
    Migrate {
        /// The number of established clients to migrate now.
        clients: usize,
        /// Unanswered requests that arrived before this time fail now. `None` if all requests may still wait.
        fail_arrived_before: Option<MonotonicTime>,
    },
}

/// The times at which one migration of all clients starts and ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MigrationSchedule {
    /// The time of the first step.
    start: MonotonicTime,
    /// The time by which all established clients have been migrated.
    migrated_by: MonotonicTime,
    /// The time from which unanswered requests fail.
    fail_unanswered_at: MonotonicTime,
}

impl MigrationSchedule {
    /// A schedule that is announced now and leaves no client or request open at `end`.
    pub(super) fn ending_at(now: MonotonicTime, end: MonotonicTime) -> MigrationSchedule {
        MigrationSchedule {
            start: now + MIGRATION_DELAY,
            migrated_by: end - MIGRATED_BEFORE_END,
            fail_unanswered_at: end - UNANSWERED_FAILED_BEFORE_END,
        }
    }

    /// A schedule that satisfies both: the earlier of each time.
    pub(super) fn earliest(self, other: MigrationSchedule) -> MigrationSchedule {
        MigrationSchedule {
            start: self.start.min(other.start),
            migrated_by: self.migrated_by.min(other.migrated_by),
            fail_unanswered_at: self.fail_unanswered_at.min(other.fail_unanswered_at),
        }
    }

    /// Whether the time by which all established clients are migrated has passed.
    pub(super) fn is_over(&self, now: MonotonicTime) -> bool {
        now >= self.migrated_by
    }

    /// The step of a process that keeps running after a drain. It serves clients that arrive late and migrates them at
    /// the next step, so only requests that arrived before the end of the migration fail.
    pub(super) fn drain_step(&self, now: MonotonicTime, established: usize) -> MigrationStep {
        self.step(now, established, self.migrated_by)
    }

    /// The step of a process that exits: all unanswered requests fail, since they cannot be served later.
    pub(super) fn shutdown_step(&self, now: MonotonicTime, established: usize) -> MigrationStep {
        self.step(now, established, MonotonicTime::MAX)
    }

    fn step(
        &self,
        now: MonotonicTime,
        established: usize,
        fail_arrived_before: MonotonicTime,
    ) -> MigrationStep {
        if now < self.start {
            return MigrationStep::NotStarted;
        }
        let remaining = self.migrated_by.saturating_duration_since(now);
        let later_steps = remaining.as_nanos_u64() / MIGRATION_STEP_INTERVAL.as_nanos_u64();
        MigrationStep::Migrate {
            clients: established.div_ceil(later_steps as usize + 1),
            fail_arrived_before: (now >= self.fail_unanswered_at).then_some(fail_arrived_before),
        }
    }
}

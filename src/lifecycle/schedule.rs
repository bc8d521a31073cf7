//! When established clients are migrated: in even steps, between a start and an end.

use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// Time between two migration steps.
pub const MIGRATION_STEP_INTERVAL: Duration = Duration::from_millis(25);
/// Clients are migrated no earlier than this long after the announcement: until the load balancer in front of the
/// nodes has noticed it, a migrated client would come back here.
const MIGRATION_DELAY: Duration = Duration::from_millis(300);
/// All established clients have been notified this long before the end of the schedule.
const MIGRATED_BEFORE_END: Duration = Duration::from_millis(400);
/// Requests that still wait get their final answer this long before the end of the schedule: their deadline is over,
/// or no time is left.
const ABANDON_BEFORE_END: Duration = Duration::from_millis(250);

/// What is to be done in one migration step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationStep {
    /// It is too early: migrated clients would come back.
    NotStarted,
    /// Clients are migrated.
    Migrate {
        /// The number of established clients to migrate now.
        clients: usize,
        /// Requests that arrived before this time and still wait get their final answer now.
        abandon_before: Option<MonotonicTime>,
    },
}

/// The times of one migration of all clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MigrationSchedule {
    start: MonotonicTime,
    /// All established clients have been migrated by then.
    migrated_by: MonotonicTime,
    abandon_at: MonotonicTime,
}

impl MigrationSchedule {
    /// A schedule that is announced now and leaves nothing open at `end`.
    pub(super) fn until(now: MonotonicTime, end: MonotonicTime) -> MigrationSchedule {
        MigrationSchedule {
            start: now + MIGRATION_DELAY,
            migrated_by: end - MIGRATED_BEFORE_END,
            abandon_at: end - ABANDON_BEFORE_END,
        }
    }

    /// The schedule that keeps both: the earlier one of each time.
    pub(super) fn or_earlier(self, other: MigrationSchedule) -> MigrationSchedule {
        MigrationSchedule {
            start: self.start.min(other.start),
            migrated_by: self.migrated_by.min(other.migrated_by),
            abandon_at: self.abandon_at.min(other.abandon_at),
        }
    }

    /// Whether all established clients have been migrated by now.
    pub(super) fn is_over(&self, now: MonotonicTime) -> bool {
        now >= self.migrated_by
    }

    /// The step of a node that stays after the drain. It still serves clients that arrive late, and migrates them at the
    /// next step, so only requests from before the end of the migration are abandoned.
    pub(super) fn step_of_drain(&self, now: MonotonicTime, established: usize) -> MigrationStep {
        self.step(now, established, self.migrated_by)
    }

    /// The step of a process that exits: a request that waits cannot be served later.
    pub(super) fn step_before_exit(&self, now: MonotonicTime, established: usize) -> MigrationStep {
        self.step(now, established, MonotonicTime::MAX)
    }

    fn step(&self, now: MonotonicTime, established: usize, abandon_before: MonotonicTime) -> MigrationStep {
        if now < self.start {
            return MigrationStep::NotStarted;
        }
        let remaining = self.migrated_by.saturating_duration_since(now);
        let later_steps = remaining.as_nanos_u64() / MIGRATION_STEP_INTERVAL.as_nanos_u64();
        MigrationStep::Migrate {
            clients: established.div_ceil(later_steps as usize + 1),
            abandon_before: (now >= self.abandon_at).then_some(abandon_before),
        }
    }
}

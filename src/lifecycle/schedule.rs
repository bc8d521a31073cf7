//! When established clients are migrated: evenly in steps, between a start and an end.

use crate::model::Nanos;

/// Time between two migration steps.
pub const MIGRATION_STEP_INTERVAL: Nanos = 25_000_000;
/// Clients are migrated no earlier than this long after the announcement: until the load balancer in front of the
/// nodes has noticed it, a migrated client would come back here.
const MIGRATION_DELAY: Nanos = 300_000_000;
/// All established clients have been notified this long before the end of the schedule.
const MIGRATED_BEFORE_END: Nanos = 400_000_000;
/// Requests that still wait get their final answer this long before the end of the schedule: their deadline is over,
/// or no time is left.
const ABANDON_BEFORE_END: Nanos = 250_000_000;

/// What is to be done in one migration step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MigrationStep {
    /// Whether migration has started; nothing is to be done before.
    pub started: bool,
    /// The number of established clients to migrate now.
    pub migrations: usize,
    /// Requests that began before this time and still wait get their final answer now.
    pub abandon_before: Option<Nanos>,
}

/// The times of one migration of all clients. Times are in Unix nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MigrationSchedule {
    start: Nanos,
    /// All established clients have been migrated by then.
    migrated_by: Nanos,
    abandon_at: Nanos,
}

impl MigrationSchedule {
    /// A schedule that is announced now and leaves nothing open at `end`.
    pub(super) fn until(now: Nanos, end: Nanos) -> MigrationSchedule {
        MigrationSchedule {
            start: now + MIGRATION_DELAY,
            migrated_by: end - MIGRATED_BEFORE_END,
            abandon_at: end - ABANDON_BEFORE_END,
        }
    }

    /// Both schedules hold: of each time the earlier one.
    pub(super) fn or_earlier(self, other: MigrationSchedule) -> MigrationSchedule {
        MigrationSchedule {
            start: self.start.min(other.start),
            migrated_by: self.migrated_by.min(other.migrated_by),
            abandon_at: self.abandon_at.min(other.abandon_at),
        }
    }

    /// Whether all established clients have been migrated by now.
    pub(super) fn is_over(&self, now: Nanos) -> bool {
        now >= self.migrated_by
    }

    /// The step of a node that goes on after the drain. It still serves whoever comes late and migrates it then, so
    /// only requests from before the end of the migration are abandoned.
    pub(super) fn step_of_drain(&self, now: Nanos, established: usize) -> MigrationStep {
        self.step(now, established, self.migrated_by)
    }

    /// The step of a process that ends: nothing that waits can be served later.
    pub(super) fn step_before_exit(&self, now: Nanos, established: usize) -> MigrationStep {
        self.step(now, established, Nanos::MAX)
    }

    fn step(&self, now: Nanos, established: usize, abandon_before: Nanos) -> MigrationStep {
        if now < self.start {
            return MigrationStep::default();
        }
        let later_steps = self.migrated_by.saturating_sub(now) / MIGRATION_STEP_INTERVAL;
        MigrationStep {
            started: true,
            migrations: established.div_ceil(later_steps as usize + 1),
            abandon_before: (now >= self.abandon_at).then_some(abandon_before),
        }
    }
}

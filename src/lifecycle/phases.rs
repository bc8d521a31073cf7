//! The phases of a process and the transitions between them. A phase has methods for its legal transitions only: a
//! process that shuts down cannot resume, and one that serves has no drain to end.

use super::schedule::MigrationSchedule;
use crate::model::MAX_STALL;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An operator's drain is complete this long after the call.
const DRAIN_DURATION: Duration = Duration::from_secs(4);
/// SIGKILL follows SIGTERM after the longest request deadline and this.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// A longer deadline than this does not delay SIGKILL any further.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// The process exits this long before SIGKILL, whether or not its clients have read their last line. SIGKILL is timed
/// from the arrival of SIGTERM, and the process may have been stalled before it handled that.
const EXIT_BEFORE_KILL: Duration = MAX_STALL.saturating_add(Duration::from_millis(50));
/// A process whose successor serves waits for SIGTERM no longer than this.
const MAX_WAIT_FOR_SIGTERM: Duration = Duration::from_secs(10);

/// When SIGKILL follows if SIGTERM arrives now.
fn kill_time(now: MonotonicTime, longest_deadline: Duration) -> MonotonicTime {
    now + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY_AFTER_DEADLINE
}

fn drain_schedule(now: MonotonicTime) -> MigrationSchedule {
    MigrationSchedule::until(now, now + DRAIN_DURATION)
}

/// Whether anything is open at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No request, no client, and no connection that is still closing.
    Idle,
    /// Something is open.
    Busy,
}

/// Clients are accepted, and stay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Serving(());

impl Serving {
    pub(super) fn drain(self, now: MonotonicTime) -> Draining {
        Draining { schedule: drain_schedule(now) }
    }

    pub(super) fn hand_over(self, now: MonotonicTime, longest_deadline: Duration) -> HandedOver {
        HandedOver {
            schedule: MigrationSchedule::until(now, kill_time(now, longest_deadline)),
            exit_at: now + MAX_WAIT_FOR_SIGTERM,
            is_drained: false,
        }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let kill = kill_time(now, longest_deadline);
        ShuttingDown {
            schedule: MigrationSchedule::until(now, kill),
            exit_by: kill - EXIT_BEFORE_KILL,
            is_drained: false,
            has_successor: false,
        }
    }
}

/// An operator has drained the node: clients are migrated until it is resumed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draining {
    pub(super) schedule: MigrationSchedule,
}

impl Draining {
    pub(super) fn resume(self) -> Serving {
        Serving::default()
    }

    pub(super) fn hand_over(self, now: MonotonicTime, longest_deadline: Duration) -> HandedOver {
        let handed_over = Serving::default().hand_over(now, longest_deadline);
        HandedOver {
            schedule: handed_over.schedule.or_earlier(self.schedule),
            is_drained: true,
            ..handed_over
        }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let shutting_down = Serving::default().shut_down(now, longest_deadline);
        ShuttingDown {
            schedule: shutting_down.schedule.or_earlier(self.schedule),
            is_drained: true,
            ..shutting_down
        }
    }
}

/// What a process does when its successor is gone.
pub(super) enum WithoutSuccessor {
    Serving(Serving),
    Draining(Draining),
}

/// A successor serves. Connections are transferred to it, those that cannot be are migrated, and the process ends by
/// itself if no SIGTERM comes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandedOver {
    pub(super) schedule: MigrationSchedule,
    /// The process exits then or later, once it is idle.
    pub(super) exit_at: MonotonicTime,
    pub(super) is_drained: bool,
}

impl HandedOver {
    pub(super) fn drain(self, now: MonotonicTime) -> HandedOver {
        HandedOver { schedule: self.schedule.or_earlier(drain_schedule(now)), is_drained: true, ..self }
    }

    pub(super) fn successor_lost(self, now: MonotonicTime) -> WithoutSuccessor {
        let serving = Serving::default();
        if self.is_drained {
            WithoutSuccessor::Draining(serving.drain(now))
        } else {
            WithoutSuccessor::Serving(serving)
        }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let shutting_down = Serving::default().shut_down(now, longest_deadline);
        ShuttingDown {
            schedule: shutting_down.schedule.or_earlier(self.schedule),
            is_drained: self.is_drained,
            has_successor: true,
            ..shutting_down
        }
    }
}

/// SIGTERM has arrived: the process exits before SIGKILL.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShuttingDown {
    pub(super) schedule: MigrationSchedule,
    /// The process exits no later than this.
    pub(super) exit_by: MonotonicTime,
    pub(super) is_drained: bool,
    /// A successor serves: nothing new arrives here.
    pub(super) has_successor: bool,
}

impl ShuttingDown {
    pub(super) fn drain(self, now: MonotonicTime) -> ShuttingDown {
        ShuttingDown { schedule: self.schedule.or_earlier(drain_schedule(now)), is_drained: true, ..self }
    }

    pub(super) fn hand_over(self) -> ShuttingDown {
        ShuttingDown { has_successor: true, ..self }
    }

    pub(super) fn successor_lost(self) -> ShuttingDown {
        ShuttingDown { has_successor: false, ..self }
    }

    /// Whether the process is to exit now.
    pub(super) fn should_exit(&self, now: MonotonicTime, activity: Activity) -> bool {
        let nothing_more_arrives = self.has_successor || self.schedule.is_over(now);
        now >= self.exit_by || (activity == Activity::Idle && nothing_more_arrives)
    }
}

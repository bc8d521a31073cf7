//! The phases of a process and the transitions between them. Each phase has methods only for its legal transitions: for
//! example, a process that is shutting down cannot be resumed.

use super::schedule::MigrationSchedule;
use crate::model::MAX_STALL;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The duration of a drain, from the operator's call until it is complete.
const DRAIN_DURATION: Duration = Duration::from_secs(4);
/// SIGKILL follows SIGTERM after the longest request deadline plus this delay.
const KILL_DELAY_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The longest request deadline that the delay of SIGKILL allows for: a longer one does not delay it further.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// The process exits this long before SIGKILL, even if clients have not read their last line. SIGKILL is timed from the
/// arrival of SIGTERM, and the process may have been stalled before it handled the signal.
const EXIT_BEFORE_KILL: Duration = MAX_STALL.saturating_add(Duration::from_millis(50));
/// How long a process whose successor serves waits for SIGTERM before it may exit by itself.
const MAX_WAIT_FOR_SIGTERM: Duration = Duration::from_secs(10);

/// The time of SIGKILL if SIGTERM arrives now.
fn kill_time(now: MonotonicTime, longest_deadline: Duration) -> MonotonicTime {
    now + longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_DELAY_AFTER_DEADLINE
}

fn drain_schedule(now: MonotonicTime) -> MigrationSchedule {
    MigrationSchedule::ending_at(now, now + DRAIN_DURATION)
}

/// Whether this process still has anything open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// No open request, no client, and no connection that is still closing.
    Idle,
    /// A request, a client or a closing connection is open.
    Busy,
}

/// Clients are accepted, and established clients stay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Serving(());

impl Serving {
    pub(super) fn drain(self, now: MonotonicTime) -> Draining {
        Draining { schedule: drain_schedule(now) }
    }

    pub(super) fn hand_over(self, now: MonotonicTime, longest_deadline: Duration) -> HandedOver {
        HandedOver {
            schedule: MigrationSchedule::ending_at(now, kill_time(now, longest_deadline)),
            earliest_exit: now + MAX_WAIT_FOR_SIGTERM,
            is_drained: false,
        }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let kill = kill_time(now, longest_deadline);
        ShuttingDown {
            schedule: MigrationSchedule::ending_at(now, kill),
            latest_exit: kill - EXIT_BEFORE_KILL,
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
        HandedOver { schedule: handed_over.schedule.earliest(self.schedule), is_drained: true, ..handed_over }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let shutting_down = Serving::default().shut_down(now, longest_deadline);
        ShuttingDown {
            schedule: shutting_down.schedule.earliest(self.schedule),
            is_drained: true,
            ..shutting_down
        }
    }
}

/// The phase to which a process returns when its successor was lost.
pub(super) enum RestoredPhase {
    Serving(Serving),
    Draining(Draining),
}

/// A successor serves. Connections are transferred to it, or migrated if they cannot be transferred. The process exits
/// by itself if no SIGTERM arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HandedOver {
    pub(super) schedule: MigrationSchedule,
    /// The process exits no earlier than this, and only once it is idle.
    pub(super) earliest_exit: MonotonicTime,
    pub(super) is_drained: bool,
}

impl HandedOver {
    pub(super) fn drain(self, now: MonotonicTime) -> HandedOver {
        HandedOver { schedule: self.schedule.earliest(drain_schedule(now)), is_drained: true, ..self }
    }

    pub(super) fn successor_lost(self, now: MonotonicTime) -> RestoredPhase {
        let serving = Serving::default();
        if self.is_drained {
            RestoredPhase::Draining(serving.drain(now))
        } else {
            RestoredPhase::Serving(serving)
        }
    }

    pub(super) fn shut_down(self, now: MonotonicTime, longest_deadline: Duration) -> ShuttingDown {
        let shutting_down = Serving::default().shut_down(now, longest_deadline);
        ShuttingDown {
            schedule: shutting_down.schedule.earliest(self.schedule),
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
    pub(super) latest_exit: MonotonicTime,
    pub(super) is_drained: bool,
    /// A successor serves, so no new client arrives at this process.
    pub(super) has_successor: bool,
}

impl ShuttingDown {
    pub(super) fn drain(self, now: MonotonicTime) -> ShuttingDown {
        ShuttingDown { schedule: self.schedule.earliest(drain_schedule(now)), is_drained: true, ..self }
    }

    pub(super) fn hand_over(self) -> ShuttingDown {
        ShuttingDown { has_successor: true, ..self }
    }

    pub(super) fn successor_lost(self) -> ShuttingDown {
        ShuttingDown { has_successor: false, ..self }
    }

    /// Whether the process should exit now.
    pub(super) fn should_exit(&self, now: MonotonicTime, activity: Activity) -> bool {
        let nothing_more_arrives = self.has_successor || self.schedule.is_over(now);
        now >= self.latest_exit || (activity == Activity::Idle && nothing_more_arrives)
    }
}

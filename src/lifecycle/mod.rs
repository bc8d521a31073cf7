//! The lifecycle of a process: whether it serves its clients, drains them, or shuts down.
//!
//! The admin API's drain and resume, SIGTERM, and the handover to a successor process are transitions of one state
//! machine. It decides how many established clients are migrated in each step, when unanswered requests get their final
//! answer, and when the process exits. The node owns it and executes the steps.
//!
//! | phase        | `drain`      | `resume`  | `hand_over`  | `successor_lost`    | `shut_down`  |
//! |--------------|--------------|-----------|--------------|---------------------|--------------|
//! | Serving      | Draining     | no change | HandedOver   | no change           | ShuttingDown |
//! | Draining     | no change    | Serving   | HandedOver   | no change           | ShuttingDown |
//! | HandedOver   | is drained   | error     | no change    | Serving or Draining | ShuttingDown |
//! | ShuttingDown | is drained   | error     | has a successor | has none         | no change    |
//!
//! No I/O and no clock: time comes as an argument.

mod phases;
mod schedule;
#[cfg(test)]
mod tests;

pub use phases::Activity;
pub use schedule::{MigrationStep, MIGRATION_STEP_INTERVAL};

use phases::{Draining, HandedOver, Serving, ShuttingDown, WithoutSuccessor};
use sparbank_time::MonotonicTime;
use std::time::Duration;
use thiserror::Error;

/// The process shuts down, or its successor serves: it cannot accept clients again.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the process shuts down")]
pub struct ShuttingDownError;

/// The lifecycle of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// Clients are accepted, and stay.
    Serving(Serving),
    /// An operator has drained the node.
    Draining(Draining),
    /// A successor serves in this process's place.
    HandedOver(HandedOver),
    /// SIGTERM has arrived.
    ShuttingDown(ShuttingDown),
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::Serving(Serving::default())
    }
}

impl Lifecycle {
    /// Drains the node from now on. False where it is drained already: a second call changes nothing.
    pub fn drain(&mut self, now: MonotonicTime) -> bool {
        if !self.accepts_clients() {
            return false;
        }
        *self = match *self {
            Lifecycle::Serving(serving) => Lifecycle::Draining(serving.drain(now)),
            Lifecycle::Draining(draining) => Lifecycle::Draining(draining),
            Lifecycle::HandedOver(handed_over) => Lifecycle::HandedOver(handed_over.drain(now)),
            Lifecycle::ShuttingDown(shutting_down) => Lifecycle::ShuttingDown(shutting_down.drain(now)),
        };
        true
    }

    /// Accepts clients again. False where the node was not drained.
    ///
    /// # Errors
    /// Where the process shuts down, or a successor serves.
    pub fn resume(&mut self) -> Result<bool, ShuttingDownError> {
        match *self {
            Lifecycle::Serving(_) => Ok(false),
            Lifecycle::Draining(draining) => {
                *self = Lifecycle::Serving(draining.resume());
                Ok(true)
            }
            Lifecycle::HandedOver(_) | Lifecycle::ShuttingDown(_) => Err(ShuttingDownError),
        }
    }

    /// A successor serves: connections are transferred to it, and those that cannot be are migrated before SIGKILL
    /// could follow if SIGTERM arrived now. `longest_deadline` is that of all request classes.
    pub fn hand_over(&mut self, now: MonotonicTime, longest_deadline: Duration) {
        *self = match *self {
            Lifecycle::Serving(serving) => Lifecycle::HandedOver(serving.hand_over(now, longest_deadline)),
            Lifecycle::Draining(draining) => Lifecycle::HandedOver(draining.hand_over(now, longest_deadline)),
            Lifecycle::HandedOver(handed_over) => Lifecycle::HandedOver(handed_over),
            Lifecycle::ShuttingDown(shutting_down) => Lifecycle::ShuttingDown(shutting_down.hand_over()),
        };
    }

    /// The successor is gone: the process serves or drains as before, if it does not shut down.
    pub fn successor_lost(&mut self, now: MonotonicTime) {
        *self = match *self {
            Lifecycle::HandedOver(handed_over) => match handed_over.successor_lost(now) {
                WithoutSuccessor::Serving(serving) => Lifecycle::Serving(serving),
                WithoutSuccessor::Draining(draining) => Lifecycle::Draining(draining),
            },
            Lifecycle::ShuttingDown(shutting_down) => Lifecycle::ShuttingDown(shutting_down.successor_lost()),
            unchanged @ (Lifecycle::Serving(_) | Lifecycle::Draining(_)) => unchanged,
        };
    }

    /// SIGTERM: the process ends before SIGKILL, whose time follows from the longest deadline of all request classes.
    /// False where the process shuts down already.
    pub fn shut_down(&mut self, now: MonotonicTime, longest_deadline: Duration) -> bool {
        let shutting_down = match *self {
            Lifecycle::Serving(serving) => serving.shut_down(now, longest_deadline),
            Lifecycle::Draining(draining) => draining.shut_down(now, longest_deadline),
            Lifecycle::HandedOver(handed_over) => handed_over.shut_down(now, longest_deadline),
            Lifecycle::ShuttingDown(_) => return false,
        };
        *self = Lifecycle::ShuttingDown(shutting_down);
        true
    }

    /// Whether the load balancer in front of the nodes is to send clients here: the answer to `PING`. SIGTERM alone
    /// does not change it, since clients still arrive until the platform has noticed it.
    pub fn accepts_clients(&self) -> bool {
        match self {
            Lifecycle::Serving(_) => true,
            Lifecycle::Draining(_) => false,
            Lifecycle::HandedOver(handed_over) => !handed_over.is_drained,
            Lifecycle::ShuttingDown(shutting_down) => !shutting_down.is_drained,
        }
    }

    /// Whether the process shuts down, or a successor serves.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Lifecycle::ShuttingDown(_) | Lifecycle::HandedOver(_))
    }

    /// Whether the process is about to exit: all established clients have been migrated, and requests that arrive now
    /// are answered without an attempt.
    pub fn is_closing(&self, now: MonotonicTime) -> bool {
        matches!(self, Lifecycle::ShuttingDown(shutting_down) if shutting_down.schedule.is_over(now))
    }

    /// The step that is due now, with `established` clients. None where the clients stay.
    pub fn migration_step(&self, now: MonotonicTime, established: usize) -> Option<MigrationStep> {
        match self {
            Lifecycle::Serving(_) => None,
            Lifecycle::Draining(draining) => Some(draining.schedule.step_of_drain(now, established)),
            Lifecycle::HandedOver(handed_over) => {
                Some(handed_over.schedule.step_before_exit(now, established))
            }
            Lifecycle::ShuttingDown(shutting_down) => {
                Some(shutting_down.schedule.step_before_exit(now, established))
            }
        }
    }

    /// Whether the process is to exit now.
    pub fn should_exit(&self, now: MonotonicTime, activity: Activity) -> bool {
        match self {
            Lifecycle::Serving(_) | Lifecycle::Draining(_) => false,
            Lifecycle::HandedOver(handed_over) => activity == Activity::Idle && now >= handed_over.exit_at,
            Lifecycle::ShuttingDown(shutting_down) => shutting_down.should_exit(now, activity),
        }
    }
}

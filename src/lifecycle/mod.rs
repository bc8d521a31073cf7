//! The lifecycle of a process: serving, draining, handed over to a successor, or shutting down.
//!
//! The drain and resume calls of the admin API, SIGTERM, and the handover to a successor process are transitions of one
//! state machine. It decides how many established clients each migration step migrates, when unanswered requests fail,
//! and when the process exits. The node owns the state machine and executes the steps.
//!
//! | phase        | `drain`           | `resume`  | `hand_over`          | `successor_lost`       | `shut_down`  |
//! |--------------|-------------------|-----------|----------------------|------------------------|--------------|
//! | Serving      | Draining          | no change | HandedOver           | no change              | ShuttingDown |
//! | Draining     | no change         | Serving   | HandedOver           | no change              | ShuttingDown |
//! | HandedOver   | sets `is_drained` | error     | no change            | Serving or Draining    | ShuttingDown |
//! | ShuttingDown | sets `is_drained` | error     | sets `has_successor` | clears `has_successor` | no change    |
//!
//! The module performs no I/O and reads no clock: each method takes the time as an argument.

mod phases;
mod schedule;
#[cfg(test)]
mod tests;

pub use phases::Activity;
pub use schedule::{MigrationStep, MIGRATION_STEP_INTERVAL};

use phases::{Draining, HandedOver, RestoredPhase, Serving, ShuttingDown};
use sparbank_time::MonotonicTime;
use std::time::Duration;
use thiserror::Error;

/// The process is shutting down or has a successor, so it cannot be resumed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the process is shutting down")]
pub struct ShuttingDownError;

/// The lifecycle of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lifecycle {
    /// Clients are accepted, and established clients stay.
    Serving(Serving),
    /// An operator has drained the node.
    Draining(Draining),
    /// A successor serves instead of this process.
    HandedOver(HandedOver),
    /// SIGTERM has arrived: the process exits before SIGKILL follows.
    ShuttingDown(ShuttingDown),
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::Serving(Serving::default())
    }
}

impl Lifecycle {
    /// Starts a drain. Returns false, and changes nothing, if the node is draining already.
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

    /// Ends a drain, so that clients are accepted again. Returns false if the node was not draining.
    ///
    /// # Errors
    /// Returns an error if the process is shutting down or has a successor.
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

    /// A successor serves: connections are transferred to it. Those that cannot be transferred are migrated in time for
    /// the SIGKILL that would follow a SIGTERM now. `longest_deadline` is the longest of all request classes.
    pub fn hand_over(&mut self, now: MonotonicTime, longest_deadline: Duration) {
        *self = match *self {
            Lifecycle::Serving(serving) => Lifecycle::HandedOver(serving.hand_over(now, longest_deadline)),
            Lifecycle::Draining(draining) => Lifecycle::HandedOver(draining.hand_over(now, longest_deadline)),
            Lifecycle::HandedOver(handed_over) => Lifecycle::HandedOver(handed_over),
            Lifecycle::ShuttingDown(shutting_down) => Lifecycle::ShuttingDown(shutting_down.hand_over()),
        };
    }

    /// The successor was lost: the process serves or drains again, unless it is shutting down.
    pub fn successor_lost(&mut self, now: MonotonicTime) {
        *self = match *self {
            Lifecycle::HandedOver(handed_over) => match handed_over.successor_lost(now) {
                RestoredPhase::Serving(serving) => Lifecycle::Serving(serving),
                RestoredPhase::Draining(draining) => Lifecycle::Draining(draining),
            },
            Lifecycle::ShuttingDown(shutting_down) => Lifecycle::ShuttingDown(shutting_down.successor_lost()),
            unchanged @ (Lifecycle::Serving(_) | Lifecycle::Draining(_)) => unchanged,
        };
    }

    /// Starts a shutdown on SIGTERM. The process exits before SIGKILL, whose time depends on `longest_deadline`, the
    /// longest of all request classes. Returns false, and changes nothing, if the process is shutting down already.
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

    /// Whether the process neither drains nor shuts down nor has a successor.
    pub fn is_serving(&self) -> bool {
        matches!(self, Lifecycle::Serving(_))
    }

    /// Whether the load balancer in front of the nodes should send clients here; this determines the answer to `PING`.
    /// SIGTERM alone does not change it, since clients arrive until the platform has detected the shutdown.
    pub fn accepts_clients(&self) -> bool {
        match self {
            Lifecycle::Serving(_) => true,
            Lifecycle::Draining(_) => false,
            Lifecycle::HandedOver(handed_over) => !handed_over.is_drained,
            Lifecycle::ShuttingDown(shutting_down) => !shutting_down.is_drained,
        }
    }

    /// Whether the process is shutting down or has a successor.
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, Lifecycle::ShuttingDown(_) | Lifecycle::HandedOver(_))
    }

    /// Whether the process is about to exit: the time for migrating established clients is over, and requests that
    /// arrive now are answered without an attempt.
    pub fn is_closing(&self, now: MonotonicTime) -> bool {
        matches!(self, Lifecycle::ShuttingDown(shutting_down) if shutting_down.schedule.is_over(now))
    }

    /// The migration step that is due now, given the number of established clients. `None` if the clients stay.
    pub fn migration_step(&self, now: MonotonicTime, established: usize) -> Option<MigrationStep> {
        match self {
            Lifecycle::Serving(_) => None,
            Lifecycle::Draining(draining) => Some(draining.schedule.drain_step(now, established)),
            Lifecycle::HandedOver(handed_over) => Some(handed_over.schedule.shutdown_step(now, established)),
            Lifecycle::ShuttingDown(shutting_down) => {
                Some(shutting_down.schedule.shutdown_step(now, established))
            }
        }
    }

    /// Whether the process should exit now.
    pub fn should_exit(&self, now: MonotonicTime, activity: Activity) -> bool {
        match self {
            Lifecycle::Serving(_) | Lifecycle::Draining(_) => false,
            Lifecycle::HandedOver(handed_over) => {
                activity == Activity::Idle && now >= handed_over.earliest_exit
            }
            Lifecycle::ShuttingDown(shutting_down) => shutting_down.should_exit(now, activity),
        }
    }
}

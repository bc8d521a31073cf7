//! Reports iterations of the event loop that keep the node from its sockets for too long.

use super::state::NodeState;
use crate::log_throttle::LogThrottle;
use crate::model::MAX_STALL;
use sparbank_time::{DurationExt, MonotonicTime};

/// When the phases of an iteration ended, after the wait for events.
pub(super) struct IterationTiming {
    /// The number of socket events in the iteration.
    pub(super) socket_events: usize,
    pub(super) started_at: MonotonicTime,
    pub(super) sockets_handled_at: MonotonicTime,
    pub(super) timers_handled_at: MonotonicTime,
    /// When the balancer's commands were executed and the frontends' output was flushed.
    pub(super) commands_executed_at: MonotonicTime,
    pub(super) ended_at: MonotonicTime,
}

/// Counts slow iterations, and logs in which phase their time was spent.
#[derive(Default)]
pub(super) struct SlowIterationLog {
    throttle: LogThrottle,
}

impl SlowIterationLog {
    /// Reports an iteration if it took longer than [`MAX_STALL`], for which all deadlines allow.
    pub(super) fn report(&mut self, state: &mut NodeState, timing: &IterationTiming) {
        let duration = timing.ended_at.saturating_duration_since(timing.started_at);
        if duration <= MAX_STALL {
            return;
        }
        state.requests.counters_mut().slow_iterations += 1;
        if !self.throttle.may_log(timing.ended_at) {
            return;
        }
        let milliseconds =
            |from: MonotonicTime, to: MonotonicTime| to.saturating_duration_since(from).as_millis_u64();
        tracing::warn!(
            duration_ms = duration.as_millis_u64(),
            socket_events = timing.socket_events,
            sockets_ms = milliseconds(timing.started_at, timing.sockets_handled_at),
            timers_ms = milliseconds(timing.sockets_handled_at, timing.timers_handled_at),
            commands_ms = milliseconds(timing.timers_handled_at, timing.commands_executed_at),
            connects_ms = milliseconds(timing.commands_executed_at, timing.ended_at),
            "slow iteration of the event loop"
        );
    }
}

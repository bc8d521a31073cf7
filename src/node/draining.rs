//! The steps by which established connections are migrated away: in a drain, a handover or a shutdown.

use super::Node;
use crate::front::TimerEvent;
use crate::lifecycle;
use crate::vocabulary::Outcome;

impl Node {
    /// From now on there are drain steps, until clients are accepted again.
    pub(super) fn schedule_drain_steps(&mut self) {
        if !self.drain_step_scheduled {
            self.drain_step_scheduled = true;
            self.state.wheel.schedule(self.state.now(), TimerEvent::DrainStep);
        }
    }

    /// Migrates as many established connections as it takes for all to be migrated in time, and answers requests that
    /// have waited too long.
    pub(super) fn drain_step(&mut self) {
        let (now, established) = (self.state.now(), self.state.requests.established());
        let Some(step) = self.state.lifecycle.migration_step(now, established.len()) else {
            self.drain_step_scheduled = false;
            return;
        };
        if step.started {
            self.for_each_front(|front, ctx| front.on_drain_step(ctx));
        }
        if let Some(abandon_before) = step.abandon_before {
            for command in self.state.requests.fail_unanswered(now, abandon_before) {
                self.execute(now, command);
            }
        }
        for request_id in established.into_iter().take(step.migrations) {
            let closed = self.state.requests.close_for_migration(now, request_id, Outcome::Cancelled);
            if let Some(front) = closed {
                self.with_front(front, |front, ctx| front.migrate(ctx, request_id));
            }
        }
        self.state.wheel.schedule(now + lifecycle::MIGRATION_STEP_INTERVAL, TimerEvent::DrainStep);
    }
}

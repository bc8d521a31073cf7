//! The steps by which established connections are migrated away: in a drain, a handover or a shutdown.

use super::Node;
use crate::frontend::TimerEvent;
use crate::lifecycle;
use crate::model::{Outcome, RequestId};
use sparbank_time::MonotonicTime;

impl Node {
    /// From now on there are drain steps, until clients are accepted again.
    pub(super) fn schedule_drain_steps(&mut self) {
        if !self.drain_step_scheduled {
            self.drain_step_scheduled = true;
            self.state.wheel.schedule(self.state.now(), TimerEvent::DrainStep);
        }
    }

    /// The process is about to end. Connections that still wait to be accepted get their answer, requests without one
    /// fail, and what is established is migrated: nothing is cut off by the exit.
    pub(super) fn settle_before_exit(&mut self) {
        self.state.net.accept_waiting();
        for event in self.state.net.take_pending_events() {
            self.on_socket_event(event);
        }
        self.for_each_frontend(|frontend, ctx| {
            ctx.shutting_down = true;
            frontend.on_drain_step(ctx);
        });
        let now = self.state.now();
        for command in self.state.requests.fail_unanswered(now, MonotonicTime::MAX) {
            self.execute(now, command);
        }
        for request_id in self.state.requests.established() {
            self.migrate_established(now, request_id);
        }
        self.run_balancer();
    }

    fn migrate_established(&mut self, now: MonotonicTime, request_id: RequestId) {
        let closed = self.state.requests.close_for_migration(now, request_id, Outcome::Cancelled);
        if let Some(frontend) = closed {
            self.with_frontend(frontend, |frontend, ctx| frontend.migrate(ctx, request_id));
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
            self.for_each_frontend(|frontend, ctx| frontend.on_drain_step(ctx));
        }
        if let Some(abandon_before) = step.abandon_before {
            for command in self.state.requests.fail_unanswered(now, abandon_before) {
                self.execute(now, command);
            }
        }
        for request_id in established.into_iter().take(step.migrations) {
            self.migrate_established(now, request_id);
        }
        self.state.wheel.schedule(now + lifecycle::MIGRATION_STEP_INTERVAL, TimerEvent::DrainStep);
    }
}

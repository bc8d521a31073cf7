//! Migrates established connections step by step during a drain, a handover or a shutdown.
//!
//! [`Lifecycle`](crate::lifecycle::Lifecycle) decides how many connections each step migrates. This module schedules
//! and executes the steps, and migrates all remaining connections before the process exits.

use super::executor::Executor;
use super::frontend_host::FrontendHost;
use crate::frontend::TimerEvent;
use crate::lifecycle::{self, Activity, MigrationStep};
use crate::rules::{Violation, ViolationContext};
use sparbank_time::MonotonicTime;

/// Starts drains, handovers and shutdowns, and executes their migration steps.
#[derive(Debug, Default)]
pub(super) struct DrainManager {
    /// Whether a [`TimerEvent::MigrationStep`] is on the timer wheel.
    is_scheduled: bool,
}

impl DrainManager {
    /// Starts a drain, which migrates all clients. Returns false, and changes nothing, if the node is draining already.
    pub(super) fn start_drain(&mut self, host: &mut FrontendHost, now: MonotonicTime) -> bool {
        let has_started = host.state.lifecycle.drain(now);
        if has_started {
            self.schedule(host);
        }
        has_started
    }

    /// Starts a graceful shutdown. Changes nothing if the node is shutting down already.
    pub(super) fn start_shutdown(&mut self, host: &mut FrontendHost) {
        let state = &mut host.state;
        let (now, longest_deadline) = (state.now(), state.longest_deadline());
        if !state.lifecycle.shut_down(now, longest_deadline) {
            return;
        }
        tracing::info!(established_connections = state.established_connections(), "shutting down");
        if let Some(quotas) = state.requests.quotas_mut() {
            quotas.shut_down();
        }
        self.schedule(host);
    }

    /// Starts a handover to a successor that serves: connections that cannot be transferred are migrated.
    pub(super) fn start_handover(&mut self, host: &mut FrontendHost) {
        let state = &mut host.state;
        let (now, longest_deadline) = (state.now(), state.longest_deadline());
        state.lifecycle.hand_over(now, longest_deadline);
        state.requests.counters_mut().handovers += 1;
        let established_connections = state.established_connections();
        tracing::info!(established_connections, "handover to successor started");
        self.schedule(host);
    }

    /// Schedules the first migration step, unless one is scheduled already.
    fn schedule(&mut self, host: &mut FrontendHost) {
        if !self.is_scheduled {
            self.is_scheduled = true;
            host.state.wheel.schedule(host.state.now(), TimerEvent::MigrationStep);
        }
    }

    /// Executes one migration step and schedules the next one. The steps end once the lifecycle has no further step.
    ///
    /// A step migrates as many established connections as are needed to migrate all of them in time, and fails the
    /// unanswered requests for which the lifecycle leaves no more time.
    pub(super) fn step(&mut self, executor: &mut Executor) {
        let (now, established) = (executor.host.state.now(), executor.host.state.requests.established());
        let Some(step) = executor.host.state.lifecycle.migration_step(now, established.len()) else {
            self.is_scheduled = false;
            return;
        };
        if let MigrationStep::Migrate { clients, fail_arrived_before } = step {
            executor.host.for_each(|frontend, ctx| frontend.on_migration_step(ctx));
            if let Some(fail_arrived_before) = fail_arrived_before {
                let commands = executor.host.state.requests.fail_unanswered(now, fail_arrived_before);
                executor.execute_all(now, commands);
            }
            for request_id in established.into_iter().take(clients) {
                executor.migrate_established(now, request_id);
            }
        }
        let next_step_at = now + lifecycle::MIGRATION_STEP_INTERVAL;
        executor.host.state.wheel.schedule(next_step_at, TimerEvent::MigrationStep);
    }
}

/// Whether the process should exit now.
pub(super) fn should_exit(host: &FrontendHost) -> bool {
    let state = &host.state;
    if !state.lifecycle.is_shutting_down() {
        return false;
    }
    // Connections that are still closing are reset at exit, and a reset may discard a MOVE that the client has not read
    // yet.
    let is_idle = host.is_idle() && state.net.all_closes_complete();
    let activity = if is_idle { Activity::Idle } else { Activity::Busy };
    state.lifecycle.should_exit(state.now(), activity)
}

/// Ends all requests before the process exits: unanswered requests fail, and established connections are migrated.
pub(super) fn end_all_requests(executor: &mut Executor) {
    executor.host.for_each(|frontend, ctx| {
        ctx.shutting_down = true;
        frontend.on_migration_step(ctx);
    });
    let now = executor.host.state.now();
    let commands = executor.host.state.requests.fail_unanswered(now, MonotonicTime::MAX);
    executor.execute_all(now, commands);
    for request_id in executor.host.state.requests.established() {
        executor.migrate_established(now, request_id);
    }
    executor.run_balancer();
}

/// Records a violation if a request or a client is still open at exit.
pub(super) fn check_nothing_open(host: &mut FrontendHost) {
    if !host.is_idle() {
        let open = host.state.established_connections();
        host.state.requests.record_violation(Violation::OpenAtExit, ViolationContext::Exit { open });
    }
}

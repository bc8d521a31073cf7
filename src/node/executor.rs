//! Runs the balancer on pending events and executes the commands that it returns.

use super::endpoint_watch::EndpointWatch;
use super::frontend_host::FrontendHost;
use crate::frontend::{TimerEvent, TEXT_FRONTEND};
use crate::model::{Event, Outcome, RequestId, ServerId};
use crate::requests::{Command, FrontendId};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// Owns what the request table's commands act on: the frontends, their state and the endpoint watch.
pub(super) struct Executor {
    pub(super) host: FrontendHost,
    pub(super) endpoints: EndpointWatch,
}

impl Executor {
    /// Runs the balancer on all pending events, executes its commands, and has the frontends flush their buffers.
    /// Repeats this until no event is pending.
    pub(super) fn run_balancer(&mut self) {
        loop {
            let now = self.host.state.now();
            let commands = self.host.state.requests.decide(now);
            self.execute_all(now, commands);
            if self.host.state.requests.has_pending_events() {
                continue;
            }
            self.host.for_each(|frontend, ctx| frontend.flush(ctx));
            if !self.host.state.requests.has_pending_events() {
                return;
            }
        }
    }

    /// Executes commands of the request table in order.
    pub(super) fn execute_all(&mut self, now: MonotonicTime, commands: Vec<Command>) {
        for command in commands {
            self.execute(now, command);
        }
    }

    fn execute(&mut self, now: MonotonicTime, command: Command) {
        match command {
            Command::StartAttempt { frontend, request_id, server, timeout } => {
                self.start_attempt(now, frontend, request_id, server, timeout);
            }
            Command::CancelAttempt { frontend, request_id } => {
                self.host.call(frontend, |frontend, ctx| frontend.cancel_attempt(ctx, request_id));
            }
            Command::Reject { frontend, request_id, retry_after } => {
                let retry_after_ms = retry_after.as_millis_u64();
                tracing::trace!(request = request_id.0, retry_after_ms, "request rejected");
                self.host.call(frontend, |frontend, ctx| frontend.reject(ctx, request_id, retry_after));
            }
            Command::Fail { frontend, request_id } => {
                self.host.call(frontend, |frontend, ctx| frontend.fail(ctx, request_id));
            }
            Command::Migrate { frontend, request_id } => {
                self.host.call(frontend, |frontend, ctx| frontend.migrate(ctx, request_id));
            }
            Command::HealthCheck { server } => {
                self.host.call(TEXT_FRONTEND, |frontend, ctx| frontend.check_health(ctx, server));
            }
            Command::SetTimer { after, token } => self.set_timer(now, after, token),
            Command::Subscribe => self.endpoints.subscribe(&mut self.host, now),
            Command::Log(notice) => tracing::info!("{notice}"),
        }
    }

    fn set_timer(&mut self, now: MonotonicTime, after: Duration, token: u64) {
        if after.is_zero() {
            self.host.state.requests.push_event(Event::Timer(token));
            return;
        }
        tracing::trace!(token, delay_ms = after.as_millis_u64(), "timer set");
        self.host.state.wheel.schedule(now + after, TimerEvent::Policy(token));
    }

    fn start_attempt(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let attempt = self.host.state.requests.attempt_number(request_id);
        let timeout_ms = timeout.as_millis_u64();
        tracing::trace!(request = request_id.0, attempt, server = server.0, timeout_ms, "attempt started");
        self.host.state.wheel.schedule(now + timeout, TimerEvent::AttemptTimeout(request_id, attempt));
        self.host.call(frontend, |frontend, ctx| frontend.start_attempt(ctx, request_id, server, timeout));
    }

    /// Has the frontend end an attempt whose time-out has elapsed, unless it has already ended.
    pub(super) fn on_attempt_timeout(&mut self, request_id: RequestId, attempt: u32) {
        let Some(frontend) = self.host.state.requests.frontend_of_attempt(request_id, attempt) else {
            return;
        };
        self.host.call(frontend, |frontend, ctx| frontend.read_answer(ctx, request_id));
        // If the answer had already arrived, reading it has ended the attempt.
        if let Some(frontend) = self.host.state.requests.frontend_of_attempt(request_id, attempt) {
            self.host.call(frontend, |frontend, ctx| frontend.on_attempt_timeout(ctx, request_id));
        }
    }

    /// Migrates an established connection: its frontend closes it gracefully, so that the client reconnects.
    pub(super) fn migrate_established(&mut self, now: MonotonicTime, request_id: RequestId) {
        let frontend = self.host.state.requests.close_for_migration(now, request_id, Outcome::Cancelled);
        if let Some(frontend) = frontend {
            self.host.call(frontend, |frontend, ctx| frontend.migrate(ctx, request_id));
        }
    }
}

//! Runs the balancer on what has happened, and executes the commands that come back.

use super::Node;
use crate::frontend::{TimerEvent, TEXT_FRONTEND};
use crate::model::{Event, Outcome, RequestId, ServerId};
use crate::requests::{Command, FrontendId};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

impl Node {
    /// Lets the balancer decide on all pending events and executes its commands; then the frontends flush what they have
    /// gathered. Repeats until neither yields another event.
    pub(super) fn run_balancer(&mut self) {
        loop {
            let now = self.state.now();
            let commands = self.state.requests.decide(now);
            for command in commands {
                self.execute(now, command);
            }
            if self.state.requests.has_pending_events() {
                continue;
            }
            self.for_each_frontend(|frontend, ctx| frontend.flush(ctx));
            if !self.state.requests.has_pending_events() {
                return;
            }
        }
    }

    /// Executes a command of the request table.
    pub(super) fn execute(&mut self, now: MonotonicTime, command: Command) {
        match command {
            Command::StartAttempt { frontend, request_id, server, timeout } => {
                self.start_attempt(now, frontend, request_id, server, timeout);
            }
            Command::CancelAttempt { frontend, request_id } => {
                self.cancel_attempt(frontend, request_id);
            }
            Command::Reject { frontend, request_id, retry_after } => {
                let retry_after_ms = retry_after.as_millis_u64();
                tracing::trace!(request = request_id.0, retry_after_ms, "request rejected");
                self.with_frontend(frontend, |frontend, ctx| frontend.reject(ctx, request_id, retry_after));
            }
            Command::Fail { frontend, request_id } => {
                self.with_frontend(frontend, |frontend, ctx| frontend.fail(ctx, request_id));
            }
            Command::Migrate { frontend, request_id } => {
                self.with_frontend(frontend, |frontend, ctx| frontend.migrate(ctx, request_id));
            }
            Command::HealthCheck { server } => {
                self.with_frontend(TEXT_FRONTEND, |frontend, ctx| frontend.check_health(ctx, server));
            }
            Command::SetTimer { after, token } if after.is_zero() => {
                self.state.requests.push_event(Event::Timer(token));
            }
            Command::SetTimer { after, token } => {
                tracing::trace!(token, delay_ms = after.as_millis_u64(), "timer set");
                self.state.wheel.schedule(now + after, TimerEvent::Policy(token));
            }
            Command::Subscribe => self.subscribe(now),
            Command::Log(text) => tracing::info!("{text}"),
        }
    }

    fn start_attempt(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let attempt = self.state.requests.attempt_number(request_id);
        let timeout_ms = timeout.as_millis_u64();
        tracing::trace!(request = request_id.0, attempt, server = server.0, timeout_ms, "attempt started");
        self.state.wheel.schedule(now + timeout, TimerEvent::AttemptTimeout(request_id, attempt));
        self.with_frontend(frontend, |frontend, ctx| {
            frontend.start_attempt(ctx, request_id, server, timeout)
        });
    }

    /// Has the frontend cancel the attempt of a request. Returns the attempt's outcome.
    fn cancel_attempt(&mut self, frontend: FrontendId, request_id: RequestId) -> Outcome {
        let outcome = self.with_frontend(frontend, |frontend, ctx| frontend.cancel_attempt(ctx, request_id));
        outcome.unwrap_or(Outcome::Cancelled)
    }

    /// An attempt's time is up; it may have ended before.
    pub(super) fn on_attempt_timeout(&mut self, request_id: RequestId, attempt: u32) {
        let Some(frontend) = self.state.requests.frontend_of_attempt(request_id, attempt) else { return };
        self.with_frontend(frontend, |frontend, ctx| frontend.read_answer(ctx, request_id));
        // An answer that had arrived has ended the attempt.
        if let Some(frontend) = self.state.requests.frontend_of_attempt(request_id, attempt) {
            let outcome = self.cancel_attempt(frontend, request_id);
            self.state.requests.on_attempt_ended(self.state.clock.now(), request_id, outcome);
        }
    }
}

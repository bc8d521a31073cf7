//! Runs the balancer on pending events and executes the commands that it returns.

use super::endpoint_watch::EndpointWatch;
use super::frontend_host::FrontendHost;
use crate::frontend::{FlushStatus, TimerEvent, TEXT_FRONTEND};
use crate::log_throttle::LogThrottle;
use crate::model::{Event, Outcome, RequestId, ServerId};
use crate::requests::{Command, FrontendId};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// How often the balancer runs in one iteration of the event loop. More rounds than the attempts of the pending requests
/// need are a fault, and must not keep the node from its sockets.
const MAX_BALANCER_ROUNDS: usize = 1_000;

/// Owns what the request table's commands act on: the frontends, their state and the endpoint watch.
pub(super) struct Executor {
    pub(super) host: FrontendHost,
    pub(super) endpoints: EndpointWatch,
    /// Whether the last run of the balancer stopped at a limit.
    has_unfinished_work: bool,
    unfinished_log: LogThrottle,
}

/// Why a run of the balancer stopped before its work was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UnfinishedWork {
    /// Events are still pending after [`MAX_BALANCER_ROUNDS`].
    Events,
    /// A frontend has reached its own limit on the work of one iteration.
    Output,
}

impl Executor {
    pub(super) fn new(host: FrontendHost, endpoints: EndpointWatch) -> Executor {
        Executor { host, endpoints, has_unfinished_work: false, unfinished_log: LogThrottle::default() }
    }

    /// Whether [`Executor::run_balancer`] stopped before its work was done. It then has to be called again without
    /// waiting for an event.
    pub(super) fn has_unfinished_work(&self) -> bool {
        self.has_unfinished_work
    }

    /// Runs the balancer on all pending events, executes its commands, and has the frontends flush their buffers.
    /// Repeats this until no event is pending, or up to a limit.
    pub(super) fn run_balancer(&mut self) {
        let result = self.run_rounds();
        self.has_unfinished_work = result.is_err();
        if let Err(work) = result {
            self.report_unfinished(work);
        }
    }

    fn run_rounds(&mut self) -> Result<(), UnfinishedWork> {
        for _ in 0..MAX_BALANCER_ROUNDS {
            let now = self.host.state.now();
            let commands = self.host.state.requests.decide(now);
            self.execute_all(now, commands);
            if self.host.state.requests.has_pending_events() {
                continue;
            }
            let mut status = FlushStatus::Complete;
            self.host.for_each(|frontend, ctx| {
                if frontend.flush(ctx) == FlushStatus::Incomplete {
                    status = FlushStatus::Incomplete;
                }
            });
            if status == FlushStatus::Incomplete {
                return Err(UnfinishedWork::Output);
            }
            if !self.host.state.requests.has_pending_events() {
                return Ok(());
            }
        }
        Err(UnfinishedWork::Events)
    }

    fn report_unfinished(&mut self, work: UnfinishedWork) {
        let state = &mut self.host.state;
        state.requests.counters_mut().unfinished_iterations += 1;
        if self.unfinished_log.may_log(state.now()) {
            tracing::warn!(?work, "iteration of the event loop stopped at its limit");
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

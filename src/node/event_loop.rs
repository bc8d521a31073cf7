//! The event loop. Each iteration handles ready sockets and expired timers, runs the balancer on the resulting events,
//! and executes its commands.

use super::admin::AdminHandler;
use super::drain::{self, DrainManager};
use super::executor::Executor;
use super::handover::{self, HandoverManager};
use super::iteration_timing::{IterationTiming, SlowIterationLog};
use super::quota_leases::QuotaLeases;
use super::reports::{self, FlowReporter};
use super::signals::{SignalRequest, SignalSockets};
use super::{reload, ServeError};
use crate::frontend::{FrontendFiles, TimerEvent};
use crate::handover::StateSnapshot;
use crate::model::Event;
use crate::net::{ConnectedSocket, SocketEvent, SocketOwner, Token};
use std::time::Duration;

/// The interval at which unresponsive peers are detected and ended flows are exported.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A running node: its parts, and the event loop that calls them.
pub(super) struct Node {
    pub(super) executor: Executor,
    pub(super) drain: DrainManager,
    pub(super) handover: HandoverManager,
    pub(super) admin: AdminHandler,
    pub(super) leases: QuotaLeases,
    pub(super) flow_reporter: FlowReporter,
    pub(super) signals: SignalSockets,
    pub(super) slow_iterations: SlowIterationLog,
    /// The files of the optional frontends, read again at each configuration reload.
    pub(super) frontend_files: FrontendFiles,
}

impl Node {
    /// Runs the balancer on the endpoint list that is available at start, and then restores the predecessor's state,
    /// if any.
    pub(super) fn initialize(&mut self, predecessor: Option<&StateSnapshot>) {
        self.executor.run_balancer();
        if let Some(snapshot) = predecessor {
            handover::restore_snapshot(&mut self.executor.host, &mut self.drain, snapshot);
        }
    }

    /// Serves until the node has shut down.
    ///
    /// # Errors
    /// Returns an error if the sockets cannot be polled.
    pub(super) fn run(mut self) -> Result<(), ServeError> {
        loop {
            self.run_iteration()?;
            if drain::should_exit(&self.executor.host) {
                self.end_open_work();
            }
            // If peers have not read their final answers and migrations yet, the loop continues until they have.
            if drain::should_exit(&self.executor.host) {
                self.finish();
                return Ok(());
            }
        }
    }

    fn run_iteration(&mut self) -> Result<(), ServeError> {
        let is_unfinished = self.executor.has_unfinished_work();
        let state = &mut self.executor.host.state;
        let now = state.now();
        let timeout = if is_unfinished { Duration::ZERO } else { state.wheel.time_until_next(now) };
        let events = state.net.poll(now, timeout).map_err(ServeError::Poll)?;
        let (started_at, socket_events) = (state.now(), events.len());
        for event in events {
            self.on_socket_event(event);
        }
        let state = &mut self.executor.host.state;
        let sockets_handled_at = state.now();
        for timer in state.wheel.take_expired(sockets_handled_at) {
            self.on_timer(timer);
        }
        let timers_handled_at = self.executor.host.state.now();
        self.executor.run_balancer();
        let commands_executed_at = self.executor.host.state.now();
        self.handover.transfer_connections(&mut self.executor, &mut self.drain);
        self.send_on_connected();
        let state = &mut self.executor.host.state;
        reports::trace_attempts(state);
        let ended_at = state.now();
        let timing = IterationTiming {
            socket_events,
            started_at,
            sockets_handled_at,
            timers_handled_at,
            commands_executed_at,
            ended_at,
        };
        self.slow_iterations.report(state, &timing);
        Ok(())
    }

    fn on_socket_event(&mut self, event: SocketEvent) {
        let host = &mut self.executor.host;
        match event.owner {
            SocketOwner::Frontend(id) => {
                host.call(id, |frontend, ctx| frontend.on_socket_event(ctx, event));
            }
            SocketOwner::Discovery => self.executor.endpoints.on_socket_event(host, event),
            SocketOwner::Admin => self.admin.on_socket_event(host, &mut self.drain, event),
            SocketOwner::Quota => self.leases.on_socket_event(&mut host.state, event),
            SocketOwner::Handover => {
                self.handover.on_socket_event(&mut self.executor, &mut self.drain, event);
            }
            SocketOwner::Signal => self.on_signal(event.token),
        }
    }

    fn on_signal(&mut self, token: Token) {
        match self.signals.receive(&mut self.executor.host.state.net, token) {
            Some(SignalRequest::ShutDown) => self.drain.start_shutdown(&mut self.executor.host),
            Some(SignalRequest::LogCounters) => self.log_counters(),
            Some(SignalRequest::Reload) => reload::reload(&mut self.executor, &self.frontend_files),
            None => {}
        }
    }

    fn log_counters(&mut self) {
        reports::log_counters(&mut self.executor, &self.admin, &self.leases);
    }

    /// Writes to the connections that were established in this iteration. The watch is read again first: the process
    /// may have been stalled since the poll, and must respect a server drain that was announced in the meantime.
    fn send_on_connected(&mut self) {
        let Executor { host, endpoints, .. } = &mut self.executor;
        let connected = host.state.net.take_established();
        if connected.is_empty() {
            return;
        }
        endpoints.read_pending(host);
        for ConnectedSocket { token, owner } in connected {
            if let SocketOwner::Frontend(id) = owner {
                host.call(id, |frontend, ctx| frontend.on_connected(ctx, token));
            }
            host.state.net.flush(token);
        }
        self.executor.run_balancer();
    }

    fn on_timer(&mut self, timer: TimerEvent) {
        let host = &mut self.executor.host;
        match timer {
            TimerEvent::Policy(token) => host.state.requests.push_event(Event::Timer(token)),
            TimerEvent::AttemptTimeout(request_id, attempt) => {
                self.executor.on_attempt_timeout(request_id, attempt);
            }
            TimerEvent::ConnectTimeout(id, token) => {
                host.call(id, |frontend, ctx| frontend.on_connect_timeout(ctx, token));
            }
            TimerEvent::FrontendTimer(id, token) => {
                host.call(id, |frontend, ctx| frontend.on_timer(ctx, token));
            }
            TimerEvent::Tick => self.on_tick(),
            TimerEvent::MigrationStep => self.drain.step(&mut self.executor),
            TimerEvent::LeaseExchange => self.leases.exchange(&mut self.executor),
            TimerEvent::AdminTimeout(token) => self.admin.on_timeout(&mut host.state.net, token),
        }
    }

    fn on_tick(&mut self) {
        let Executor { host, endpoints, .. } = &mut self.executor;
        let now = host.state.observe_clocks();
        endpoints.on_tick(host, now);
        host.for_each(|frontend, ctx| frontend.on_tick(ctx));
        self.flow_reporter.export(&mut host.state, now);
        host.state.wheel.schedule(now + TICK_INTERVAL, TimerEvent::Tick);
    }

    /// Ends all open work before the process exits, so that no connection is reset without an answer: accepts and
    /// answers the connections in the accept queue, fails unanswered requests, and migrates established connections.
    fn end_open_work(&mut self) {
        self.executor.host.state.net.accept_pending();
        for event in self.executor.host.state.net.take_pending_events() {
            self.on_socket_event(event);
        }
        drain::end_all_requests(&mut self.executor);
    }

    /// Checks that nothing is open, exports the last flows, and logs the counters.
    fn finish(&mut self) {
        drain::check_nothing_open(&mut self.executor.host);
        let now = self.executor.host.state.now();
        self.flow_reporter.export(&mut self.executor.host.state, now);
        self.log_counters();
        tracing::info!("node stopped");
    }
}

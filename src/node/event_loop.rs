//! The event loop: handles what is ready, lets the balancer decide once, and executes its commands.

use super::admin::AdminCalls;
use super::drain::{self, DrainSteps};
use super::executor::Executor;
use super::handover::{self, HandoverSteps};
use super::quota_leases::QuotaLeases;
use super::reports::{self, FlowReports};
use super::signals::{SignalRequest, SignalSockets};
use super::{reload, ServeError};
use crate::frontend::{FrontendFiles, TimerEvent};
use crate::handover::StateSnapshot;
use crate::model::Event;
use crate::net::{ConnectedSocket, SocketEvent, SocketOwner, Token};
use std::time::Duration;

/// How often silent peers are looked for and flows exported.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// A node that serves: its parts, and the event loop that calls them.
pub(super) struct Node {
    pub(super) executor: Executor,
    pub(super) drain_steps: DrainSteps,
    pub(super) handover: HandoverSteps,
    pub(super) admin: AdminCalls,
    pub(super) leases: QuotaLeases,
    pub(super) flow_reports: FlowReports,
    pub(super) signals: SignalSockets,
    /// The optional frontends' files, to be read again with the configuration.
    pub(super) frontend_files: FrontendFiles,
}

impl Node {
    /// Makes the first decisions, on the endpoints that are known from the start, and then restores the state of a
    /// predecessor.
    pub(super) fn begin(&mut self, predecessor: Option<&StateSnapshot>) {
        self.executor.run_balancer();
        if let Some(snapshot) = predecessor {
            handover::restore_snapshot(&mut self.executor.host, &mut self.drain_steps, snapshot);
        }
    }

    /// Serves until the node has shut down.
    ///
    /// # Errors
    /// Where the sockets cannot be polled.
    pub(super) fn run(mut self) -> Result<(), ServeError> {
        loop {
            self.run_iteration()?;
            if drain::should_exit(&self.executor.host) {
                self.settle_before_exit();
            }
            // What was settled may still have to be read by its peer.
            if drain::should_exit(&self.executor.host) {
                self.exit();
                return Ok(());
            }
        }
    }

    fn run_iteration(&mut self) -> Result<(), ServeError> {
        let state = &mut self.executor.host.state;
        let now = state.now();
        let timeout = state.wheel.time_until_next(now);
        let events = state.net.poll(now, timeout).map_err(ServeError::Poll)?;
        for event in events {
            self.on_socket_event(event);
        }
        let state = &mut self.executor.host.state;
        for timer in state.wheel.take_expired(state.clock.now()) {
            self.on_timer(timer);
        }
        self.executor.run_balancer();
        self.handover.transfer_connections(&mut self.executor, &mut self.drain_steps);
        self.send_on_connected();
        reports::trace_attempts(&mut self.executor.host.state);
        Ok(())
    }

    fn on_socket_event(&mut self, event: SocketEvent) {
        let host = &mut self.executor.host;
        match event.owner {
            SocketOwner::Frontend(id) => {
                host.call(id, |frontend, ctx| frontend.on_socket_event(ctx, event));
            }
            SocketOwner::Discovery => self.executor.endpoints.on_socket_event(host, event),
            SocketOwner::Admin => self.admin.on_socket_event(host, &mut self.drain_steps, event),
            SocketOwner::Quota => self.leases.on_socket_event(&mut host.state, event),
            SocketOwner::Handover => {
                self.handover.on_socket_event(&mut self.executor, &mut self.drain_steps, event);
            }
            SocketOwner::Signal => self.on_signal(event.token),
        }
    }

    fn on_signal(&mut self, token: Token) {
        match self.signals.receive(&mut self.executor.host.state.net, token) {
            Some(SignalRequest::ShutDown) => self.drain_steps.shut_down(&mut self.executor.host),
            Some(SignalRequest::LogCounters) => self.log_counters(),
            Some(SignalRequest::Reload) => reload::reload(&mut self.executor, &self.frontend_files),
            None => {}
        }
    }

    fn log_counters(&mut self) {
        reports::log_counters(&mut self.executor, &self.admin, &self.leases);
    }

    /// Writes to the connections that were established in this iteration. The watch is read once more before: the
    /// process may have been stalled since it polled, and a drain that was announced meanwhile counts.
    fn send_on_connected(&mut self) {
        let Executor { host, endpoints } = &mut self.executor;
        let connected = host.state.net.take_connected();
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
            TimerEvent::DrainStep => self.drain_steps.step(&mut self.executor),
            TimerEvent::LeaseExchange => self.leases.exchange(&mut self.executor),
            TimerEvent::AdminTimeout(token) => self.admin.on_timeout(&mut host.state.net, token),
        }
    }

    fn on_tick(&mut self) {
        let Executor { host, endpoints } = &mut self.executor;
        let now = host.state.observe_clocks();
        endpoints.on_tick(host, now);
        host.for_each(|frontend, ctx| frontend.on_tick(ctx));
        self.flow_reports.export(&mut host.state, now);
        host.state.wheel.schedule(now + TICK_INTERVAL, TimerEvent::Tick);
    }

    /// The process is about to end. Connections that wait to be accepted are answered, requests without an answer fail,
    /// and established connections are migrated: the exit cuts nothing off.
    fn settle_before_exit(&mut self) {
        self.executor.host.state.net.accept_waiting();
        for event in self.executor.host.state.net.take_pending_events() {
            self.on_socket_event(event);
        }
        drain::settle_before_exit(&mut self.executor);
    }

    fn exit(&mut self) {
        drain::check_exit(&mut self.executor.host);
        let now = self.executor.host.state.now();
        self.flow_reports.export(&mut self.executor.host.state, now);
        self.log_counters();
        tracing::info!("node stopped");
    }
}

//! The event loop: handles what is ready, lets the balancer decide once, and executes its commands.

use super::{Node, ServeError};
use crate::frontend::TimerEvent;
use crate::model::Event;
use crate::net::{ConnectedSocket, SocketEvent, SocketOwner};
use crate::rules::{Violation, ViolationContext};
use std::time::Duration;

/// How often silent peers are looked for and flows exported.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Serves until the node has shut down.
    pub(super) fn run(mut self) -> Result<(), ServeError> {
        loop {
            let now = self.state.now();
            let timeout = self.state.wheel.time_until_next(now);
            let events = self.state.net.poll(now, timeout).map_err(ServeError::Poll)?;
            for event in events {
                self.on_socket_event(event);
            }
            for timer in self.state.wheel.take_expired(self.state.clock.now()) {
                self.on_timer(timer);
            }
            self.run_balancer();
            self.transfer_connections();
            self.send_on_connected();
            self.print_trace();
            if self.should_exit() {
                self.settle_before_exit();
            }
            // What was settled may still have to be read by its peer.
            if self.should_exit() {
                self.check_exit();
                self.export_flows(self.state.now());
                self.print_counters();
                tracing::info!("node stopped");
                return Ok(());
            }
        }
    }

    pub(super) fn on_socket_event(&mut self, event: SocketEvent) {
        match event.owner {
            SocketOwner::Frontend(id) => {
                self.with_frontend(id, |frontend, ctx| frontend.on_socket_event(ctx, event));
            }
            SocketOwner::Discovery => self.on_discovery_socket(event),
            SocketOwner::Admin => self.on_admin_socket(event),
            SocketOwner::Quota => self.on_lease_socket(event),
            SocketOwner::Handover => self.on_handover_socket(event),
            SocketOwner::Signal => self.on_signal(event.token),
        }
    }

    /// Writes to the connections that were established in this iteration. Before that the list's watch is read once more: the
    /// process may have been stalled since it polled, and a drain that was told meanwhile counts.
    fn send_on_connected(&mut self) {
        let connected = self.state.net.take_connected();
        if connected.is_empty() {
            return;
        }
        self.read_pending_endpoint_events();
        for ConnectedSocket { token, owner } in connected {
            if let SocketOwner::Frontend(id) = owner {
                self.with_frontend(id, |frontend, ctx| frontend.on_connected(ctx, token));
            }
            self.state.net.flush(token);
        }
        self.run_balancer();
    }

    fn on_timer(&mut self, timer: TimerEvent) {
        match timer {
            TimerEvent::Policy(token) => self.state.requests.push_event(Event::Timer(token)),
            TimerEvent::AttemptTimeout(request_id, attempt) => self.on_attempt_timeout(request_id, attempt),
            TimerEvent::ConnectTimeout(id, token) => {
                self.with_frontend(id, |frontend, ctx| frontend.on_connect_timeout(ctx, token));
            }
            TimerEvent::FrontendTimer(id, token) => {
                self.with_frontend(id, |frontend, ctx| frontend.on_timer(ctx, token));
            }
            TimerEvent::Tick => self.on_tick(),
            TimerEvent::DrainStep => self.drain_step(),
            TimerEvent::LeaseExchange => self.exchange_leases(),
            TimerEvent::AdminTimeout(token) => {
                if let Some(admin) = &mut self.admin {
                    admin.on_timeout(&mut self.state.net, token);
                }
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.observe_clocks();
        if let Some(event) = self.discovery.close_silent_watch(now, &mut self.state.net) {
            self.on_endpoint_event(event);
        }
        if self.discovery.awaits_socket() {
            self.subscribe(now);
        }
        self.for_each_frontend(|frontend, ctx| frontend.on_tick(ctx));
        self.export_flows(now);
        self.state.wheel.schedule(now + TICK_INTERVAL, TimerEvent::Tick);
    }

    /// Nothing is open when the process ends.
    fn check_exit(&mut self) {
        if !self.state.requests.is_idle() || !self.frontends.are_idle() {
            let established = self.state.requests.established().len();
            let context = ViolationContext::Exit { open: established };
            self.state.requests.record_violation(Violation::OpenAtExit, context);
        }
    }

    fn should_exit(&self) -> bool {
        if !self.state.lifecycle.is_shutting_down() {
            return false;
        }
        // The exit resets connections that are still closing, and a reset may destroy the MOVE that a client has not
        // read yet.
        let is_idle = self.state.requests.is_idle()
            && self.frontends.are_idle()
            && self.state.net.all_closes_complete();
        self.state.lifecycle.should_exit(self.state.now(), is_idle)
    }
}

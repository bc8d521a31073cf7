//! The discovery watch, and the endpoint events that it yields.

use super::clock::Clock;
use super::Node;
use crate::model::{Event, ListKind};
use crate::net::{SocketEvent, SocketEventKind};
use sparbank_time::MonotonicTime;

impl Node {
    /// Starts the watch on the endpoint list.
    pub(super) fn subscribe(&mut self, now: MonotonicTime) {
        let event = self.discovery.subscribe(now, &mut self.state.net, &self.state.registry);
        if let Some(event) = event {
            self.on_endpoint_event(event);
        }
    }

    /// Handles what has already arrived on the watch.
    pub(super) fn read_pending_endpoint_events(&mut self) {
        let now = self.observe_clocks();
        let pending = self.discovery.read_pending(now, &mut self.state.net, &mut self.state.registry);
        for event in pending {
            self.on_endpoint_event(event);
        }
    }

    /// Looks for a step of the wall clock, by which discovery says when servers started. Yields the node's time.
    pub(super) fn observe_clocks(&mut self) -> MonotonicTime {
        let now = self.state.now();
        self.state.registry.observe_clocks(now, Clock::wall());
        now
    }

    /// Moves the watch to the configured address, after what the old one has sent.
    pub(super) fn change_discovery_address(&mut self) {
        let now = self.state.now();
        self.read_pending_endpoint_events();
        let address = self.state.config.discovery;
        let (net, registry) = (&mut self.state.net, &mut self.state.registry);
        if let Some(event) = self.discovery.change_address(now, net, registry, address) {
            self.on_endpoint_event(event);
        }
    }

    /// Handles an event at the socket of the watch.
    pub(super) fn on_discovery_socket(&mut self, event: SocketEvent) {
        let failed = matches!(event.kind, SocketEventKind::Failed { .. });
        let now = self.observe_clocks();
        let (net, registry) = (&mut self.state.net, &mut self.state.registry);
        let endpoint_events = self.discovery.on_socket_event(now, net, registry, event.token, failed);
        for endpoint_event in endpoint_events {
            self.on_endpoint_event(endpoint_event);
        }
    }

    /// Passes an endpoint list on to the balancer, and the servers that accept nothing new to the frontends.
    pub(super) fn on_endpoint_event(&mut self, event: Event) {
        if let Event::EndpointList(kind, endpoints) = &event {
            tracing::trace!(?kind, entries = endpoints.len(), "endpoint list received");
        }
        if matches!(event, Event::EndpointList(ListKind::Failed, _)) {
            self.state.requests.counters_mut().discovery_failures += 1;
        }
        self.state.requests.push_event(event);
        let not_ready = self.state.registry.not_ready();
        self.for_each_frontend(|frontend, ctx| frontend.on_servers_draining(ctx, &not_ready));
    }
}

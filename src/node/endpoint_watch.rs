//! The watch of the discovery service, and what the node does with each endpoint list that it yields.

use super::frontend_host::FrontendHost;
use crate::discovery::{DiscoveryClient, TransferredWatch};
use crate::model::{Event, ListKind};
use crate::net::{SocketEvent, SocketReactor};
use sparbank_time::MonotonicTime;

/// Owns the discovery client, and reports endpoint lists to the balancer and the frontends.
pub(super) struct EndpointWatch {
    client: DiscoveryClient,
}

impl EndpointWatch {
    /// Watches through this client.
    pub(super) fn new(client: DiscoveryClient) -> EndpointWatch {
        EndpointWatch { client }
    }

    /// Whether a watch is open or requested.
    pub(super) fn is_open(&self) -> bool {
        self.client.has_watch()
    }

    /// Watch requests sent so far.
    pub(super) fn request_count(&self) -> u64 {
        self.client.watch_requests()
    }

    /// Requests a watch, unless there is one.
    pub(super) fn subscribe(&mut self, host: &mut FrontendHost, now: MonotonicTime) {
        let event = self.client.subscribe(now, &mut host.state.net, &host.state.registry);
        if let Some(event) = event {
            report_list(host, event);
        }
    }

    /// Handles what has already arrived on the watch.
    pub(super) fn read_pending(&mut self, host: &mut FrontendHost) {
        let now = host.state.observe_clocks();
        let pending = self.client.read_pending(now, &mut host.state.net, &mut host.state.registry);
        for event in pending {
            report_list(host, event);
        }
    }

    /// Closes a silent watch, and requests one that this machine had no socket for before.
    pub(super) fn on_tick(&mut self, host: &mut FrontendHost, now: MonotonicTime) {
        if let Some(event) = self.client.close_silent_watch(now, &mut host.state.net) {
            report_list(host, event);
        }
        if self.client.awaits_socket() {
            self.subscribe(host, now);
        }
    }

    /// Moves the watch to the configured address, after what the old one has sent.
    pub(super) fn change_address(&mut self, host: &mut FrontendHost) {
        let now = host.state.now();
        self.read_pending(host);
        let address = host.state.config.discovery;
        let (net, registry) = (&mut host.state.net, &mut host.state.registry);
        if let Some(event) = self.client.change_address(now, net, registry, address) {
            report_list(host, event);
        }
    }

    /// Handles an event at the socket of the watch.
    pub(super) fn on_socket_event(&mut self, host: &mut FrontendHost, event: SocketEvent) {
        let now = host.state.observe_clocks();
        let (net, registry) = (&mut host.state.net, &mut host.state.registry);
        let endpoint_events = self.client.on_socket_event(now, net, registry, event);
        for endpoint_event in endpoint_events {
            report_list(host, endpoint_event);
        }
    }

    /// Hands the watch to another process. None where there is none, or where it cannot be transferred now.
    pub(super) fn release(&mut self, net: &mut SocketReactor) -> Option<TransferredWatch> {
        self.client.release_watch(net)
    }

    /// The successor, which has the watch, is gone: has the balancer request another one.
    pub(super) fn on_successor_lost(&mut self, host: &mut FrontendHost) {
        if !self.is_open() {
            report_list(host, Event::EndpointList(ListKind::Failed, Vec::new()));
        }
    }
}

/// Passes an endpoint list to the balancer, and the servers that accept nothing new to the frontends.
fn report_list(host: &mut FrontendHost, event: Event) {
    if let Event::EndpointList(kind, endpoints) = &event {
        tracing::trace!(?kind, entries = endpoints.len(), "endpoint list received");
    }
    if matches!(event, Event::EndpointList(ListKind::Failed, _)) {
        host.state.requests.counters_mut().discovery_failures += 1;
    }
    host.state.requests.push_event(event);
    let not_ready = host.state.registry.not_ready();
    host.for_each(|frontend, ctx| frontend.on_servers_draining(ctx, &not_ready));
}

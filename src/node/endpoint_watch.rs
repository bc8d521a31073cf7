//! The watch on the discovery service, and the handling of the endpoint lists that it returns.

use super::frontend_host::FrontendHost;
use crate::discovery::{DiscoveryClient, TransferredWatch};
use crate::model::{Event, ListKind};
use crate::net::{SocketEvent, SocketReactor};
use sparbank_time::MonotonicTime;

/// Owns the discovery client, and passes endpoint lists to the balancer and the frontends.
pub(super) struct EndpointWatch {
    client: DiscoveryClient,
}

impl EndpointWatch {
    pub(super) fn new(client: DiscoveryClient) -> EndpointWatch {
        EndpointWatch { client }
    }

    /// Whether a watch is open or requested.
    pub(super) fn is_open(&self) -> bool {
        self.client.has_watch()
    }

    /// The number of watch requests sent so far.
    pub(super) fn request_count(&self) -> u64 {
        self.client.watch_requests()
    }

    /// Requests a watch, unless one is open or requested.
    pub(super) fn subscribe(&mut self, host: &mut FrontendHost, now: MonotonicTime) {
        let event = self.client.subscribe(now, &mut host.state.net, &host.state.registry);
        if let Some(event) = event {
            report_list(host, event);
        }
    }

    /// Reads and handles the data that has already arrived on the watch.
    pub(super) fn read_pending(&mut self, host: &mut FrontendHost) {
        let now = host.state.observe_clocks();
        let pending = self.client.read_pending(now, &mut host.state.net, &mut host.state.registry);
        for event in pending {
            report_list(host, event);
        }
    }

    /// Closes an unresponsive watch, and retries a watch request that failed for lack of a socket.
    pub(super) fn on_tick(&mut self, host: &mut FrontendHost, now: MonotonicTime) {
        let (net, registry) = (&mut host.state.net, &mut host.state.registry);
        for event in self.client.close_timed_out_watch(now, net, registry) {
            report_list(host, event);
        }
        if self.client.awaits_socket() {
            self.subscribe(host, now);
        }
    }

    /// Moves the watch to the configured address, once the data that has arrived from the old address is handled.
    pub(super) fn change_address(&mut self, host: &mut FrontendHost) {
        let now = host.state.now();
        self.read_pending(host);
        let address = host.state.config.discovery;
        let (net, registry) = (&mut host.state.net, &mut host.state.registry);
        if let Some(event) = self.client.change_address(now, net, registry, address) {
            report_list(host, event);
        }
    }

    /// Handles an event on the socket of the watch.
    pub(super) fn on_socket_event(&mut self, host: &mut FrontendHost, event: SocketEvent) {
        let now = host.state.observe_clocks();
        let (net, registry) = (&mut host.state.net, &mut host.state.registry);
        let endpoint_events = self.client.on_socket_event(now, net, registry, event);
        for endpoint_event in endpoint_events {
            report_list(host, endpoint_event);
        }
    }

    /// Releases the watch for transfer to another process. `None` if there is no watch or it cannot be transferred now.
    pub(super) fn release(&mut self, net: &mut SocketReactor) -> Option<TransferredWatch> {
        self.client.release_watch(net)
    }

    /// Makes the balancer request a new watch if the watch was transferred to a successor that has been lost.
    pub(super) fn on_successor_lost(&mut self, host: &mut FrontendHost) {
        if !self.is_open() {
            report_list(host, Event::EndpointList(ListKind::Failed, Vec::new()));
        }
    }
}

/// Passes an endpoint list to the balancer, and the servers that accept no new attempts to the frontends.
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
    forget_removed_servers(host);
}

/// Forgets the servers that were removed long ago and that nothing refers to, so that the state of a long-running node
/// does not grow with each server that has ever been listed.
fn forget_removed_servers(host: &mut FrontendHost) {
    let mut servers = host.state.registry.forgettable();
    if servers.is_empty() {
        return;
    }
    host.for_each(|frontend, _| servers.retain(|server| !frontend.uses_server(*server)));
    let forgotten = host.state.requests.forget_servers(servers);
    host.state.registry.forget(&forgotten);
    host.for_each(|frontend, _| frontend.on_servers_forgotten(&forgotten));
}

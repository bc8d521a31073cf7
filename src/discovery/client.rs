//! The discovery client: keeps one watch open and reports the lists that it receives as events for the balancer.

use super::chunked::ResponseError;
use super::document::{EndpointListDocument, ListScope};
use super::registry::EndpointRegistry;
use super::watch::{ReceivedLists, WatchError, WatchState};
use crate::model::{Event, ListKind};
use crate::net::{
    BufferedConnection, ConnectError, ExportedConnection, SocketEvent, SocketEventKind, SocketOwner,
    SocketReactor, Token,
};
use sparbank_time::MonotonicTime;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// A watch that is handed over from one process to its successor.
pub struct TransferredWatch {
    /// The connection to the discovery service.
    pub socket: OwnedFd,
    /// Decoder state and timestamps of the watch.
    pub state: WatchState,
    /// Buffered input and output of the connection.
    pub connection: BufferedConnection,
}

/// Whether the connection of the watch is still usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Usable,
    Failed,
}

struct Watch {
    token: Token,
    state: WatchState,
}

/// A client of the discovery service with at most one open watch.
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: Option<Watch>,
    /// The last watch request was not sent because no socket could be opened on this machine. This does not count as a
    /// failure of the service.
    awaits_socket: bool,
    /// Number of watch requests sent.
    watch_requests: u64,
}

impl DiscoveryClient {
    /// Creates a client of the service at this address, without a watch.
    pub fn new(address: SocketAddr) -> DiscoveryClient {
        DiscoveryClient { address, watch: None, awaits_socket: false, watch_requests: 0 }
    }

    /// Returns whether a watch is open or requested.
    pub fn has_watch(&self) -> bool {
        self.watch.is_some()
    }

    /// Returns the number of watch requests sent.
    pub fn watch_requests(&self) -> u64 {
        self.watch_requests
    }

    /// Returns whether a watch request is pending until a socket can be opened on this machine.
    pub fn awaits_socket(&self) -> bool {
        self.awaits_socket
    }

    /// Opens a watch for the changes since the registry's generation, unless there is a watch already. Returns a failure
    /// event if the connection attempt fails at once.
    pub fn subscribe(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &EndpointRegistry,
    ) -> Option<Event> {
        if self.watch.is_some() {
            return None;
        }
        let connect_result = net.connect(self.address, SocketOwner::Discovery);
        let was_awaiting_socket = std::mem::take(&mut self.awaits_socket);
        let token = match connect_result {
            Ok(token) => token,
            Err(ConnectError::Failed(_)) => return Some(watch_failed_event()),
            Err(error @ (ConnectError::Shortage(_) | ConnectError::Unroutable(_))) => {
                self.awaits_socket = true;
                // Logged once, not at each retry.
                if !was_awaiting_socket {
                    tracing::warn!(%error, "endpoint watch cannot be opened, retrying");
                }
                return None;
            }
        };
        let generation = registry.generation();
        let host = self.address;
        let request =
            format!("GET /registry/instances?watch=1&from={generation} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        net.send(token, request.as_bytes());
        self.watch_requests += 1;
        tracing::trace!(since_version = generation, "endpoint poll sent");
        self.watch = Some(Watch { token, state: WatchState::new(now) });
        None
    }

    /// Switches to a discovery service at another address. Its generations may differ from those of the old one, so a
    /// complete list is requested. The registry keeps its endpoints until that list arrives.
    pub fn change_address(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
        address: SocketAddr,
    ) -> Option<Event> {
        self.close_watch(net);
        registry.prepare_for_new_source();
        self.address = address;
        self.subscribe(now, net, registry)
    }

    /// Handles an event of a discovery socket and returns the resulting balancer events in order. A socket that is not
    /// that of the current watch is closed.
    pub fn on_socket_event(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
        event: SocketEvent,
    ) -> Vec<Event> {
        let connection = match event.kind {
            SocketEventKind::Failed { .. } => ConnectionState::Failed,
            _ => ConnectionState::Usable,
        };
        self.read(now, net, registry, event.token, connection)
    }

    fn read(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
        token: Token,
        connection: ConnectionState,
    ) -> Vec<Event> {
        let Some(watch) = self.watch.as_mut().filter(|watch| watch.token == token) else {
            net.close(token);
            return Vec::new();
        };
        let bytes = net.input_buffer(token).map(std::mem::take).unwrap_or_default();
        let mut received = watch.state.receive(now, &bytes);
        let has_ended = connection == ConnectionState::Failed || net.is_read_closed(token);
        if received.outcome.is_ok() && has_ended {
            received.outcome = Err(WatchError::Response(ResponseError::Ended));
        }
        net.update_interest(token);
        let mut events = apply_lists(registry, &received);
        if let Err(error) = received.outcome {
            events.push(self.close_failed_watch(net, error));
        }
        events
    }

    /// Reads the bytes that have already arrived on the watch. The node must act on a change as soon as the service has
    /// written it to the watch, even if the socket event has not been handled yet.
    pub fn read_pending(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
    ) -> Vec<Event> {
        let Some(token) = self.watch.as_ref().map(|watch| watch.token) else { return Vec::new() };
        net.read_available(token);
        self.read(now, net, registry, token, ConnectionState::Usable)
    }

    /// Closes the watch if one of its timeouts has elapsed, and returns the resulting balancer events in order. Data that
    /// has arrived since the watch was last read comes first: the node counts as notified of it.
    pub fn close_timed_out_watch(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
    ) -> Vec<Event> {
        if !self.has_timed_out(now) {
            return Vec::new();
        }
        let mut events = self.read_pending(now, net, registry);
        if self.has_timed_out(now) {
            events.push(self.close_failed_watch(net, WatchError::TimedOut));
        }
        events
    }

    fn has_timed_out(&self, now: MonotonicTime) -> bool {
        self.watch.as_ref().is_some_and(|watch| watch.state.has_timed_out(now))
    }

    /// Removes the watch from this client to hand it over to the successor. Returns `None` if there is no watch or it
    /// cannot be transferred now.
    pub fn release_watch(&mut self, net: &mut SocketReactor) -> Option<TransferredWatch> {
        let watch = self.watch.as_ref()?;
        if !watch.state.is_transferable() {
            return None;
        }
        let ExportedConnection { fd: socket, connection } = net.export_connection(watch.token)?;
        let state = self.watch.take()?.state;
        Some(TransferredWatch { socket, state, connection })
    }

    /// Adopts the predecessor's endpoint list and its watch, if one was transferred. The watch continues from that
    /// list.
    pub fn take_over(
        &mut self,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
        list: &EndpointListDocument,
        transferred: Option<TransferredWatch>,
    ) -> Event {
        let endpoints = registry.apply(list, ListScope::Complete);
        self.watch = transferred.and_then(|TransferredWatch { socket, state, connection }| {
            let token = net.import_connection(socket, connection, SocketOwner::Discovery).ok()?;
            Some(Watch { token, state })
        });
        // Without a watch the list may be out of date, like one from the configuration.
        let kind = if self.watch.is_some() { ListKind::Full } else { ListKind::Saved };
        Event::EndpointList(kind, endpoints)
    }

    fn close_watch(&mut self, net: &mut SocketReactor) {
        if let Some(watch) = self.watch.take() {
            net.close(watch.token);
        }
    }

    fn close_failed_watch(&mut self, net: &mut SocketReactor, error: WatchError) -> Event {
        tracing::warn!(%error, "endpoint watch lost");
        self.close_watch(net);
        watch_failed_event()
    }
}

/// Applies the lists that were received on a watch and returns one event for each. If the service only confirmed that
/// the known generation is current, the result is an empty incremental list.
fn apply_lists(registry: &mut EndpointRegistry, received: &ReceivedLists) -> Vec<Event> {
    let mut events = Vec::new();
    if received.confirms_generation && received.lists.is_empty() && registry.generation() > 0 {
        events.push(Event::EndpointList(ListKind::Incremental, Vec::new()));
    }
    for list in &received.lists {
        let is_stale = list.generation < registry.generation();
        let kind = if list.is_complete && !is_stale { ListKind::Full } else { ListKind::Incremental };
        events.push(Event::EndpointList(kind, registry.apply(list, list.scope())));
    }
    events
}

fn watch_failed_event() -> Event {
    Event::EndpointList(ListKind::Failed, Vec::new())
}

#[cfg(test)]
mod tests;

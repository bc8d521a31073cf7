//! The discovery client: keeps one watch open and reports the lists that it yields as events for the balancer.

use super::chunked::ResponseError;
use super::document::{EndpointListDocument, ListScope};
use super::registry::EndpointRegistry;
use super::watch::{Received, WatchError, WatchState};
use crate::model::{Event, ListKind};
use crate::net::{
    BufferedConnection, ConnectError, ExportedConnection, SocketEvent, SocketEventKind, SocketOwner,
    SocketReactor, Token,
};
use sparbank_time::MonotonicTime;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

/// A watch on its way from one process to the next.
pub struct TransferredWatch {
    /// The connection to the discovery service.
    pub socket: OwnedFd,
    /// How far the response is decoded.
    pub state: WatchState,
    /// Bytes of the connection that are not read or written yet.
    pub connection: BufferedConnection,
}

/// Whether the connection of the watch is usable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Usable,
    Failed,
}

struct Watch {
    token: Token,
    state: WatchState,
}

/// A client of the discovery service with at most one watch.
pub struct DiscoveryClient {
    address: SocketAddr,
    watch: Option<Watch>,
    /// No watch could be requested because this machine has no socket for it, which is no failure of the service.
    awaits_socket: bool,
    /// Watch requests sent so far.
    watch_requests: u64,
}

impl DiscoveryClient {
    /// A client of the service at this address, without a watch.
    pub fn new(address: SocketAddr) -> DiscoveryClient {
        DiscoveryClient { address, watch: None, awaits_socket: false, watch_requests: 0 }
    }

    /// Whether a watch is open or requested.
    pub fn has_watch(&self) -> bool {
        self.watch.is_some()
    }

    /// Watch requests sent so far.
    pub fn watch_requests(&self) -> u64 {
        self.watch_requests
    }

    /// Whether a watch is to be requested as soon as this machine has a socket for it.
    pub fn awaits_socket(&self) -> bool {
        self.awaits_socket
    }

    /// Requests the changes since the registry's generation, unless there is a watch already. The result is a failure
    /// event where the service refuses the connection.
    pub fn subscribe(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &EndpointRegistry,
    ) -> Option<Event> {
        if self.watch.is_some() {
            return None;
        }
        let connecting = net.connect(self.address, SocketOwner::Discovery);
        let waited = std::mem::take(&mut self.awaits_socket);
        let token = match connecting {
            Ok(token) => token,
            Err(ConnectError::Failed(_)) => return Some(watch_failed()),
            Err(error @ (ConnectError::Shortage(_) | ConnectError::Unroutable(_))) => {
                self.awaits_socket = true;
                if !waited {
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

    /// Moves to a service at another address. Its generations may differ from those of the old one, so a complete list
    /// is requested; the registry keeps its endpoints until that list has arrived.
    pub fn change_address(
        &mut self,
        now: MonotonicTime,
        net: &mut SocketReactor,
        registry: &mut EndpointRegistry,
        address: SocketAddr,
    ) -> Option<Event> {
        self.close_watch(net);
        registry.expect_other_source();
        self.address = address;
        self.subscribe(now, net, registry)
    }

    /// Handles an event at a discovery socket. The result is the changes that it yielded, in order. A socket other than
    /// the current watch's is closed.
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
            events.push(self.lose_watch(net, error));
        }
        events
    }

    /// Reads what has already arrived on the watch: a change that the service has written there counts as known to this
    /// node.
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

    /// Closes a watch that has become silent. The result is then the failure event.
    pub fn close_silent_watch(&mut self, now: MonotonicTime, net: &mut SocketReactor) -> Option<Event> {
        let is_silent = self.watch.as_ref()?.state.is_silent(now);
        is_silent.then(|| self.lose_watch(net, WatchError::Silent))
    }

    /// Hands the watch to another process. None where there is no watch, or where it cannot be transferred now.
    pub fn release_watch(&mut self, net: &mut SocketReactor) -> Option<TransferredWatch> {
        let watch = self.watch.as_ref()?;
        if !watch.state.is_transferable() {
            return None;
        }
        let ExportedConnection { fd: socket, connection } = net.export_connection(watch.token)?;
        let state = self.watch.take()?.state;
        Some(TransferredWatch { socket, state, connection })
    }

    /// Takes over the previous process's list and its watch, if it had one. The watch continues from that list.
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
        // Without a watch the list may be stale by now, like one from the configuration.
        let kind = if self.watch.is_some() { ListKind::Full } else { ListKind::Saved };
        Event::EndpointList(kind, endpoints)
    }

    fn close_watch(&mut self, net: &mut SocketReactor) {
        if let Some(watch) = self.watch.take() {
            net.close(watch.token);
        }
    }

    fn lose_watch(&mut self, net: &mut SocketReactor, error: WatchError) -> Event {
        tracing::warn!(%error, "endpoint watch lost");
        self.close_watch(net);
        watch_failed()
    }
}

/// Applies the lists that a watch yielded. The result is the changes.
fn apply_lists(registry: &mut EndpointRegistry, received: &Received) -> Vec<Event> {
    let mut events = Vec::new();
    if received.starts_unchanged && received.lists.is_empty() && registry.generation() > 0 {
        events.push(Event::EndpointList(ListKind::Incremental, Vec::new()));
    }
    for list in &received.lists {
        let is_stale = list.generation < registry.generation();
        let kind = if list.is_complete && !is_stale { ListKind::Full } else { ListKind::Incremental };
        events.push(Event::EndpointList(kind, registry.apply(list, list.scope())));
    }
    events
}

fn watch_failed() -> Event {
    Event::EndpointList(ListKind::Failed, Vec::new())
}

//! Handover between two processes of this node (hot restart), on the predecessor's and on the successor's side.

use super::drain::DrainManager;
use super::executor::Executor;
use super::frontend_host::FrontendHost;
use crate::frontend::{TransferredConnection, TEXT_FRONTEND};
use crate::handover::{self, FrontendConnection, Handover, HandoverEvent, StateSnapshot};
use crate::net::SocketEvent;

/// Owns the links to the predecessor and the successor, and executes the events of these links.
pub(super) struct HandoverManager {
    /// `None` if the platform passes no listening socket: this node then has no handover.
    handover: Option<Handover>,
}

impl HandoverManager {
    pub(super) fn new(handover: Option<Handover>) -> HandoverManager {
        HandoverManager { handover }
    }

    /// Handles an event on a handover socket.
    pub(super) fn on_socket_event(
        &mut self,
        executor: &mut Executor,
        drain: &mut DrainManager,
        event: SocketEvent,
    ) {
        let Some(handover) = &mut self.handover else { return };
        let events = handover.on_socket_event(&mut executor.host.state.net, event);
        self.on_handover_events(executor, drain, events);
    }

    fn on_handover_events(
        &mut self,
        executor: &mut Executor,
        drain: &mut DrainManager,
        events: Vec<HandoverEvent>,
    ) {
        for event in events {
            match event {
                HandoverEvent::StateRequested => self.send_state(executor, drain),
                HandoverEvent::SuccessorReady => {
                    executor.host.state.net.set_accepting(false);
                    drain.start_handover(&mut executor.host);
                }
                HandoverEvent::SuccessorLost { unsent } => on_successor_lost(executor, unsent),
                HandoverEvent::ConnectionReceived { received, predecessor_descriptors } => {
                    set_descriptor_limit(&mut executor.host, predecessor_descriptors);
                    receive_connection(&mut executor.host, received);
                }
                HandoverEvent::PredecessorExited => {
                    set_descriptor_limit(&mut executor.host, 0);
                    let established_connections = executor.host.state.established_connections();
                    tracing::info!(established_connections, "handover from predecessor complete");
                }
            }
        }
    }

    /// Sends this node's state, the optional frontends' listening sockets and the discovery watch to the successor.
    fn send_state(&mut self, executor: &mut Executor, drain: &mut DrainManager) {
        let state = &mut executor.host.state;
        let snapshot = StateSnapshot {
            is_drained: !state.lifecycle.accepts_clients(),
            endpoint_list: state.registry.snapshot(),
            balancer_state: state.requests.state_snapshot(),
            open_descriptors: state.net.descriptors_in_use(),
            clock: Some(state.now()),
        };
        let listeners = state.net.listeners_except(TEXT_FRONTEND);
        let watch = executor.endpoints.release(&mut state.net);
        let Some(handover) = &mut self.handover else { return };
        let events = handover.send_state(&mut state.net, &snapshot, listeners, watch);
        self.on_handover_events(executor, drain, events);
    }

    /// Transfers connections to the successor while it accepts them and any can be transferred.
    pub(super) fn transfer_connections(&mut self, executor: &mut Executor, drain: &mut DrainManager) {
        while let Some(handover) = self.handover.as_mut().filter(|handover| handover.can_transfer()) {
            let connections = take_transferable_connections(&mut executor.host);
            if connections.is_empty() {
                return;
            }
            let net = &mut executor.host.state.net;
            let events = handover.transfer(net, TEXT_FRONTEND.name, connections);
            self.on_handover_events(executor, drain, events);
            executor.run_balancer();
        }
    }
}

/// Restores the predecessor's state. The balancer must already have received the predecessor's endpoint list.
pub(super) fn restore_snapshot(host: &mut FrontendHost, drain: &mut DrainManager, snapshot: &StateSnapshot) {
    if let Err(error) = host.state.requests.restore_state(&snapshot.balancer_state) {
        tracing::warn!(%error, "cannot restore the predecessor's balancer state");
    }
    if snapshot.is_drained {
        drain.start_drain(host, host.state.now());
    }
    host.state.requests.counters_mut().handovers += 1;
    set_descriptor_limit(host, snapshot.open_descriptors);
    tracing::info!(
        drained = snapshot.is_drained,
        predecessor_descriptors = snapshot.open_descriptors,
        "handover from predecessor started"
    );
}

/// Sets this process's descriptor limit so that both processes together stay within the configured limit.
fn set_descriptor_limit(host: &mut FrontendHost, predecessor_descriptors: usize) {
    let limit = host.state.config.max_descriptors.saturating_sub(predecessor_descriptors);
    host.state.net.set_descriptor_limit(limit);
}

/// Resumes serving after the link to the successor was closed, and takes back the connections that were not sent on it.
fn on_successor_lost(executor: &mut Executor, unsent: Vec<FrontendConnection>) {
    for connection in unsent {
        receive_connection(&mut executor.host, connection);
    }
    let state = &mut executor.host.state;
    state.net.set_accepting(true);
    state.lifecycle.successor_lost(state.now());
    if state.lifecycle.is_serving() {
        executor.host.for_each(|frontend, ctx| frontend.resume_serving(ctx));
    }
    executor.endpoints.on_successor_lost(&mut executor.host);
}

fn receive_connection(host: &mut FrontendHost, received: FrontendConnection) {
    host.receive_connection(&received.frontend, received.connection);
}

fn take_transferable_connections(host: &mut FrontendHost) -> Vec<TransferredConnection> {
    let limit = handover::CONNECTIONS_PER_ITERATION;
    let connections = host.call(TEXT_FRONTEND, |frontend, ctx| frontend.hand_over_connections(ctx, limit));
    connections.unwrap_or_default()
}

//! Handover between two processes of this node (hot restart): the steps of the successor and of the predecessor.

use super::Node;
use crate::frontend::{TransferredConnection, TEXT_FRONTEND};
use crate::handover::{self, FrontendConnection, Handover, HandoverEvent, StateSnapshot};
use crate::model::{Event, ListKind};
use crate::net::SocketEvent;

impl Node {
    /// Restores what the predecessor knew. The balancer has had the predecessor's endpoint list before.
    pub(super) fn restore_snapshot(&mut self, snapshot: &StateSnapshot) {
        if let Err(error) = self.state.requests.restore_state(&snapshot.balancer_state) {
            tracing::warn!(%error, "predecessor's state is unreadable");
        }
        if snapshot.is_drained && self.state.lifecycle.drain(self.state.now()) {
            self.schedule_drain_steps();
        }
        self.state.requests.counters_mut().handovers += 1;
        self.limit_beside_predecessor(snapshot.open_descriptors);
        tracing::info!(
            drained = snapshot.is_drained,
            predecessor_descriptors = snapshot.open_descriptors,
            "handover from predecessor started"
        );
    }

    /// Limits this process's descriptors so that, with the predecessor's, they stay within the node's limit.
    fn limit_beside_predecessor(&mut self, predecessor_descriptors: usize) {
        let limit = self.state.config.max_descriptors.saturating_sub(predecessor_descriptors);
        self.state.net.set_descriptor_limit(limit);
    }

    /// Handles an event at a socket between the two processes.
    pub(super) fn on_handover_socket(&mut self, event: SocketEvent) {
        let Some(handover) = &mut self.handover else { return };
        let events = handover.on_socket_event(&mut self.state.net, event);
        self.on_handover_events(events);
    }

    fn on_handover_events(&mut self, events: Vec<HandoverEvent>) {
        for event in events {
            match event {
                HandoverEvent::StateRequested => self.send_state(),
                HandoverEvent::SuccessorReady => self.on_successor_ready(),
                HandoverEvent::SuccessorLost { unsent } => self.on_successor_lost(unsent),
                HandoverEvent::ConnectionReceived { received, predecessor_descriptors } => {
                    self.limit_beside_predecessor(predecessor_descriptors);
                    self.receive_connection(received);
                }
                HandoverEvent::PredecessorExited => {
                    self.limit_beside_predecessor(0);
                    let established_connections = self.state.requests.established().len();
                    tracing::info!(established_connections, "handover from predecessor complete");
                }
            }
        }
    }

    /// Sends the successor this node's state, its frontends' listening sockets and the discovery watch.
    fn send_state(&mut self) {
        let snapshot = StateSnapshot {
            is_drained: !self.state.lifecycle.accepts_clients(),
            endpoint_list: self.state.registry.snapshot(),
            balancer_state: self.state.requests.state_snapshot(),
            open_descriptors: self.state.net.descriptors_in_use(),
            clock: Some(self.state.now()),
        };
        let listeners = self.state.net.listeners_except(TEXT_FRONTEND);
        let watch = self.discovery.release_watch(&mut self.state.net);
        let Some(handover) = &mut self.handover else { return };
        let events = handover.send_state(&mut self.state.net, &snapshot, listeners, watch);
        self.on_handover_events(events);
    }

    /// The successor serves: this process accepts nothing more and drains.
    fn on_successor_ready(&mut self) {
        self.state.net.set_accepting(false);
        let (now, longest_deadline) = (self.state.now(), self.state.longest_deadline());
        self.state.lifecycle.hand_over(now, longest_deadline);
        self.state.requests.counters_mut().handovers += 1;
        let established_connections = self.state.requests.established().len();
        tracing::info!(established_connections, "handover to successor started");
        self.schedule_drain_steps();
    }

    /// The successor is gone: this process serves on.
    fn on_successor_lost(&mut self, unsent: Vec<FrontendConnection>) {
        for connection in unsent {
            self.receive_connection(connection);
        }
        self.state.net.set_accepting(true);
        self.state.lifecycle.successor_lost(self.state.now());
        // The successor has the watch: without one, the balancer has to start another.
        if !self.discovery.has_watch() {
            self.on_endpoint_event(Event::EndpointList(ListKind::Failed, Vec::new()));
        }
    }

    fn receive_connection(&mut self, FrontendConnection { frontend, connection }: FrontendConnection) {
        if let Some(id) = self.frontends.id_by_name(&frontend) {
            self.with_frontend(id, |frontend, ctx| frontend.receive_connection(ctx, connection));
        }
    }

    /// Transfers to the successor the connections that can be transferred by now.
    pub(super) fn transfer_connections(&mut self) {
        while self.handover.as_ref().is_some_and(Handover::can_transfer) {
            let connections = self.take_transferable_connections();
            if connections.is_empty() {
                return;
            }
            let Some(handover) = &mut self.handover else { return };
            let events = handover.transfer(&mut self.state.net, TEXT_FRONTEND.name, connections);
            self.on_handover_events(events);
            self.run_balancer();
        }
    }

    fn take_transferable_connections(&mut self) -> Vec<TransferredConnection> {
        let limit = handover::CONNECTIONS_PER_ITERATION;
        let connections =
            self.with_frontend(TEXT_FRONTEND, |frontend, ctx| frontend.hand_over_connections(ctx, limit));
        connections.unwrap_or_default()
    }
}

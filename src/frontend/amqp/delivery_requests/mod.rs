//! Requests that clients send as deliveries, from the first transfer until the delivery is settled.
//!
//! [`DeliveryRequests`] owns the deliveries and the state that is retained for resumable links. `transfers` turns
//! received transfers into requests, and `incomplete_deliveries` ends the deliveries that clients do not complete. The
//! methods in this file handle what follows: attempts at servers and the final answer. `link_losses` handles the attach of
//! links, their detach, and the loss of clients.

mod incomplete_deliveries;
mod link_losses;
pub mod transfers;

pub use link_losses::DetachedLink;

use super::clients::{Clients, IncompleteDelivery};
use super::config::AmqpConfig;
use super::connection_link::ConnectionLink;
use super::deliveries::{Attempt, AttemptStage, Deliveries, Delivery};
use super::message_buffer::MessageBuffer;
use super::message_octets::StartDiscarded;
use super::peers::Peers;
use super::recovery::Recovery;
use super::replies::failed_state;
use super::servers::Servers;
use crate::frontend::FrontendContext;
use crate::log_throttle::LogThrottle;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::rules::{Violation, ViolationContext};
use sparbank_amqp::State;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// All requests that clients sent as deliveries.
#[derive(Default)]
pub struct DeliveryRequests {
    deliveries: Deliveries,
    recovery: Recovery,
    /// Deliveries that were aborted after part of them was sent to a server.
    aborted: u64,
    /// Deliveries in clients' unsettled maps whose outcome was unknown.
    unknown_deliveries: u64,
    /// Deliveries that ended because their clients did not complete them in time.
    expired_incomplete: u64,
    buffer_warning: LogThrottle,
}

/// The values of this module for the AMQP counter line.
pub struct DeliveryCounters {
    /// Octets of deliveries that are currently buffered.
    pub buffered_bytes: usize,
    /// The maximum of `buffered_bytes` so far.
    pub peak_buffered_bytes: usize,
    /// Deliveries that were aborted after part of them was sent to a server.
    pub aborted: u64,
    /// Links whose state is currently retained for resumption. Printed as `remembered`.
    pub remembered_links: usize,
    /// Number of times that a link was resumed.
    pub resumed_links: u64,
    /// Deliveries in clients' unsettled maps whose outcome was unknown.
    pub unknown: u64,
    /// Octets that are currently buffered for the client that holds the most.
    pub largest_client_bytes: usize,
    /// Deliveries that ended because their clients did not complete them in time.
    pub expired_incomplete: u64,
}

impl DeliveryRequests {
    /// Returns the values of this module for the AMQP counter line.
    pub fn counters(&self) -> DeliveryCounters {
        DeliveryCounters {
            buffered_bytes: self.buffer().total(),
            peak_buffered_bytes: self.buffer().peak(),
            aborted: self.aborted,
            remembered_links: self.recovery.len(),
            resumed_links: self.recovery.resumed_links(),
            unknown: self.unknown_deliveries,
            largest_client_bytes: self.buffer().largest_client().map_or(0, |client| client.bytes),
            expired_incomplete: self.expired_incomplete,
        }
    }

    /// The numbers of octets that are buffered.
    pub fn buffer(&self) -> &MessageBuffer {
        self.deliveries.buffer()
    }

    /// Logs which client holds the most of the buffered messages after they have reached their limit, not more often
    /// than [`LogThrottle`] allows.
    pub fn warn_buffer_full(&mut self, now: MonotonicTime, clients: &mut Clients, config: &AmqpConfig) {
        let Some(largest) = self.buffer().largest_client() else { return };
        if !self.buffer_warning.may_log(now) {
            return;
        }
        let client = clients.get(largest.token);
        let container = client.as_ref().map(|client| client.conn.peer().container.as_str());
        tracing::warn!(
            client_connection = %largest.token,
            container,
            client_bytes = largest.bytes,
            buffered_bytes = self.buffer().total(),
            max_buffered_bytes = config.max_buffered_bytes,
            "AMQP message buffer full"
        );
    }

    /// All unsettled deliveries. The server side of the frontend sends them.
    pub fn deliveries(&mut self) -> &mut Deliveries {
        &mut self.deliveries
    }

    /// Queues an attempt of a request at a server.
    pub fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return };
        let deadline = ctx.now + timeout;
        match delivery.start_attempt(server, deadline) {
            Ok(()) => peers.servers.enqueue(server, delivery.class, delivery.link.token, request_id),
            Err(StartDiscarded) => {
                let context = ViolationContext::Request { request: request_id.0, id: "" };
                ctx.requests.record_violation(Violation::RetriedWithoutStart, context);
                self.on_attempt_ended(ctx, peers, request_id, Outcome::NotSent);
            }
        }
    }

    /// Handles the time-out of a request's attempt.
    pub fn on_attempt_timeout(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        request_id: RequestId,
    ) {
        let outcome = self.cancel_attempt(ctx, peers.servers, request_id);
        self.on_attempt_ended(ctx, peers, request_id, outcome);
    }

    /// Cancels the attempt of a request and returns its outcome, which shows whether the server may have run the
    /// request. The server has not run a request whose delivery was not sent completely.
    pub fn cancel_attempt(
        &mut self,
        ctx: &FrontendContext,
        servers: &mut Servers,
        request_id: RequestId,
    ) -> Outcome {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return Outcome::Cancelled };
        let Some(attempt) = delivery.end_attempt() else { return Outcome::Cancelled };
        let unsent_outcome = delivery.unsent_outcome();
        match attempt.stage {
            AttemptStage::Queued => {
                servers.dequeue(attempt.server, delivery.class, delivery.link.token, request_id);
                unsent_outcome
            }
            AttemptStage::Sending { link, .. } => {
                self.aborted += 1;
                if let Some(connection) = servers.connection(link.token) {
                    connection.conn.abort(link.id);
                }
                servers.free_sending_link(attempt.server, delivery.class, request_id);
                unsent_outcome
            }
            AttemptStage::Sent { link, delivery_id, end } => {
                let is_written = ctx.net.bytes_written(link.token) >= end;
                if let Some(connection) = servers.connection(link.token) {
                    connection.conn.settle_outgoing(link.id, delivery_id);
                }
                servers.mark_dirty(attempt.server);
                if is_written {
                    Outcome::Timeout
                } else {
                    Outcome::Reset
                }
            }
        }
    }

    /// Handles the end of a request's attempt. Settles the delivery if no retry follows because the attempt succeeded,
    /// or because the octets to send again have been discarded.
    pub fn on_attempt_ended(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        request_id: RequestId,
        outcome: Outcome,
    ) {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return };
        delivery.end_attempt();
        let is_retryable = delivery.is_retryable();
        if outcome != Outcome::Ok
            && !is_retryable
            && ctx.requests.on_non_retryable_attempt_ended(ctx.now, request_id, outcome)
        {
            return self.answer(peers, request_id, failed_state());
        }
        if ctx.requests.on_attempt_ended(ctx.now, request_id, outcome) {
            self.answer(peers, request_id, State::Accepted);
        }
    }

    /// Handles a server's settlement of a delivery of the class with this index.
    pub fn on_settled_by_server(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        class: usize,
        request_id: RequestId,
        state: Option<State>,
    ) {
        let outcome = match state {
            Some(State::Accepted) => Outcome::Ok,
            // The server reports that it did not process the delivery, so the request has not run.
            Some(State::Released | State::Modified { delivery_failed: false, .. }) => Outcome::Rejected,
            // After any other state, or none, the request may have run.
            _ => Outcome::Error,
        };
        let attempt = self.deliveries.get(request_id).and_then(Delivery::attempt);
        if let Some(Attempt { server, stage: AttemptStage::Sending { .. }, .. }) = attempt {
            peers.servers.free_sending_link(*server, class, request_id);
        }
        self.on_attempt_ended(ctx, peers, request_id, outcome);
    }

    /// Handles the loss of a server's link while this request's delivery was unsettled on it.
    pub fn on_delivery_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        request_id: RequestId,
    ) {
        let outcome = self.deliveries.outcome_of_lost_link(request_id);
        self.on_attempt_ended(ctx, peers, request_id, outcome);
    }

    /// Ends the attempts at these servers that were not sent completely, because the servers accept no new attempts.
    pub fn on_servers_draining(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        stopped: &[ServerId],
    ) {
        for request_id in self.deliveries.unsent_at(stopped) {
            self.cancel_attempt(ctx, peers.servers, request_id);
            self.on_attempt_ended(ctx, peers, request_id, Outcome::ConnectFailed);
        }
    }

    /// Settles the delivery of a request with its final state.
    pub fn answer(&mut self, peers: &mut Peers<'_>, request_id: RequestId, state: State) {
        let Some(delivery) = self.deliveries.remove(request_id) else { return };
        self.recovery.record_settled(peers.config.recovery_limits(), request_id, &state);
        let client = peers.clients.get(delivery.link.token).filter(|_| delivery.is_attached);
        let Some(client) = client else { return };
        client.remove_open_request();
        client.conn.settle(delivery.link.id.channel, delivery.delivery_id, state);
        peers.clients.mark_dirty(delivery.link.token);
        self.replenish_credit(peers, delivery.link);
    }

    /// Replenishes the credit of a client's sending link, within the limit on buffered octets.
    pub fn replenish_credit(&self, peers: &mut Peers<'_>, link: ConnectionLink) {
        peers.clients.replenish_credit(link, peers.config, self.buffer());
    }

    /// Drops a request whose client has cancelled it or has disconnected.
    pub fn abandon(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>, request_id: RequestId) {
        self.cancel_attempt(ctx, peers.servers, request_id);
        ctx.requests.on_client_disconnected(ctx.now, request_id);
        self.recovery.remove_request(request_id);
        let Some(delivery) = self.deliveries.remove(request_id) else { return };
        if let Some(client) = peers.clients.get(delivery.link.token).filter(|_| delivery.is_attached) {
            client.remove_open_request();
        }
    }

    /// Drops several requests, as [`DeliveryRequests::abandon`] does for one.
    pub fn abandon_all(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        requests: Vec<RequestId>,
    ) {
        for request_id in requests {
            self.abandon(ctx, peers, request_id);
        }
    }

    /// Drops a request whose client has settled its delivery on this link. If the delivery was resumed on another link,
    /// the request continues there.
    pub fn on_settled_by_client(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        link: ConnectionLink,
        request_id: RequestId,
    ) {
        if self.deliveries.is_on_link(request_id, link) {
            self.abandon(ctx, peers, request_id);
        }
    }

    /// Releases the octets buffered for a delivery that has not become a request and will not be continued.
    pub fn drop_incomplete(&mut self, client: Token, incomplete: &IncompleteDelivery) {
        self.deliveries.buffer_mut().subtract(client, incomplete.buffered_bytes());
    }
}

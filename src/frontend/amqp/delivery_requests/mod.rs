//! Requests that are deliveries of clients: from the first transfer until the delivery is settled.
//!
//! [`DeliveryRequests`] owns the deliveries and what is remembered of them for links that are resumed. `transfers` makes
//! requests of received transfers. The rest is called with what becomes of a request: its attempts at servers, its answer,
//! and the loss of the client or its link.

pub mod transfers;

use super::clients::{Client, IncompleteDelivery, SendingLink};
use super::connection_link::ConnectionLink;
use super::deliveries::{Attempt, AttemptStage, Deliveries};
use super::peers::Peers;
use super::recovery::{LinkKey, Recovery, ResumedLink};
use super::replies::failed_state;
use super::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{AbandonedDelivery, LinkEnd, Role, State, Tag};
use std::time::Duration;

/// The requests that are deliveries of clients.
#[derive(Default)]
pub struct DeliveryRequests {
    deliveries: Deliveries,
    recovery: Recovery,
    /// Deliveries aborted after they were sent to a server partly.
    aborted: u64,
    /// Deliveries in clients' unsettled maps of which nothing was known.
    unknown: u64,
}

/// Figures for the counter line.
pub struct DeliveryCounters {
    /// The octets buffered now.
    pub buffered_bytes: usize,
    /// The most octets that were buffered at one time.
    pub peak_buffered_bytes: usize,
    /// Deliveries aborted after they were sent to a server partly.
    pub aborted: u64,
    /// Links that are remembered now.
    pub remembered_links: usize,
    /// Links that were resumed.
    pub resumed_links: u64,
    /// Deliveries in clients' unsettled maps of which nothing was known.
    pub unknown: u64,
}

/// A sending link of a client that is detached.
pub struct DetachedLink {
    /// The client's connection.
    pub token: Token,
    /// The link.
    pub link: SendingLink,
    /// Whether it may be resumed.
    pub end: LinkEnd,
    /// The requests that were unsettled on it.
    pub requests: Vec<RequestId>,
}

impl DeliveryRequests {
    /// Figures for the counter line.
    pub fn counters(&self) -> DeliveryCounters {
        DeliveryCounters {
            buffered_bytes: self.deliveries.buffered_bytes(),
            peak_buffered_bytes: self.deliveries.peak_buffered_bytes(),
            aborted: self.aborted,
            remembered_links: self.recovery.len(),
            resumed_links: self.recovery.resumed_links(),
            unknown: self.unknown,
        }
    }

    /// The octets buffered of all deliveries.
    pub fn buffered_bytes(&self) -> usize {
        self.deliveries.buffered_bytes()
    }

    /// All unsettled deliveries, for the servers' side to send them.
    pub fn deliveries(&mut self) -> &mut Deliveries {
        &mut self.deliveries
    }

    // ---- Attempts ----------------------------------------------------------------------------------

    /// Queues the attempt of a request at a server.
    pub fn start_attempt(
        &mut self,
        ctx: &FrontendContext,
        servers: &mut Servers,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return };
        let deadline = ctx.now + timeout;
        delivery.attempt = Some(Attempt { server, deadline, stage: AttemptStage::Queued });
        servers.enqueue(server, delivery.class, delivery.link.token, request_id);
    }

    /// Cancels the attempt of a request. Returns its outcome: an attempt that was not sent has not run.
    pub fn cancel_attempt(
        &mut self,
        ctx: &FrontendContext,
        servers: &mut Servers,
        request_id: RequestId,
    ) -> Outcome {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return Outcome::Cancelled };
        let Some(attempt) = delivery.attempt.take() else { return Outcome::Cancelled };
        match attempt.stage {
            AttemptStage::Queued => {
                servers.dequeue(attempt.server, delivery.class, delivery.link.token, request_id);
                Outcome::ConnectFailed
            }
            AttemptStage::Sending { link, .. } => {
                self.aborted += 1;
                if let Some(connection) = servers.connection(link.token) {
                    connection.conn.abort(link.id);
                }
                servers.free_sending_link(attempt.server, delivery.class, request_id);
                Outcome::ConnectFailed
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

    /// The attempt of a request has ended. With the outcome `Ok`, or without a further attempt, the delivery is settled.
    pub fn on_attempt_ended(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        request_id: RequestId,
        outcome: Outcome,
    ) {
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return };
        delivery.attempt = None;
        let is_retryable = delivery.is_retryable();
        if outcome != Outcome::Ok
            && !is_retryable
            && ctx.requests.on_unrepeatable_attempt_ended(ctx.now, request_id, outcome)
        {
            return self.answer(peers, request_id, failed_state());
        }
        if ctx.requests.on_attempt_ended(ctx.now, request_id, outcome) {
            self.answer(peers, request_id, State::Accepted);
        }
    }

    /// A server has settled a delivery of this class.
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
            // It was not processed, and nothing has changed: it has not run.
            Some(State::Released | State::Modified { failed: false, .. }) => Outcome::Rejected,
            // Any other settlement says that it may have run, or nothing.
            _ => Outcome::Error,
        };
        let attempt = self.deliveries.get(request_id).and_then(|delivery| delivery.attempt.as_ref());
        if let Some(Attempt { server, stage: AttemptStage::Sending { .. }, .. }) = attempt {
            peers.servers.free_sending_link(*server, class, request_id);
        }
        self.on_attempt_ended(ctx, peers, request_id, outcome);
    }

    /// A server's link is lost with a delivery that was sent on it.
    pub fn on_delivery_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        request_id: RequestId,
    ) {
        let outcome = self.deliveries.interrupted_outcome(request_id, ctx.net.bytes_written(token));
        self.on_attempt_ended(ctx, peers, request_id, outcome);
    }

    /// These servers take no new attempts: ends those that were not sent completely.
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

    // ---- Answers -----------------------------------------------------------------------------------

    /// Settles a delivery with its final state.
    pub fn answer(&mut self, peers: &mut Peers<'_>, request_id: RequestId, state: State) {
        let Some(delivery) = self.deliveries.remove(request_id) else { return };
        self.recovery.record_settled(peers.config.recovery_limits(), request_id, &state);
        let client = peers.clients.get(delivery.link.token).filter(|_| delivery.is_attached);
        let Some(client) = client else { return };
        client.uncount_open_request();
        client.conn.settle(delivery.link.id.channel, delivery.delivery_id, state);
        peers.clients.mark_dirty(delivery.link.token);
        self.replenish_credit(peers, delivery.link);
    }

    /// Replenishes the credit of a client's sending link.
    pub fn replenish_credit(&self, peers: &mut Peers<'_>, link: ConnectionLink) {
        peers.clients.replenish_credit(link, peers.config, self.buffered_bytes());
    }

    // ---- Loss of clients and links -----------------------------------------------------------------

    /// The client has given a request up, or is gone.
    pub fn abandon(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>, request_id: RequestId) {
        self.cancel_attempt(ctx, peers.servers, request_id);
        ctx.requests.on_client_disconnected(ctx.now, request_id);
        self.recovery.forget_request(request_id);
        let Some(delivery) = self.deliveries.remove(request_id) else { return };
        if let Some(client) = peers.clients.get(delivery.link.token).filter(|_| delivery.is_attached) {
            client.uncount_open_request();
        }
    }

    /// The client has given these requests up, or is gone.
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

    /// The link of a request is lost and may be resumed: the request goes on, and its answer is remembered.
    fn suspend(&mut self, peers: &mut Peers<'_>, key: &LinkKey, request_id: RequestId) {
        let delivery = self.deliveries.get_mut(request_id).filter(|delivery| delivery.is_attached);
        let Some(delivery) = delivery else { return };
        if let Some(client) = peers.clients.get(delivery.link.token) {
            client.uncount_open_request();
        }
        delivery.is_attached = false;
        self.recovery.record_running(key, delivery.tag, request_id);
    }

    /// A client attaches a sending link. `unsettled` are the tags of its unsettled map; the link is remembered for
    /// `timeout` after it is lost.
    pub fn on_link_attached(
        &mut self,
        peers: &Peers<'_>,
        key: &LinkKey,
        token: Token,
        timeout: Duration,
        unsettled: &[Tag],
    ) -> ResumedLink {
        self.recovery.attach(peers.config.recovery_limits(), key, token, timeout, unsettled)
    }

    /// Whether the deliveries of a link are remembered.
    pub fn is_remembered(&self, key: &LinkKey) -> bool {
        self.recovery.is_remembered(key)
    }

    /// A client has detached a sending link: its requests are abandoned, unless it is suspended.
    pub fn on_link_detached(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        detached: DetachedLink,
    ) {
        let DetachedLink { token, link, end, requests } = detached;
        let limits = peers.config.recovery_limits();
        let is_suspended =
            end == LinkEnd::Suspended && self.recovery.suspend(limits, &link.key, token, ctx.now);
        for request_id in requests {
            if is_suspended && self.deliveries.is_complete(request_id) {
                self.suspend(peers, &link.key, request_id);
            } else {
                self.abandon(ctx, peers, request_id);
            }
        }
        if !is_suspended {
            let forgotten = self.recovery.forget(&link.key);
            self.abandon_all(ctx, peers, forgotten);
        }
        self.drop_incomplete(&link.incomplete);
    }

    /// A client's connection is lost. Requests on links that may be resumed go on; the others are abandoned.
    pub fn on_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        client: &mut Client,
    ) {
        for AbandonedDelivery { link, role, key } in client.conn.abandon() {
            if role != Role::Receiver {
                continue;
            }
            let request_id = RequestId(key);
            let link = client.sending_link(link).filter(|link| link.is_remembered);
            match link.filter(|_| self.deliveries.is_complete(request_id)) {
                Some(link) => self.suspend(peers, &link.key.clone(), request_id),
                None => self.abandon(ctx, peers, request_id),
            }
        }
        let forgotten = self.recovery.connection_lost(token, ctx.now);
        self.abandon_all(ctx, peers, forgotten);
    }

    /// Forgets the octets of a delivery that is no request yet, and whose rest does not follow.
    pub fn drop_incomplete(&mut self, incomplete: &IncompleteDelivery) {
        self.deliveries.subtract_buffered(incomplete.buffered_bytes());
    }

    /// Forgets the links that were not resumed in time, and abandons their requests.
    pub fn expire(&mut self, ctx: &mut FrontendContext, peers: &mut Peers<'_>) {
        let expired = self.recovery.expire(ctx.now);
        self.abandon_all(ctx, peers, expired);
    }
}

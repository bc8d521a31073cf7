//! The outcomes of attempts, and the answers to the deliveries that they were made for.

use super::deliveries::{AttemptStage, Delivery};
use super::recovery::LinkKey;
use super::replies::failed_state;
use super::servers::AttemptResult;
use super::AmqpFrontend;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId};
use crate::net::Token;
use sparbank_amqp::{LinkId, State};

impl AmqpFrontend {
    /// Attempts have ended at the servers.
    pub(super) fn on_attempt_results(&mut self, ctx: &mut FrontendContext, results: Vec<AttemptResult>) {
        for result in results {
            match result {
                AttemptResult::Ended(request_id, outcome) => self.on_attempt_ended(ctx, request_id, outcome),
                AttemptResult::ForwarderNotAttached(forwarder, outcome) => {
                    self.on_forwarder_attempt_failed(ctx, forwarder, outcome)
                }
            }
        }
    }

    /// The attempt of a delivery has ended.
    pub(super) fn on_attempt_ended(
        &mut self,
        ctx: &mut FrontendContext,
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
            return self.answer(request_id, failed_state());
        }
        if ctx.requests.on_attempt_ended(ctx.now, request_id, outcome) {
            self.answer(request_id, State::Accepted);
        }
    }

    /// Settles a delivery with its final state.
    pub(super) fn answer(&mut self, request_id: RequestId, state: State) {
        let Some(delivery) = self.deliveries.remove(request_id) else { return };
        self.recovery.record_settled(self.config.recovery_limits(), request_id, &state);
        if let Some(client) = self.clients.get(delivery.client).filter(|_| delivery.attached) {
            client.open_requests -= 1;
            client.conn.settle(delivery.link.channel, delivery.delivery_id, state);
            self.clients.mark_dirty(delivery.client);
            self.replenish_credit(delivery.client, delivery.link);
        }
    }

    /// Replenishes the credit of a client's sending link, unless the node shuts down.
    pub(super) fn replenish_credit(&mut self, token: Token, link: LinkId) {
        if !self.shutting_down {
            self.clients.replenish_credit(token, link, &self.config, self.deliveries.buffered_bytes());
        }
    }

    /// Replenishes the credit of the sending links that have none left: it shrank while memory was short, or was taken
    /// back for a shutdown.
    pub(super) fn replenish_all_credit(&mut self) {
        for token in self.clients.tokens() {
            let Some(client) = self.clients.get(token) else { continue };
            for link in client.links_without_credit() {
                self.replenish_credit(token, link);
            }
        }
    }

    /// The client has given a request up, or is gone.
    pub(super) fn abandon_request(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        self.cancel_delivery_or_forwarder(ctx, request_id);
        ctx.requests.on_client_disconnected(ctx.now, request_id);
        self.recovery.forget_request(request_id);
        if let Some(delivery) = self.deliveries.remove(request_id) {
            self.uncount_open_request(&delivery);
        }
    }

    /// The link of a request is lost and may be resumed: the request goes on, and its answer is remembered.
    pub(super) fn suspend_request(&mut self, key: &LinkKey, request_id: RequestId) {
        let delivery = self.deliveries.get_mut(request_id).filter(|delivery| delivery.attached);
        let Some(delivery) = delivery else { return };
        if let Some(client) = self.clients.get(delivery.client) {
            client.open_requests -= 1;
        }
        delivery.attached = false;
        self.recovery.record_running(key, delivery.tag, request_id);
    }

    fn uncount_open_request(&mut self, delivery: &Delivery) {
        if let Some(client) = self.clients.get(delivery.client).filter(|_| delivery.attached) {
            client.open_requests -= 1;
        }
    }

    /// Cancels the attempt of a request. Gives its outcome: an attempt that was not sent has not run.
    pub(super) fn cancel_delivery_or_forwarder(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
    ) -> Outcome {
        if let Some(forwarder) = self.forwarders.of_request(request_id) {
            let unsent = self.forwarders.cancel_attempt(forwarder, &mut self.servers);
            return if unsent { Outcome::ConnectFailed } else { Outcome::Timeout };
        }
        let Some(delivery) = self.deliveries.get_mut(request_id) else { return Outcome::Cancelled };
        let Some(attempt) = delivery.attempt.take() else { return Outcome::Cancelled };
        match attempt.stage {
            AttemptStage::Queued => {
                self.servers.dequeue(attempt.server, delivery.class, delivery.client, request_id);
                Outcome::ConnectFailed
            }
            AttemptStage::Sending { token, link, .. } => {
                self.aborted += 1;
                if let Some(connection) = self.servers.get(token) {
                    connection.conn.abort(link);
                }
                self.servers.free_sending_link(attempt.server, delivery.class, request_id);
                Outcome::ConnectFailed
            }
            AttemptStage::Sent { token, link, delivery_id, end } => {
                let is_written = ctx.net.bytes_written(token) >= end;
                if let Some(connection) = self.servers.get(token) {
                    connection.conn.settle_outgoing(link, delivery_id);
                }
                self.servers.mark_dirty(attempt.server);
                if is_written {
                    Outcome::Timeout
                } else {
                    Outcome::Reset
                }
            }
        }
    }
}

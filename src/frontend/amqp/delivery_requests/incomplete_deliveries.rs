//! Deliveries that a client begins and does not complete: they hold memory, so they end after a time.

use super::transfers::TransferHandler;
use crate::frontend::amqp::clients::{IncompleteBody, IncompleteDelivery};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::message_buffer::resume_threshold;
use crate::frontend::amqp::replies::{invalid_state, rejected_state, RETRY_AFTER_MS};
use crate::frontend::TimerEvent;
use crate::net::Token;
use sparbank_amqp::{condition, fault, Error, Fault, LinkId, State};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// How long the head of a message may take, and how long a client may pause within a body or a frame. Clients that stop
/// get an error within 3 s.
const INCOMPLETE_TIMEOUT: Duration = Duration::from_secs(2);
/// How often incomplete input is checked once the first time-out has passed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// A delivery whose last transfer has not been received.
struct PendingDelivery {
    link: LinkId,
    /// The delivery id on the client's session.
    id: u32,
    /// The start of the time-out: when the delivery began, if its head is incomplete; otherwise when its most recent
    /// transfer was received, or could have been.
    waiting_since: MonotonicTime,
    /// Buffered octets that become free only if the client completes the delivery.
    blocking_bytes: usize,
}

impl TransferHandler<'_, '_> {
    /// Sets the incomplete delivery of a link, and a timer that ends it.
    pub(super) fn set_incomplete(&mut self, link: ConnectionLink, incomplete: IncompleteDelivery) {
        let has_timeout =
            matches!(incomplete, IncompleteDelivery::ReadingHead(_) | IncompleteDelivery::Request(_));
        if let Some(sending_link) = self.sending_link(link) {
            sending_link.incomplete = incomplete;
        }
        if has_timeout {
            self.schedule_incomplete_check(link.token, INCOMPLETE_TIMEOUT);
        }
    }

    /// Sets a timer that closes a client's connection if the client stops within a frame.
    pub fn on_incomplete_frame(&mut self, token: Token) {
        self.schedule_incomplete_check(token, INCOMPLETE_TIMEOUT);
    }

    fn schedule_incomplete_check(&mut self, token: Token, delay: Duration) {
        let check_at = self.ctx.now + delay;
        let client = self.peers.clients.get(token);
        if client.is_some_and(|client| client.schedule_incomplete_check(check_at)) {
            self.ctx.wheel.schedule(check_at, TimerEvent::FrontendTimer(self.info.id, token));
        }
    }

    /// Handles the expiry of a timer of a client's socket: ends the deliveries that the client has not completed in
    /// time.
    ///
    /// # Errors
    /// The client has stopped within a frame, so its connection has to be closed.
    pub fn check_incomplete(&mut self, token: Token) -> Result<(), Fault> {
        let Some(client) = self.peers.clients.get(token) else { return Ok(()) };
        if !client.take_due_incomplete_check(self.ctx.now) {
            return Ok(());
        }
        let is_withheld = client.is_input_withheld(self.ctx, token);
        if is_withheld {
            // Bodies wait on the node, not on the client.
            client.restart_body_timeouts(self.ctx.now);
        }
        // Before the connection is open, the time limit of its handshake applies.
        let is_reading = client.conn.is_open() && !is_withheld;
        let has_incomplete_frame = is_reading && client.has_unprocessed_input(self.ctx, token);
        if has_incomplete_frame && self.is_due(self.ctx.net.last_peer_activity(token)) {
            return Err(fault(condition::FRAMING_ERROR, "the frame was not completed in time"));
        }
        let mut is_pending = has_incomplete_frame;
        for delivery in self.incomplete_deliveries(token) {
            let link = ConnectionLink { token, id: delivery.link };
            if self.is_due(delivery.waiting_since) {
                let state = if is_withheld { rejected_state(RETRY_AFTER_MS) } else { incomplete_state() };
                self.end_incomplete(link, delivery.id, state);
            } else {
                is_pending = true;
            }
        }
        if is_pending {
            self.schedule_incomplete_check(token, CHECK_INTERVAL);
        }
        Ok(())
    }

    fn is_due(&self, since: MonotonicTime) -> bool {
        since + INCOMPLETE_TIMEOUT <= self.ctx.now
    }

    /// The incomplete deliveries of a client that have not been answered, in the order of their links.
    fn incomplete_deliveries(&mut self, token: Token) -> Vec<PendingDelivery> {
        let Some(client) = self.peers.clients.get(token) else { return Vec::new() };
        let max_retryable_bytes = self.peers.config.max_retryable_bytes;
        let now = self.ctx.now;
        let body_timeouts_from = client.body_timeouts_from();
        let mut pending = Vec::new();
        for link in client.sending_link_ids() {
            let Some(sending_link) = client.sending_link(link) else { continue };
            match &sending_link.incomplete {
                IncompleteDelivery::ReadingHead(head) => pending.push(PendingDelivery {
                    link,
                    id: head.delivery_id,
                    waiting_since: head.started_at,
                    blocking_bytes: head.bytes.len(),
                }),
                IncompleteDelivery::Request(IncompleteBody { request_id, last_transfer_at }) => {
                    let delivery = self.requests.deliveries.get(*request_id);
                    let at = ConnectionLink { token, id: link };
                    let Some(delivery) = delivery.filter(|delivery| delivery.link == at) else { continue };
                    // The octets of larger deliveries become free as they are sent, which makes room for more transfers.
                    let is_retained = delivery.message.received_len() <= max_retryable_bytes;
                    let is_blocking = is_retained || *last_transfer_at + INCOMPLETE_TIMEOUT <= now;
                    pending.push(PendingDelivery {
                        link,
                        id: delivery.delivery_id,
                        waiting_since: (*last_transfer_at).max(body_timeouts_from),
                        blocking_bytes: if is_blocking { delivery.message.buffered_len() } else { 0 },
                    });
                }
                IncompleteDelivery::None | IncompleteDelivery::Ignored => {}
            }
        }
        pending
    }

    /// Ends incomplete deliveries that keep clients from being read: memory that they hold becomes free only once they
    /// are complete, and if it is most of the limit, no client that waits for memory is read before that. Those of the
    /// client that holds the most of it end first; the client may send them again.
    pub fn end_blocking_deliveries(&mut self) {
        if self.peers.clients.paused_count() == 0 {
            return;
        }
        let mut blocking: Vec<(usize, Token)> = Vec::new();
        for token in self.peers.clients.tokens() {
            let bytes =
                self.incomplete_deliveries(token).iter().map(|delivery| delivery.blocking_bytes).sum();
            blocking.push((bytes, token));
        }
        blocking.sort_unstable();
        let mut total: usize = blocking.iter().map(|(bytes, _)| bytes).sum();
        while total >= resume_threshold(self.peers.config.max_buffered_bytes) {
            let Some((bytes, token)) = blocking.pop() else { return };
            for delivery in self.incomplete_deliveries(token) {
                if delivery.blocking_bytes > 0 {
                    let state = rejected_state(RETRY_AFTER_MS);
                    self.end_incomplete(ConnectionLink { token, id: delivery.link }, delivery.id, state);
                }
            }
            total -= bytes;
        }
    }

    /// Ends an incomplete delivery and settles it with this state. Its further transfers are ignored. A server has not
    /// run it: its last octet was not sent.
    fn end_incomplete(&mut self, link: ConnectionLink, delivery_id: u32, state: State) {
        let Some(sending_link) = self.sending_link(link) else { return };
        let incomplete = std::mem::replace(&mut sending_link.incomplete, IncompleteDelivery::Ignored);
        self.on_aborted(link.token, &incomplete);
        self.requests.expired_incomplete += 1;
        tracing::debug!(client_connection = %link.token, delivery = delivery_id, "incomplete delivery ended");
        if let Some(client) = self.peers.clients.get(link.token) {
            client.conn.settle(link.id.channel, delivery_id, state);
        }
        self.peers.clients.mark_dirty(link.token);
        self.requests.replenish_credit(&mut self.peers, link);
    }
}

/// The state of a delivery whose client has stopped within the message.
fn incomplete_state() -> State {
    invalid_state(Error::new(condition::RESOURCE_LIMIT_EXCEEDED, "the message was not completed in time"))
}

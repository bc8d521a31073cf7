//! Transfers from clients. A delivery becomes a request as soon as the sections before its body have been decoded.

use super::DeliveryRequests;
use crate::frontend::amqp::arrival::{default_time_limit, RequestAttributes};
use crate::frontend::amqp::class_names::AddressField;
use crate::frontend::amqp::clients::{ClientSendingLink, IncompleteBody, IncompleteDelivery, IncompleteHead};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::deliveries::ReceivedDelivery;
use crate::frontend::amqp::info::FrontendInfo;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::recovery::DeliveryStatus;
use crate::frontend::amqp::replies::{invalid_state, rejected_state, unknown_state, RETRY_AFTER_MS};
use crate::frontend::FrontendContext;
use crate::model::RequestId;
use crate::net::Token;
use sparbank_amqp::{DecodeError, Head, IncomingTransfer, Message, State, Value};
use std::time::Duration;

/// Upper bound on the time limit that a client can set with the `ttl` of a message.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3_600);
/// The maximum size, in octets, of the sections before the body of a message.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Why a delivery does not become a request.
#[derive(Debug, thiserror::Error)]
enum DeliveryRefusal {
    /// The message is malformed, or its client may not send it.
    #[error("invalid")]
    Invalid(State),
    /// The node drains.
    #[error("draining")]
    Draining,
}

impl DeliveryRefusal {
    /// The state with which the delivery is settled.
    fn into_state(self) -> State {
        match self {
            DeliveryRefusal::Invalid(state) => state,
            DeliveryRefusal::Draining => rejected_state(RETRY_AFTER_MS),
        }
    }
}

/// Handles transfers received on clients' connections.
pub struct TransferHandler<'a, 'b> {
    /// The components of the node that the frontend uses.
    pub ctx: &'a mut FrontendContext<'b>,
    /// The immutable properties of the frontend.
    pub info: &'a FrontendInfo,
    /// The connections on both sides.
    pub peers: Peers<'a>,
    /// The requests to which the transfers belong.
    pub requests: &'a mut DeliveryRequests,
}

/// A transfer and the link on which it was received.
#[derive(Clone, Copy)]
struct ReceivedTransfer<'a, 'b> {
    link: ConnectionLink,
    /// The class that the link's target names; `None` at the anonymous terminus.
    class: Option<usize>,
    transfer: &'a IncomingTransfer<'b>,
}

impl TransferHandler<'_, '_> {
    /// Handles a transfer received from a client.
    pub fn on_transfer(&mut self, link: ConnectionLink, transfer: IncomingTransfer<'_>) {
        let Some(sending_link) = self.sending_link(link) else { return };
        let class = sending_link.class;
        let incomplete = std::mem::take(&mut sending_link.incomplete);
        if !transfer.settled && self.has_departed(link.token) {
            return self.ignore_transfer(link, &transfer, &incomplete);
        }
        let Some(sending_link) = self.sending_link(link) else { return };
        let has_earlier_deliveries =
            transfer.resume || sending_link.is_retained || !sending_link.unknown_deliveries.is_empty();
        let may_be_resumed = has_earlier_deliveries && transfer.first && !transfer.aborted;
        let incomplete = if may_be_resumed && self.answer_resumed(link, &transfer) {
            IncompleteDelivery::Ignored
        } else if transfer.aborted {
            self.on_aborted(link.token, &incomplete);
            IncompleteDelivery::None
        } else {
            let received = ReceivedTransfer { link, class, transfer: &transfer };
            self.continue_delivery(received, incomplete)
        };
        if !transfer.last {
            self.set_incomplete(link, incomplete);
        }
        self.requests.replenish_credit(&mut self.peers, link);
    }

    fn has_departed(&mut self, client: Token) -> bool {
        self.peers.clients.get(client).is_some_and(|client| client.has_departed())
    }

    /// Ignores a transfer of a client that has ended its stream: nobody waits for the outcome.
    fn ignore_transfer(
        &mut self,
        link: ConnectionLink,
        transfer: &IncomingTransfer<'_>,
        incomplete: &IncompleteDelivery,
    ) {
        self.on_aborted(link.token, incomplete);
        if !transfer.last {
            self.set_incomplete(link, IncompleteDelivery::Ignored);
        }
    }

    pub(super) fn sending_link(&mut self, link: ConnectionLink) -> Option<&mut ClientSendingLink> {
        self.peers.clients.get(link.token)?.sending_link(link.id)
    }

    /// Handles a delivery that the client aborted.
    pub(super) fn on_aborted(&mut self, client: Token, incomplete: &IncompleteDelivery) {
        self.requests.drop_incomplete(client, incomplete);
        if let IncompleteDelivery::Request(body) = incomplete {
            self.requests.abandon(self.ctx, &mut self.peers, body.request_id);
        }
    }

    /// Adds a transfer to its delivery and returns the new state of the delivery.
    fn continue_delivery(
        &mut self,
        received: ReceivedTransfer<'_, '_>,
        incomplete: IncompleteDelivery,
    ) -> IncompleteDelivery {
        match incomplete {
            IncompleteDelivery::None => {
                let delivery_id = received.transfer.id;
                let started_at = self.ctx.now;
                self.start_delivery(received, IncompleteHead { delivery_id, started_at, bytes: Vec::new() })
            }
            IncompleteDelivery::ReadingHead(head) => {
                self.requests.deliveries.buffer_mut().subtract(received.link.token, head.bytes.len());
                self.start_delivery(received, head)
            }
            IncompleteDelivery::Request(IncompleteBody { request_id, .. }) => {
                let IncomingTransfer { payload, last, .. } = *received.transfer;
                let Some(delivery) = self.requests.deliveries.append(request_id, payload, last) else {
                    return IncompleteDelivery::Ignored;
                };
                if let Some(attempt) = delivery.attempt() {
                    self.peers.servers.mark_dirty(attempt.server);
                }
                IncompleteDelivery::Request(IncompleteBody { request_id, last_transfer_at: self.ctx.now })
            }
            IncompleteDelivery::Ignored => IncompleteDelivery::Ignored,
        }
    }

    /// Answers a delivery that was received, or may have been received, before the link was resumed, instead of running
    /// it again. Returns false if the delivery is new. A tag that is settled at both ends is free (AMQP 1.0, section
    /// 2.6.12): a transfer that does not resume the settled delivery is a new one.
    fn answer_resumed(&mut self, link: ConnectionLink, transfer: &IncomingTransfer<'_>) -> bool {
        let Some(client) = self.peers.clients.get(link.token) else { return false };
        let Some(sending_link) = client.sending_link(link.id) else { return false };
        let state = match self.requests.recovery.status(&sending_link.key, &transfer.tag) {
            Some(DeliveryStatus::Settled(_)) if !transfer.resume => return false,
            Some(DeliveryStatus::Settled(state)) => state.clone(),
            Some(DeliveryStatus::Running(request_id)) => {
                let request_id = *request_id;
                self.reattach_request(link, transfer.id, request_id);
                return true;
            }
            Some(DeliveryStatus::Unknown) => {
                let limits = self.peers.config.recovery_limits();
                let state = unknown_state();
                let key = sending_link.key.clone();
                self.requests.recovery.record_unknown_settled(limits, &key, transfer.tag, &state);
                self.requests.unknown_deliveries += 1;
                state
            }
            None => {
                let is_unknown = sending_link.unknown_deliveries.remove(&transfer.tag)
                    || (transfer.resume && !sending_link.is_retained);
                if !is_unknown {
                    return false;
                }
                self.requests.unknown_deliveries += 1;
                unknown_state()
            }
        };
        client.conn.settle(link.id.channel, transfer.id, state);
        self.peers.clients.mark_dirty(link.token);
        true
    }

    /// Directs the answer of a running request to the link on which its delivery was resumed.
    fn reattach_request(&mut self, link: ConnectionLink, delivery_id: u32, request_id: RequestId) {
        let Some(client) = self.peers.clients.get(link.token) else { return };
        client.conn.set_delivery_key(link.id.channel, delivery_id, request_id.0);
        let Some(previous) = self.requests.deliveries.reattach(request_id, link, delivery_id) else { return };
        client.add_open_request();
        if previous.is_attached {
            if let Some(client) = self.peers.clients.get(previous.link.token) {
                client.remove_open_request();
            }
        }
    }

    /// Handles the octets received so far of a delivery that is not a request yet. It becomes a request, is settled
    /// immediately, or needs more octets.
    fn start_delivery(
        &mut self,
        received: ReceivedTransfer<'_, '_>,
        mut incomplete: IncompleteHead,
    ) -> IncompleteDelivery {
        incomplete.bytes.extend_from_slice(received.transfer.payload);
        let head = match read_head(&incomplete.bytes, received.transfer.last) {
            Ok(Some(head)) => Ok(head),
            Ok(None) => {
                self.requests.deliveries.buffer_mut().add(received.link.token, incomplete.bytes.len());
                return IncompleteDelivery::ReadingHead(incomplete);
            }
            Err(error) => Err(DeliveryRefusal::Invalid(invalid_state(error.into()))),
        };
        match head.and_then(|head| self.start_request(received, head, incomplete.bytes)) {
            Ok(request_id) => {
                IncompleteDelivery::Request(IncompleteBody { request_id, last_transfer_at: self.ctx.now })
            }
            Err(refusal) => {
                self.settle_without_request(received, refusal);
                IncompleteDelivery::Ignored
            }
        }
    }

    /// Settles a delivery that did not become a request, and counts it.
    fn settle_without_request(&mut self, received: ReceivedTransfer<'_, '_>, refusal: DeliveryRefusal) {
        tracing::trace!(
            client_connection = %received.link.token,
            delivery = received.transfer.id,
            reason = %refusal,
            buffered_bytes = self.requests.buffer().total(),
            "delivery settled without a request"
        );
        let state = refusal.into_state();
        if matches!(state, State::Rejected(_)) {
            self.ctx.requests.counters_mut().malformed += 1;
        } else {
            self.ctx.requests.counters_mut().capacity_rejected += 1;
        }
        if let Some(client) = self.peers.clients.get(received.link.token) {
            client.conn.settle(received.link.id.channel, received.transfer.id, state);
        }
    }

    /// Creates the request of a delivery.
    ///
    /// # Errors
    /// Why the delivery cannot become a request.
    fn start_request(
        &mut self,
        received: ReceivedTransfer<'_, '_>,
        head: Head,
        bytes: Vec<u8>,
    ) -> Result<RequestId, DeliveryRefusal> {
        let class = match received.class {
            Some(class) => class,
            None => self.class_of_message(received.link, &head)?,
        };
        if self.peers.clients.is_draining() {
            return Err(DeliveryRefusal::Draining);
        }
        let time_to_live = head.ttl.map(|ms| Duration::from_millis(u64::from(ms)).min(MAX_TIME_LIMIT));
        let attributes = RequestAttributes {
            class,
            time_limit: time_to_live.unwrap_or(default_time_limit(self.ctx, class)),
            key: head.application_property_text(&bytes, "key"),
            group: head.application_property_text(&bytes, "group"),
            is_reconnect: head.application_property(&bytes, "again") == Some(Value::Bool(true)),
        };
        let request_id = self.ctx.requests.on_request(self.ctx.now, self.info.id, attributes.into_arrival());
        self.record_request(received, request_id);
        let delivery = ReceivedDelivery {
            link: received.link,
            delivery_id: received.transfer.id,
            tag: received.transfer.tag,
            class,
            head,
            octets: bytes,
            is_complete: received.transfer.last,
            is_settled: received.transfer.settled,
        };
        self.requests.deliveries.insert(request_id, delivery.into());
        Ok(request_id)
    }

    /// Returns the class that the `to` field of a message names.
    ///
    /// # Errors
    /// The message names no class, or one that the client is not authorized to use.
    fn class_of_message(&mut self, link: ConnectionLink, head: &Head) -> Result<usize, DeliveryRefusal> {
        let client = self.peers.clients.get(link.token);
        let identity = client.as_deref().map(|client| client.identity());
        let class = self.info.classes.authorize(identity, AddressField::To, head.to.as_deref());
        class.map_err(|error| DeliveryRefusal::Invalid(invalid_state(error)))
    }

    /// Registers a new request with its client's connection and, if the link is retained, for link recovery.
    fn record_request(&mut self, received: ReceivedTransfer<'_, '_>, request_id: RequestId) {
        let ReceivedTransfer { link, transfer, .. } = received;
        let Some(client) = self.peers.clients.get(link.token) else { return };
        client.add_open_request();
        client.conn.set_delivery_key(link.id.channel, transfer.id, request_id.0);
        if transfer.settled {
            return;
        }
        if let Some(link) = client.sending_link(link.id).filter(|link| link.is_retained) {
            self.requests.recovery.record_running(&link.key, transfer.tag, request_id);
        }
    }
}

/// Decodes the sections before the body. Returns `None` if more octets are needed. A complete message is
/// validated including its body.
fn read_head(bytes: &[u8], is_complete: bool) -> Result<Option<Head>, DecodeError> {
    if is_complete {
        return Message::decode(bytes).map(|message| Some(message.head));
    }
    let head = Head::read(bytes)?;
    if head.is_none() && bytes.len() > MAX_HEAD_BYTES {
        return Err(DecodeError::LimitExceeded);
    }
    Ok(head)
}

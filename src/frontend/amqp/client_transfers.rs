//! Transfers from clients: a delivery becomes a request once the sections before its body are read.

use super::clients::{ClientLink, IncompleteDelivery};
use super::deliveries::Delivery;
use super::recovery::DeliveryStatus;
use super::replies::{invalid_state, rejected_state, unknown_state, RETRY_AFTER_MS};
use super::AmqpFrontend;
use crate::frontend::{FrontendContext, ANSWER_MARGIN};
use crate::hash::fnv1a;
use crate::model::{Arrival, RequestId};
use crate::net::Token;
use sparbank_amqp::{condition, DecodeError, Error, Head, IncomingTransfer, LinkId, Message, State, Value};
use std::time::Duration;

/// The longest time limit of a request.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(3_600);
/// The most octets of a delivery before its body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A transfer, and the link that it was received on.
#[derive(Clone, Copy)]
struct ReceivedTransfer<'a, 'b> {
    token: Token,
    link: LinkId,
    /// The class that the link's target names; none at the anonymous terminus.
    class: Option<usize>,
    transfer: &'a IncomingTransfer<'b>,
}

impl AmqpFrontend {
    /// A transfer was received from a client.
    pub(super) fn on_client_transfer(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        transfer: IncomingTransfer<'_>,
    ) {
        let Some(client) = self.clients.get(token) else { return };
        let Some(ClientLink::Sending(sending_link)) = client.links.get_mut(&link) else { return };
        let class = sending_link.class;
        let incomplete = std::mem::take(&mut sending_link.incomplete);
        let has_history = transfer.resume || sending_link.is_remembered || !sending_link.unknown.is_empty();
        let may_be_resumed = has_history && transfer.first && !transfer.aborted;
        let incomplete = if may_be_resumed && self.answer_resumed(token, link, &transfer) {
            IncompleteDelivery::Ignored
        } else if transfer.aborted {
            self.drop_incomplete(ctx, incomplete);
            IncompleteDelivery::None
        } else {
            let received = ReceivedTransfer { token, link, class, transfer: &transfer };
            self.continue_delivery(ctx, received, incomplete)
        };
        if !transfer.last {
            let links = self.clients.get(token).map(|client| &mut client.links);
            if let Some(ClientLink::Sending(link)) = links.and_then(|links| links.get_mut(&link)) {
                link.incomplete = incomplete;
            }
        }
        self.replenish_credit(token, link);
    }

    /// The client has aborted a delivery.
    fn drop_incomplete(&mut self, ctx: &mut FrontendContext, incomplete: IncompleteDelivery) {
        match incomplete {
            IncompleteDelivery::ReadingHead(bytes) => self.deliveries.subtract_buffered(bytes.len()),
            IncompleteDelivery::Request(request_id) => self.abandon_request(ctx, request_id),
            IncompleteDelivery::None | IncompleteDelivery::Ignored => {}
        }
    }

    /// Adds a transfer to its delivery. Gives the delivery's state after it.
    fn continue_delivery(
        &mut self,
        ctx: &mut FrontendContext,
        received: ReceivedTransfer<'_, '_>,
        incomplete: IncompleteDelivery,
    ) -> IncompleteDelivery {
        match incomplete {
            IncompleteDelivery::None => self.start_delivery(ctx, received, Vec::new()),
            IncompleteDelivery::ReadingHead(bytes) => {
                self.deliveries.subtract_buffered(bytes.len());
                self.start_delivery(ctx, received, bytes)
            }
            IncompleteDelivery::Request(request_id) => {
                let IncomingTransfer { payload, last, .. } = *received.transfer;
                let Some(delivery) = self.deliveries.append(request_id, payload, last) else {
                    return IncompleteDelivery::Ignored;
                };
                if let Some(attempt) = &delivery.attempt {
                    self.servers.mark_dirty(attempt.server);
                }
                IncompleteDelivery::Request(request_id)
            }
            IncompleteDelivery::Ignored => IncompleteDelivery::Ignored,
        }
    }

    /// Answers a delivery that was received before on this link: it is not run again. False where it is new.
    fn answer_resumed(&mut self, token: Token, link: LinkId, transfer: &IncomingTransfer<'_>) -> bool {
        let Some(client) = self.clients.get(token) else { return false };
        let Some(ClientLink::Sending(sending_link)) = client.links.get_mut(&link) else { return false };
        let state = match self.recovery.status(&sending_link.key, &transfer.tag) {
            Some(DeliveryStatus::Settled(state)) => state.clone(),
            Some(DeliveryStatus::Running(request_id)) => {
                let request_id = *request_id;
                self.reattach_request(token, link, transfer.id, request_id);
                return true;
            }
            None => {
                let is_unknown = sending_link.unknown.remove(&transfer.tag)
                    || (transfer.resume && !sending_link.is_remembered);
                if !is_unknown {
                    return false;
                }
                self.fate_unknown += 1;
                unknown_state()
            }
        };
        client.conn.settle(link.channel, transfer.id, state);
        self.clients.mark_dirty(token);
        true
    }

    /// A running request's answer goes to the link that its delivery was resumed on.
    fn reattach_request(&mut self, token: Token, link: LinkId, delivery_id: u32, request_id: RequestId) {
        let Some(client) = self.clients.get(token) else { return };
        client.conn.set_delivery_key(link.channel, delivery_id, request_id.0);
        if let Some(delivery) = self.deliveries.get_mut(request_id) {
            client.open_requests += usize::from(!delivery.attached);
            delivery.client = token;
            delivery.link = link;
            delivery.delivery_id = delivery_id;
            delivery.attached = true;
        }
    }

    /// The first transfers of a delivery: it becomes a request, is answered at once, or needs more octets.
    fn start_delivery(
        &mut self,
        ctx: &mut FrontendContext,
        received: ReceivedTransfer<'_, '_>,
        mut bytes: Vec<u8>,
    ) -> IncompleteDelivery {
        bytes.extend_from_slice(received.transfer.payload);
        let head = match read_head(&bytes, received.transfer.last) {
            Ok(Some(head)) => Ok(head),
            Ok(None) => {
                self.deliveries.add_buffered(bytes.len());
                return IncompleteDelivery::ReadingHead(bytes);
            }
            Err(error) => Err(invalid_state(error.into())),
        };
        match head.and_then(|head| self.start_request(ctx, received, head, bytes)) {
            Ok(request_id) => IncompleteDelivery::Request(request_id),
            Err(state) => {
                if matches!(state, State::Rejected(_)) {
                    ctx.requests.counters_mut().malformed += 1;
                } else {
                    ctx.requests.counters_mut().capacity_rejected += 1;
                }
                if let Some(client) = self.clients.get(received.token) {
                    client.conn.settle(received.link.channel, received.transfer.id, state);
                }
                IncompleteDelivery::Ignored
            }
        }
    }

    /// Makes a delivery a request, or gives the state that it is settled with at once.
    fn start_request(
        &mut self,
        ctx: &mut FrontendContext,
        received: ReceivedTransfer<'_, '_>,
        head: Head,
        bytes: Vec<u8>,
    ) -> Result<RequestId, State> {
        let class = match received.class {
            Some(class) => class,
            None => self.class_of_message(received.token, &head).map_err(invalid_state)?,
        };
        let buffered = self.deliveries.buffered_bytes() + bytes.len();
        if self.shutting_down || buffered > self.config.max_buffered_bytes {
            return Err(rejected_state(RETRY_AFTER_MS));
        }
        let limit = ctx.classes.get(class).map_or(Duration::ZERO, |class| class.hard_limit);
        let ttl = head.ttl.map(|ms| Duration::from_millis(u64::from(ms)).min(MAX_TIME_LIMIT));
        let is_reconnect = head.value(&bytes, "again") == Some(Value::Bool(true));
        let property = |name: &str| head.property(&bytes, name);
        let arrival = arrival(class, ttl.unwrap_or(limit), property, is_reconnect);
        let request_id = ctx.requests.on_request(ctx.now, self.id, arrival);
        self.record_request(received, request_id);
        let delivery = Delivery {
            client: received.token,
            link: received.link,
            delivery_id: received.transfer.id,
            tag: received.transfer.tag,
            attached: true,
            class,
            head,
            bytes,
            discarded: 0,
            complete: received.transfer.last,
            attempt: None,
        };
        self.deliveries.insert(request_id, delivery);
        Ok(request_id)
    }

    /// The class that `to` of a message names, where the client may send to it.
    fn class_of_message(&mut self, token: Token, head: &Head) -> Result<usize, Error> {
        let class = head.to.as_deref().and_then(|to| self.class_at(to));
        let class = class.ok_or_else(|| Error::new(condition::NOT_FOUND, "`to` names no class"))?;
        let client = self.clients.get(token);
        if client.is_some_and(|client| client.identity.may_attach_to(&self.classes[class])) {
            return Ok(class);
        }
        Err(Error::new(condition::UNAUTHORIZED_ACCESS, "this user may not send to this class"))
    }

    /// Records a new request with its client's connection and, where the link is remembered, for recovery.
    fn record_request(&mut self, received: ReceivedTransfer<'_, '_>, request_id: RequestId) {
        let ReceivedTransfer { token, link, transfer, .. } = received;
        let Some(client) = self.clients.get(token) else { return };
        client.open_requests += 1;
        client.conn.set_delivery_key(link.channel, transfer.id, request_id.0);
        if transfer.settled {
            return;
        }
        if let Some(ClientLink::Sending(link)) = client.links.get(&link) {
            if link.is_remembered {
                self.recovery.record_running(&link.key, transfer.tag, request_id);
            }
        }
    }
}

/// Reads the sections before the body. None where more octets are needed. A complete message is checked to its end.
fn read_head(bytes: &[u8], is_complete: bool) -> Result<Option<Head>, DecodeError> {
    if is_complete {
        return Message::decode(bytes).map(|message| Some(message.head));
    }
    let head = Head::read(bytes)?;
    if head.is_none() && bytes.len() > MAX_HEAD_BYTES {
        return Err(DecodeError::TooMuch);
    }
    Ok(head)
}

/// The arrival of a request; `property` looks up its key and its group.
pub(super) fn arrival(
    class: usize,
    time_limit: Duration,
    property: impl Fn(&str) -> Option<String>,
    is_reconnect: bool,
) -> Arrival {
    let key = property("key").map(|key| u64::from_str_radix(&key, 16).unwrap_or_else(|_| fnv1a(&key)));
    Arrival {
        id: RequestId(0),
        class,
        time_left: time_limit.saturating_sub(ANSWER_MARGIN),
        cost: None,
        key,
        group: property("group").map(|group| fnv1a(&group)),
        reconnect: is_reconnect,
        client_retry: false,
        rerouted: false,
    }
}

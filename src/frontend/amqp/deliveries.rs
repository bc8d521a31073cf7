//! The unsettled deliveries from clients: the octets received of each, and the progress of its attempt.

use super::connection_link::ConnectionLink;
use super::fast_map::FastHashMap;
use super::message_buffer::MessageBuffer;
use super::message_octets::{MessageOctets, StartDiscarded};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{Head, Tag};
use sparbank_time::MonotonicTime;

/// An unsettled delivery from a client.
pub struct Delivery {
    /// The client's link on which the delivery was received and is answered.
    pub link: ConnectionLink,
    /// The delivery id on the client's session.
    pub delivery_id: u32,
    /// The delivery tag that the client assigned; it identifies the delivery when its link is resumed.
    pub tag: Tag,
    /// Whether the client's link is attached, so that the answer can be sent.
    pub is_attached: bool,
    /// The index of the request's class.
    pub class: usize,
    /// The decoded sections before the body.
    pub head: Head,
    /// The octets received so far. Once some of them are discarded, the delivery cannot be retried.
    pub message: MessageOctets,
    /// Whether the last transfer has been received.
    pub is_complete: bool,
    /// Whether the client has settled the delivery itself and waits for no outcome.
    pub is_settled: bool,
    /// The current attempt, if there is one.
    attempt: Option<Attempt>,
}

/// A delivery that was received on a client's link.
pub struct ReceivedDelivery {
    /// The client's link.
    pub link: ConnectionLink,
    /// The delivery id on the client's session.
    pub delivery_id: u32,
    /// The delivery tag that the client assigned.
    pub tag: Tag,
    /// The index of the request's class.
    pub class: usize,
    /// The decoded sections before the body.
    pub head: Head,
    /// The octets received so far.
    pub octets: Vec<u8>,
    /// Whether the last transfer has been received.
    pub is_complete: bool,
    /// Whether the client has settled the delivery itself.
    pub is_settled: bool,
}

/// Where the answer of a delivery is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attachment {
    /// The client's link.
    pub link: ConnectionLink,
    /// Whether the link is attached.
    pub is_attached: bool,
}

/// An attempt to send a delivery to a server.
pub struct Attempt {
    /// The server to which the delivery is sent.
    pub server: ServerId,
    /// When the attempt times out.
    pub deadline: MonotonicTime,
    /// The progress of the attempt.
    pub stage: AttemptStage,
}

/// The progress of an attempt.
pub enum AttemptStage {
    /// The delivery waits for a link. No octet was sent, so the request has not run.
    Queued,
    /// The delivery was partly sent. It can be aborted, and the request has not run then.
    Sending {
        /// The link to the server.
        link: ConnectionLink,
        /// The delivery id on the server's session.
        delivery_id: u32,
        /// The number of octets of the message that were sent.
        sent: usize,
    },
    /// The delivery was passed to the connection completely and is sent once the connection's output is written up to
    /// `end`. The request may run.
    Sent {
        /// The link to the server.
        link: ConnectionLink,
        /// The delivery id on the server's session.
        delivery_id: u32,
        /// The position of the end of the delivery in the connection's output.
        end: u64,
    },
}

impl From<ReceivedDelivery> for Delivery {
    fn from(received: ReceivedDelivery) -> Delivery {
        Delivery {
            link: received.link,
            delivery_id: received.delivery_id,
            tag: received.tag,
            is_attached: true,
            class: received.class,
            head: received.head,
            message: MessageOctets::new(received.octets),
            is_complete: received.is_complete,
            is_settled: received.is_settled,
            attempt: None,
        }
    }
}

impl Delivery {
    /// Whether the delivery can be sent again from its start.
    pub fn is_retryable(&self) -> bool {
        self.message.has_start()
    }

    /// The current attempt, if there is one.
    pub fn attempt(&self) -> Option<&Attempt> {
        self.attempt.as_ref()
    }

    /// The current attempt, mutably.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        self.attempt.as_mut()
    }

    /// Starts an attempt, which waits for a link to the server.
    ///
    /// # Errors
    /// The delivery cannot be sent, since its start has been discarded.
    pub fn start_attempt(&mut self, server: ServerId, deadline: MonotonicTime) -> Result<(), StartDiscarded> {
        self.message.octets_from_start()?;
        self.attempt = Some(Attempt { server, deadline, stage: AttemptStage::Queued });
        Ok(())
    }

    /// The outcome of an attempt that the node ends before its last octet is sent. While the client has not completed
    /// its message, the server cannot be blamed for that.
    pub fn unsent_outcome(&self) -> Outcome {
        if self.is_complete {
            Outcome::ConnectFailed
        } else {
            Outcome::NotSent
        }
    }

    /// Ends the current attempt and returns it.
    pub fn end_attempt(&mut self) -> Option<Attempt> {
        self.attempt.take()
    }
}

/// All unsettled deliveries, and the numbers of octets buffered for them.
#[derive(Default)]
pub struct Deliveries {
    by_request: FastHashMap<RequestId, Delivery>,
    buffer: MessageBuffer,
}

impl Deliveries {
    /// Adds the delivery of a request.
    pub fn insert(&mut self, request_id: RequestId, delivery: Delivery) {
        self.buffer.add(delivery.link.token, delivery.message.buffered_len());
        self.by_request.insert(request_id, delivery);
    }

    /// The delivery of a request.
    pub fn get(&self, request_id: RequestId) -> Option<&Delivery> {
        self.by_request.get(&request_id)
    }

    /// The delivery of a request, mutably.
    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut Delivery> {
        self.by_request.get_mut(&request_id)
    }

    /// Removes the delivery of a request.
    pub fn remove(&mut self, request_id: RequestId) -> Option<Delivery> {
        let delivery = self.by_request.remove(&request_id)?;
        self.buffer.subtract(delivery.link.token, delivery.message.buffered_len());
        Some(delivery)
    }

    /// Whether the last transfer of a request's delivery has been received.
    pub fn is_complete(&self, request_id: RequestId) -> bool {
        self.get(request_id).is_some_and(|delivery| delivery.is_complete)
    }

    /// Whether a request's delivery is on this link: it has not been resumed on another one.
    pub fn is_on_link(&self, request_id: RequestId, link: ConnectionLink) -> bool {
        self.get(request_id).is_some_and(|delivery| delivery.link == link)
    }

    /// Whether a request may take a link that is reserved for complete deliveries. One that is no longer in the table
    /// may, so that it leaves the queue.
    pub fn may_take_reserved_link(&self, request_id: RequestId) -> bool {
        self.get(request_id).is_none_or(|delivery| delivery.is_complete)
    }

    /// Appends the octets of a further transfer to a delivery. `is_last` marks the last transfer of the delivery.
    pub fn append(&mut self, request_id: RequestId, bytes: &[u8], is_last: bool) -> Option<&Delivery> {
        let delivery = self.by_request.get_mut(&request_id)?;
        delivery.message.append(bytes);
        delivery.is_complete |= is_last;
        self.buffer.add(delivery.link.token, bytes.len());
        Some(delivery)
    }

    /// Directs the answer of a delivery to the link on which it was resumed, under its delivery id there. Returns the
    /// delivery as it was before, or `None` if there is none.
    pub fn reattach(
        &mut self,
        request_id: RequestId,
        link: ConnectionLink,
        delivery_id: u32,
    ) -> Option<Attachment> {
        let delivery = self.by_request.get_mut(&request_id)?;
        let previous = Attachment { link: delivery.link, is_attached: delivery.is_attached };
        self.buffer.move_to(delivery.link.token, link.token, delivery.message.buffered_len());
        delivery.link = link;
        delivery.delivery_id = delivery_id;
        delivery.is_attached = true;
        Some(previous)
    }

    /// Discards the octets of a delivery that are already sent, if it is larger than `max_retryable_bytes`.
    pub fn discard_sent(&mut self, request_id: RequestId, max_retryable_bytes: usize) {
        let Some(delivery) = self.by_request.get_mut(&request_id) else { return };
        let Some(Attempt { stage: AttemptStage::Sending { sent, .. }, .. }) = delivery.attempt else {
            return;
        };
        if delivery.message.received_len() <= max_retryable_bytes {
            return;
        }
        let discarded = delivery.message.discard_before(sent);
        self.buffer.subtract(delivery.link.token, discarded);
    }

    /// The numbers of octets that are buffered.
    pub fn buffer(&self) -> &MessageBuffer {
        &self.buffer
    }

    /// The numbers of octets that are buffered, to count those of deliveries that are not requests yet.
    pub fn buffer_mut(&mut self) -> &mut MessageBuffer {
        &mut self.buffer
    }

    /// The outcome of an attempt whose connection was closed after `written` octets of its output had been written, and
    /// the others discarded. The request may have run if its last octet was written.
    pub fn outcome_of_closed_connection(&self, request_id: RequestId, written: u64) -> Outcome {
        match self.attempt_stage(request_id) {
            Some(AttemptStage::Sent { end, .. }) if *end <= written => Outcome::Reset,
            _ => Outcome::ConnectFailed,
        }
    }

    /// The outcome of an attempt whose link was lost while its connection stays open. What was passed to the connection
    /// will be written, so the request may run if its last octet was passed.
    pub fn outcome_of_lost_link(&self, request_id: RequestId) -> Outcome {
        match self.attempt_stage(request_id) {
            Some(AttemptStage::Sent { .. }) => Outcome::Reset,
            _ => Outcome::ConnectFailed,
        }
    }

    fn attempt_stage(&self, request_id: RequestId) -> Option<&AttemptStage> {
        let attempt = self.get(request_id).and_then(Delivery::attempt)?;
        Some(&attempt.stage)
    }

    /// The requests of a client's connection that wait for an outcome, in the order of their ids.
    pub fn unsettled_of_client(&self, client: Token) -> Vec<RequestId> {
        let is_of_client = |delivery: &Delivery| delivery.link.token == client && !delivery.is_settled;
        let of_client = self.by_request.iter().filter(|(_, delivery)| is_of_client(delivery));
        let mut requests: Vec<RequestId> = of_client.map(|(request_id, _)| *request_id).collect();
        requests.sort_unstable();
        requests
    }

    /// The requests whose attempt at one of these servers was not sent completely, in the order of their ids.
    pub fn unsent_at(&self, servers: &[ServerId]) -> Vec<RequestId> {
        let is_unsent = |attempt: &Attempt| {
            servers.contains(&attempt.server) && !matches!(attempt.stage, AttemptStage::Sent { .. })
        };
        let mut unsent: Vec<RequestId> = self
            .by_request
            .iter()
            .filter(|(_, delivery)| delivery.attempt.as_ref().is_some_and(is_unsent))
            .map(|(request_id, _)| *request_id)
            .collect();
        unsent.sort_unstable();
        unsent
    }
}

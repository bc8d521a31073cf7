//! Deliveries from clients that are not settled yet: the bytes received of each, and the progress of its attempt.

use super::connection_link::ConnectionLink;
use super::fast_map::FastHashMap;
use crate::model::{Outcome, RequestId, ServerId};
use sparbank_amqp::{Head, Tag};
use sparbank_time::MonotonicTime;

/// A delivery that is not settled yet.
pub struct Delivery {
    /// The client's link that it was received on, and that its answer goes to.
    pub link: ConnectionLink,
    /// Its delivery id on the client's session.
    pub delivery_id: u32,
    /// Its tag.
    pub tag: Tag,
    /// Whether the client's link is attached and can take the answer.
    pub is_attached: bool,
    /// The index of its class.
    pub class: usize,
    /// The sections before the body.
    pub head: Head,
    /// The octets received and not discarded, from `discarded` on.
    pub bytes: Vec<u8>,
    /// Octets discarded from its start: once above 0 it cannot be sent again.
    pub discarded: usize,
    /// Whether its last transfer has been received.
    pub is_complete: bool,
    /// Its attempt at a server, if there is one.
    pub attempt: Option<Attempt>,
}

/// The attempt of a delivery at one server.
pub struct Attempt {
    /// The server.
    pub server: ServerId,
    /// When it times out.
    pub deadline: MonotonicTime,
    /// How far it has come.
    pub stage: AttemptStage,
}

/// How far an attempt has come.
pub enum AttemptStage {
    /// It waits for a link; no octet was sent, so it has not run.
    Queued,
    /// It was sent partly: it can be aborted, and then has not run.
    Sending {
        /// The link to the server.
        link: ConnectionLink,
        /// The delivery id on the server's session.
        delivery_id: u32,
        /// Octets of the message that were sent.
        sent: usize,
    },
    /// It was sent completely, or will be once the connection has written up to `end`: it may run.
    Sent {
        /// The link to the server.
        link: ConnectionLink,
        /// The delivery id on the server's session.
        delivery_id: u32,
        /// The position in the connection's output at which the delivery ends.
        end: u64,
    },
}

impl Delivery {
    /// Whether it can be sent again from its start.
    pub fn is_retryable(&self) -> bool {
        self.discarded == 0
    }
}

/// All unsettled deliveries, and the octets buffered for them together.
#[derive(Default)]
pub struct Deliveries {
    by_request: FastHashMap<RequestId, Delivery>,
    buffered_bytes: usize,
    peak_buffered_bytes: usize,
}

impl Deliveries {
    /// Adds the delivery of a request.
    pub fn insert(&mut self, request_id: RequestId, delivery: Delivery) {
        self.add_buffered(delivery.bytes.len());
        self.by_request.insert(request_id, delivery);
    }

    /// The delivery of a request.
    pub fn get(&self, request_id: RequestId) -> Option<&Delivery> {
        self.by_request.get(&request_id)
    }

    /// The delivery of a request.
    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut Delivery> {
        self.by_request.get_mut(&request_id)
    }

    /// Removes the delivery of a request.
    pub fn remove(&mut self, request_id: RequestId) -> Option<Delivery> {
        let delivery = self.by_request.remove(&request_id)?;
        self.subtract_buffered(delivery.bytes.len());
        Some(delivery)
    }

    /// Whether the last transfer of a request's delivery has been received.
    pub fn is_complete(&self, request_id: RequestId) -> bool {
        self.get(request_id).is_some_and(|delivery| delivery.is_complete)
    }

    /// Appends the octets of a further transfer to a delivery; `is_last` says that it is complete with them.
    pub fn append(&mut self, request_id: RequestId, bytes: &[u8], is_last: bool) -> Option<&Delivery> {
        let delivery = self.by_request.get_mut(&request_id)?;
        delivery.bytes.extend_from_slice(bytes);
        delivery.is_complete |= is_last;
        self.add_buffered(bytes.len());
        self.by_request.get(&request_id)
    }

    /// Discards the octets already sent of a delivery that is larger than `max_retryable_bytes`.
    pub fn discard_sent(&mut self, request_id: RequestId, max_retryable_bytes: usize) {
        let Some(delivery) = self.by_request.get_mut(&request_id) else { return };
        let Some(Attempt { stage: AttemptStage::Sending { sent, .. }, .. }) = delivery.attempt else {
            return;
        };
        if delivery.discarded + delivery.bytes.len() <= max_retryable_bytes {
            return;
        }
        let discardable = (sent - delivery.discarded).min(delivery.bytes.len());
        // Moving the rest to the front pays off once it is the smaller half.
        if discardable >= delivery.bytes.len() / 2 {
            delivery.bytes.drain(..discardable);
            delivery.discarded += discardable;
            self.subtract_buffered(discardable);
        }
    }

    /// The octets buffered now.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// The most octets that were buffered at one time.
    pub fn peak_buffered_bytes(&self) -> usize {
        self.peak_buffered_bytes
    }

    /// Counts octets as buffered, such as those of a delivery that is no request yet.
    pub fn add_buffered(&mut self, octets: usize) {
        self.buffered_bytes += octets;
        self.peak_buffered_bytes = self.peak_buffered_bytes.max(self.buffered_bytes);
    }

    /// Counts octets as no longer buffered.
    pub fn subtract_buffered(&mut self, octets: usize) {
        self.buffered_bytes -= octets;
    }

    /// The outcome of a delivery's attempt whose link or connection is lost after `written` octets of the connection's
    /// output: it may have run if its last octet was written.
    pub fn interrupted_outcome(&self, request_id: RequestId, written: u64) -> Outcome {
        let attempt = self.get(request_id).and_then(|delivery| delivery.attempt.as_ref());
        match attempt.map(|attempt| &attempt.stage) {
            Some(AttemptStage::Sent { end, .. }) if *end <= written => Outcome::Reset,
            _ => Outcome::ConnectFailed,
        }
    }

    /// The requests whose attempt at one of these servers was not sent completely, in order.
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

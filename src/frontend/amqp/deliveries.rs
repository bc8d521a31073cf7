//! Deliveries from clients that are not settled yet: the bytes received of each, and the progress of its attempt.

use crate::model::{RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{Head, LinkId, Tag};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;

/// A hash map with a fast hasher, for keys that no peer chooses.
pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A delivery that is not settled yet.
pub struct Delivery {
    /// The client's connection that it was received on, and that its answer goes to.
    pub client: Token,
    /// The client's link.
    pub link: LinkId,
    /// Its delivery id on the client's session.
    pub delivery_id: u32,
    /// Its tag.
    pub tag: Tag,
    /// Whether the client's link is attached and can take the answer.
    pub attached: bool,
    /// The index of its class.
    pub class: usize,
    /// The sections before the body.
    pub head: Head,
    /// The octets received and not discarded, from `discarded` on.
    pub bytes: Vec<u8>,
    /// Octets discarded from its start: once above 0 it cannot be sent again.
    pub discarded: usize,
    /// Whether its last transfer has been received.
    pub complete: bool,
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
        /// The server's connection.
        token: Token,
        /// The link to the server.
        link: LinkId,
        /// The delivery id on the server's session.
        delivery_id: u32,
        /// Octets of the message that were sent.
        sent: usize,
    },
    /// It was sent completely, or will be once the connection has written up to `end`: it may run.
    Sent {
        /// The server's connection.
        token: Token,
        /// The link to the server.
        link: LinkId,
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
    by_request: Map<RequestId, Delivery>,
    buffered_bytes: usize,
    /// The most octets that were buffered at one time.
    pub max_buffered_bytes: usize,
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

    /// Appends octets that were received of a delivery; `last` says that it is complete with them.
    pub fn append(&mut self, request_id: RequestId, bytes: &[u8], last: bool) -> Option<&Delivery> {
        let delivery = self.by_request.get_mut(&request_id)?;
        delivery.bytes.extend_from_slice(bytes);
        delivery.complete |= last;
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

    /// Counts octets as buffered, such as those of a delivery that is no request yet.
    pub fn add_buffered(&mut self, octets: usize) {
        self.buffered_bytes += octets;
        self.max_buffered_bytes = self.max_buffered_bytes.max(self.buffered_bytes);
    }

    /// Counts octets as no longer buffered.
    pub fn subtract_buffered(&mut self, octets: usize) {
        self.buffered_bytes -= octets;
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

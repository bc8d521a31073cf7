//! The sources of a forwarder: the servers' links on which it receives, and what is queued from each.

use crate::frontend::amqp::connection_link::ConnectionLink;
use sparbank_amqp::Tag;
use std::collections::VecDeque;

/// Octets queued from one source above which its server is granted no more credit, because the client is slow.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// The maximum credit granted to one server, however much credit the client grants.
const MAX_SOURCE_CREDIT: u32 = 256;
/// The maximum number of servers that may be attached to one reply node.
const MAX_SOURCES: usize = 16;

/// Identifies a source of one forwarder. Ids are not reused, since the client may settle a delivery long after its
/// source was removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceId(u32);

/// A server's link on which a forwarder receives.
pub struct Source {
    /// The id of the source.
    pub id: SourceId,
    /// The server's link.
    pub link: ConnectionLink,
    /// The transfers that are queued until the client can take them.
    pub transfers: VecDeque<QueuedTransfer>,
    /// The octets of the queued transfers.
    pub queued_bytes: usize,
    /// Received deliveries of which nothing has been sent to the client.
    pub unsent_deliveries: u32,
}

/// A transfer that is queued until the client can take it.
pub struct QueuedTransfer {
    /// The delivery id on the server's session.
    pub delivery_id: u32,
    /// The delivery tag that the server assigned.
    pub tag: Tag,
    /// Whether the server sent the delivery settled.
    pub is_settled: bool,
    /// Whether this is the last transfer of its delivery.
    pub is_last: bool,
    /// The octets that have not been sent to the client.
    pub bytes: Vec<u8>,
}

/// Identifies a delivery on the client's link by its source and its delivery id on the server's session.
pub struct DeliveryKey {
    /// The source that sent the delivery.
    pub source: SourceId,
    /// The delivery id on the server's session.
    pub delivery_id: u32,
}

impl DeliveryKey {
    /// Returns the key as the number that the AMQP library stores with a delivery.
    pub fn encode(&self) -> u64 {
        (u64::from(self.source.0) << 32) | u64::from(self.delivery_id)
    }

    /// Restores a key from [`DeliveryKey::encode`].
    pub fn decode(key: u64) -> DeliveryKey {
        DeliveryKey { source: SourceId((key >> 32) as u32), delivery_id: key as u32 }
    }
}

/// The sources of one forwarder, in the order in which they were added.
#[derive(Default)]
pub struct Sources {
    sources: Vec<Source>,
    last_id: SourceId,
}

impl Sources {
    /// Adds a server's link. Returns false if the limit on sources is reached.
    pub fn add(&mut self, link: ConnectionLink) -> bool {
        if self.sources.len() >= MAX_SOURCES {
            return false;
        }
        self.last_id = SourceId(self.last_id.0.wrapping_add(1));
        let (id, transfers) = (self.last_id, VecDeque::new());
        self.sources.push(Source { id, link, transfers, queued_bytes: 0, unsent_deliveries: 0 });
        true
    }

    /// Removes the sources that match a predicate, with their queued transfers.
    pub fn remove_where(&mut self, predicate: impl Fn(&Source) -> bool) {
        self.sources.retain(|source| !predicate(source));
    }

    /// Removes all sources.
    pub fn clear(&mut self) {
        self.sources.clear();
    }

    /// Returns the source with this id.
    pub fn get(&self, id: SourceId) -> Option<&Source> {
        self.sources.iter().find(|source| source.id == id)
    }

    /// Returns the source with this id, for modification.
    pub fn get_mut(&mut self, id: SourceId) -> Option<&mut Source> {
        self.sources.iter_mut().find(|source| source.id == id)
    }

    /// Returns the source that receives on a link.
    pub fn find(&self, link: ConnectionLink) -> Option<&Source> {
        self.sources.iter().find(|source| source.link == link)
    }

    /// Returns the first source with queued transfers.
    pub fn next_queued(&self) -> Option<SourceId> {
        self.sources.iter().find(|source| !source.transfers.is_empty()).map(|source| source.id)
    }

    /// Iterates over all sources.
    pub fn iter(&self) -> impl Iterator<Item = &Source> {
        self.sources.iter()
    }

    /// The number of sources.
    pub fn len(&self) -> usize {
        self.sources.len()
    }
}

impl Source {
    /// Returns the credit that the server should have, given this source's share of the client's credit.
    pub fn target_credit(&self, fair_share: u32) -> u32 {
        if self.queued_bytes > MAX_QUEUED_BYTES {
            return 0;
        }
        fair_share.saturating_sub(self.unsent_deliveries).min(MAX_SOURCE_CREDIT)
    }
}

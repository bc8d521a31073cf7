//! A single forwarder: it queues transfers from its sources and distributes the client's credit among them.

use crate::frontend::amqp::clients::{Client, Clients};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{RequestId, ServerId};
use crate::net::OUTPUT_HIGH_WATERMARK_BYTES;
use sparbank_amqp::{Attach, IncomingTransfer, OutgoingDelivery, State, Tag};
use std::collections::VecDeque;

/// Octets queued from one source above which its server is granted no more credit, because the client is slow.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// The maximum credit granted to one server, however much credit the client grants.
const MAX_SOURCE_CREDIT: u32 = 256;
/// The maximum number of servers that may be attached to one reply node.
const MAX_SOURCES: usize = 16;

/// Forwards deliveries from servers' links to one link of a client.
pub struct Forwarder {
    /// The request that the forwarder serves; `None` for a reply node.
    pub(super) request_id: Option<RequestId>,
    /// The client's receiving link.
    pub(super) client: ConnectionLink,
    /// The attach that the client sent.
    pub(super) attach: Box<Attach>,
    /// The server of the request's current attempt; `None` for a reply node or between attempts.
    pub(super) server: Option<ServerId>,
    /// Whether the attach of the client's link has been answered.
    pub(super) is_established: bool,
    /// The links on which the forwarder receives. A removed source leaves `None`, because the keys of deliveries
    /// contain indices into this vector.
    sources: Vec<Option<Source>>,
    /// The index of the source whose delivery is only partly sent to the client.
    sending_source: Option<usize>,
}

/// A server's link on which a forwarder receives.
struct Source {
    link: ConnectionLink,
    transfers: VecDeque<QueuedTransfer>,
    queued_bytes: usize,
    /// Received deliveries of which nothing has been sent to the client.
    unsent_deliveries: u32,
}

/// A transfer that is queued until the client can take it.
struct QueuedTransfer {
    delivery_id: u32,
    tag: Tag,
    is_settled: bool,
    is_last: bool,
    bytes: Vec<u8>,
}

/// Identifies a delivery on the client's link by the index of its source and its delivery id on the server's session.
struct DeliveryKey {
    source_index: usize,
    delivery_id: u32,
}

impl DeliveryKey {
    fn encode(&self) -> u64 {
        ((self.source_index as u64) << 32) | u64::from(self.delivery_id)
    }

    fn decode(key: u64) -> DeliveryKey {
        DeliveryKey { source_index: (key >> 32) as usize, delivery_id: key as u32 }
    }
}

impl Forwarder {
    /// Creates a forwarder for the request of a client's receiving link.
    pub fn for_request(request_id: RequestId, client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: Some(request_id),
            client,
            attach,
            server: None,
            is_established: false,
            sources: Vec::new(),
            sending_source: None,
        }
    }

    /// Creates the forwarder of a reply node, which needs no server to be established.
    pub fn for_replies(client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: None,
            client,
            attach,
            server: None,
            is_established: true,
            sources: Vec::new(),
            sending_source: None,
        }
    }

    /// Whether the request's attempt is at one of these servers and the server has not answered the attach.
    pub fn is_unanswered_at(&self, servers: &[ServerId]) -> bool {
        let is_attempted = self.server.is_some_and(|server| servers.contains(&server));
        !self.is_established && self.sources.is_empty() && is_attempted
    }

    /// Adds a server's link as a source. Returns false if the limit on sources is reached.
    pub fn add_source(&mut self, link: ConnectionLink) -> bool {
        let index = self.sources.iter().position(Option::is_none).unwrap_or(self.sources.len());
        if index >= MAX_SOURCES {
            return false;
        }
        if index == self.sources.len() {
            self.sources.push(None);
        }
        let transfers = VecDeque::new();
        self.sources[index] = Some(Source { link, transfers, queued_bytes: 0, unsent_deliveries: 0 });
        true
    }

    /// Removes a source and its queued transfers. Aborts the delivery that is partly sent to the client, if it is from
    /// this source.
    pub fn remove_source(&mut self, link: ConnectionLink, clients: &mut Clients) {
        let Some(index) = self.source_index(link) else { return };
        self.sources[index] = None;
        if self.sending_source == Some(index) {
            self.abort_partial_delivery(clients);
        }
    }

    /// Removes all sources without detaching their links.
    pub fn clear_sources(&mut self) {
        self.sources.clear();
    }

    /// Detaches the links of all sources.
    pub fn detach_sources(&self, servers: &mut Servers) {
        for source in self.sources.iter().flatten() {
            servers.detach_source(source.link);
        }
    }

    /// Queues a transfer received from a source. Returns false if there is nothing new to send to the client.
    pub fn push_transfer(
        &mut self,
        link: ConnectionLink,
        transfer: IncomingTransfer<'_>,
        peers: &mut Peers<'_>,
    ) -> bool {
        let Some(index) = self.source_index(link) else { return false };
        if transfer.first {
            if let Some(server) = peers.servers.connection(link.token) {
                server.conn.set_delivery_key(link.id.channel, transfer.id, u64::from(transfer.id));
            }
        }
        if transfer.aborted {
            self.on_aborted(index, transfer.id, peers.clients);
            return false;
        }
        let Some(source) = self.sources[index].as_mut() else { return false };
        source.unsent_deliveries += u32::from(transfer.first);
        source.queued_bytes += transfer.payload.len();
        source.transfers.push_back(QueuedTransfer {
            delivery_id: transfer.id,
            tag: transfer.tag,
            is_settled: transfer.settled,
            is_last: transfer.last,
            bytes: transfer.payload.to_vec(),
        });
        true
    }

    /// Sends queued transfers to the client as far as its credit and its socket allow, and distributes its credit among
    /// the servers. Returns the number of deliveries that were completed.
    pub fn forward(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>) -> u64 {
        let Some(client) = peers.clients.get(self.client.token) else { return 0 };
        let capacity =
            OUTPUT_HIGH_WATERMARK_BYTES.saturating_sub(ctx.net.pending_output_bytes(self.client.token));
        let completed = self.send_queued(client, capacity);
        let credit = client.conn.credit(self.client.id);
        if self.next_source().is_none() && client.conn.is_draining(self.client.id) {
            client.conn.return_credit(self.client.id);
        }
        peers.clients.mark_dirty(self.client.token);
        self.distribute_credit(credit, peers.servers);
        completed
    }

    /// Settles a delivery with its server after the client has settled it.
    pub fn on_settled_by_client(&self, key: u64, state: Option<State>, servers: &mut Servers) {
        let key = DeliveryKey::decode(key);
        let Some(source) = self.sources.get(key.source_index).and_then(Option::as_ref) else { return };
        if let Some(server) = servers.connection(source.link.token) {
            // Without a state, the client may or may not have processed the delivery. The server has to decide what to
            // do with it.
            let state = state.unwrap_or(State::Modified {
                delivery_failed: true,
                undeliverable_here: false,
                annotations: None,
            });
            server.conn.settle(source.link.id.channel, key.delivery_id, state);
            servers.mark_connection_dirty(source.link.token);
        }
    }

    /// Settles a delivery with the client after its server has settled it without waiting for the client.
    pub fn on_settled_by_server(&self, link: ConnectionLink, delivery_id: u32, clients: &mut Clients) {
        let Some(index) = self.source_index(link) else { return };
        let key = DeliveryKey { source_index: index, delivery_id }.encode();
        if let Some(client) = clients.get(self.client.token) {
            if let Some(outgoing_id) = client.conn.outgoing_delivery_id(self.client.id, key) {
                client.conn.settle_outgoing(self.client.id, outgoing_id);
            }
        }
        clients.mark_dirty(self.client.token);
    }

    fn source_index(&self, link: ConnectionLink) -> Option<usize> {
        let has_link = |source: &Source| source.link == link;
        self.sources.iter().position(|source| source.as_ref().is_some_and(has_link))
    }

    /// Returns the index of the first source with queued transfers.
    fn next_source(&self) -> Option<usize> {
        let has_queued = |source: &Source| !source.transfers.is_empty();
        self.sources.iter().position(|source| source.as_ref().is_some_and(has_queued))
    }

    /// Aborts the delivery that is partly sent to the client.
    fn abort_partial_delivery(&mut self, clients: &mut Clients) {
        self.sending_source = None;
        if let Some(client) = clients.get(self.client.token) {
            client.conn.abort(self.client.id);
        }
        clients.mark_dirty(self.client.token);
    }

    /// Handles a delivery that its server aborted.
    fn on_aborted(&mut self, index: usize, delivery_id: u32, clients: &mut Clients) {
        let Some(source) = self.sources[index].as_mut() else { return };
        let before = source.transfers.len();
        source.transfers.retain(|transfer| transfer.delivery_id != delivery_id);
        source.queued_bytes = source.transfers.iter().map(|transfer| transfer.bytes.len()).sum();
        let has_dropped_transfers = source.transfers.len() < before;
        if self.sending_source == Some(index) {
            self.abort_partial_delivery(clients);
        } else if has_dropped_transfers {
            source.unsent_deliveries = source.unsent_deliveries.saturating_sub(1);
        }
    }

    /// Sends queued transfers until the connection has `capacity` octets of pending output. Returns the number of
    /// deliveries that were completed.
    fn send_queued(&mut self, client: &mut Client, capacity: usize) -> u64 {
        let mut completed = 0;
        while let Some(index) = self.sending_source.or_else(|| self.next_source()) {
            let Some(source) = self.sources.get_mut(index).and_then(Option::as_mut) else { break };
            let Some(transfer) = source.transfers.front_mut() else { break };
            let key = DeliveryKey { source_index: index, delivery_id: transfer.delivery_id }.encode();
            let delivery = OutgoingDelivery { key, tag: transfer.tag, settled: transfer.is_settled };
            let sent =
                client.conn.send(self.client.id, delivery, &transfer.bytes, transfer.is_last, capacity);
            if sent.started && self.sending_source.is_none() {
                self.sending_source = Some(index);
                source.unsent_deliveries = source.unsent_deliveries.saturating_sub(1);
            }
            source.queued_bytes -= sent.octets;
            if sent.octets < transfer.bytes.len() || (transfer.is_last && !sent.complete) {
                transfer.bytes.drain(..sent.octets);
                client.set_stalled(client.conn.pending_output() >= capacity);
                break;
            }
            if sent.complete {
                self.sending_source = None;
                completed += 1;
            }
            source.transfers.pop_front();
        }
        completed
    }

    /// Distributes the client's credit equally among the sources. Each share is at least one while the client has
    /// credit.
    fn distribute_credit(&self, client_credit: u32, servers: &mut Servers) {
        let count = self.sources.iter().flatten().count().max(1) as u32;
        let fair_share = (client_credit / count).max(client_credit.min(1));
        for source in self.sources.iter().flatten() {
            let Some(server) = servers.connection(source.link.token) else { continue };
            let remaining = server.conn.credit(source.link.id);
            let target = source.target_credit(fair_share);
            // A flow is sent only if half of the credit has been used or the client has revoked its credit.
            let is_half_used = target > remaining && remaining <= target / 2;
            let is_revoked = target == 0 && remaining > 0 && client_credit == 0;
            if is_half_used || is_revoked {
                server.conn.set_credit(source.link.id, target);
                servers.mark_connection_dirty(source.link.token);
            }
        }
    }
}

impl Source {
    /// Returns the credit that the server should have, given this source's share of the client's credit.
    fn target_credit(&self, fair_share: u32) -> u32 {
        if self.queued_bytes > MAX_QUEUED_BYTES {
            return 0;
        }
        fair_share.saturating_sub(self.unsent_deliveries).min(MAX_SOURCE_CREDIT)
    }
}

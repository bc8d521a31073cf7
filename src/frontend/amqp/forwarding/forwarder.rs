//! One forwarder: the transfers that wait in it, and how the client's credit is shared out between its sources.

use crate::frontend::amqp::clients::{Client, Clients};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{RequestId, ServerId};
use crate::net::OUTPUT_HIGH_WATERMARK_BYTES;
use sparbank_amqp::{Attach, IncomingTransfer, Outgoing, State, Tag};
use std::collections::VecDeque;

/// Octets that wait for a slow client: above these its servers get no more credit.
const MAX_WAITING_BYTES: usize = 64 * 1024;
/// The most credit that one server is granted, whatever the client grants.
const MAX_SOURCE_CREDIT: u32 = 256;
/// Servers that may send to one reply node at the same time.
const MAX_SOURCES: usize = 16;

/// Deliveries that arrive on servers' links and go out on one link of a client.
pub struct Forwarder {
    /// Its request; none for a node for replies.
    pub(super) request_id: Option<RequestId>,
    /// The client's link.
    pub(super) client: ConnectionLink,
    /// The client's attach.
    pub(super) attach: Box<Attach>,
    /// The server of its attempt.
    pub(super) server: Option<ServerId>,
    /// The client's link is attached.
    pub(super) is_established: bool,
    /// Its sources; a free place is none, since a delivery's key names its source's place.
    sources: Vec<Option<Source>>,
    /// The place of the source whose delivery was sent to the client partly.
    current: Option<usize>,
}

/// A server's link that a forwarder receives from.
struct Source {
    link: ConnectionLink,
    transfers: VecDeque<WaitingTransfer>,
    waiting_bytes: usize,
    /// Deliveries of which nothing was sent to the client.
    unsent_deliveries: u32,
}

/// A transfer that waits for the client.
struct WaitingTransfer {
    delivery_id: u32,
    tag: Tag,
    is_settled: bool,
    is_last: bool,
    bytes: Vec<u8>,
}

/// Identifies a delivery on the client's link: the place of its source, and its delivery id there.
struct DeliveryKey {
    source: usize,
    delivery_id: u32,
}

impl DeliveryKey {
    fn encode(&self) -> u64 {
        ((self.source as u64) << 32) | u64::from(self.delivery_id)
    }

    fn decode(key: u64) -> DeliveryKey {
        DeliveryKey { source: (key >> 32) as usize, delivery_id: key as u32 }
    }
}

impl Forwarder {
    /// A forwarder for the request of a client's receiving link.
    pub fn for_request(request_id: RequestId, client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: Some(request_id),
            client,
            attach,
            server: None,
            is_established: false,
            sources: Vec::new(),
            current: None,
        }
    }

    /// The forwarder of a node for replies, which is established at once.
    pub fn for_replies(client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: None,
            client,
            attach,
            server: None,
            is_established: true,
            sources: Vec::new(),
            current: None,
        }
    }

    /// Whether its attach to one of these servers was not answered.
    pub fn is_unanswered_at(&self, servers: &[ServerId]) -> bool {
        let is_attempted = self.server.is_some_and(|server| servers.contains(&server));
        !self.is_established && self.sources.is_empty() && is_attempted
    }

    /// Adds a server's link as a source. False if there are too many.
    pub fn add_source(&mut self, link: ConnectionLink) -> bool {
        let place = self.sources.iter().position(Option::is_none).unwrap_or(self.sources.len());
        if place >= MAX_SOURCES {
            return false;
        }
        if place == self.sources.len() {
            self.sources.push(None);
        }
        let transfers = VecDeque::new();
        self.sources[place] = Some(Source { link, transfers, waiting_bytes: 0, unsent_deliveries: 0 });
        true
    }

    /// Removes a source and drops what waits of it. A delivery that the client has partly is aborted.
    pub fn remove_source(&mut self, link: ConnectionLink, clients: &mut Clients) {
        let Some(place) = self.place_of(link) else { return };
        self.sources[place] = None;
        if self.current == Some(place) {
            self.abort_current(clients);
        }
    }

    /// Forgets all sources.
    pub fn clear_sources(&mut self) {
        self.sources.clear();
    }

    /// Detaches the links of all sources.
    pub fn detach_sources(&self, servers: &mut Servers) {
        for source in self.sources.iter().flatten() {
            servers.detach_source(source.link);
        }
    }

    /// Adds a transfer that was received from a source. False if there is nothing new to send to the client.
    pub fn push_transfer(
        &mut self,
        link: ConnectionLink,
        transfer: IncomingTransfer<'_>,
        peers: &mut Peers<'_>,
    ) -> bool {
        let Some(place) = self.place_of(link) else { return false };
        if transfer.first {
            if let Some(server) = peers.servers.connection(link.token) {
                server.conn.set_delivery_key(link.id.channel, transfer.id, u64::from(transfer.id));
            }
        }
        if transfer.aborted {
            self.on_aborted(place, transfer.id, peers.clients);
            return false;
        }
        let Some(source) = self.sources[place].as_mut() else { return false };
        source.unsent_deliveries += u32::from(transfer.first);
        source.waiting_bytes += transfer.payload.len();
        source.transfers.push_back(WaitingTransfer {
            delivery_id: transfer.id,
            tag: transfer.tag,
            is_settled: transfer.settled,
            is_last: transfer.last,
            bytes: transfer.payload.to_vec(),
        });
        true
    }

    /// Sends the client as much as its credit and its socket take, and passes its credit on to the servers. Returns the
    /// number of deliveries that were completed.
    pub fn forward(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>) -> u64 {
        let Some(client) = peers.clients.get(self.client.token) else { return 0 };
        let capacity =
            OUTPUT_HIGH_WATERMARK_BYTES.saturating_sub(ctx.net.pending_output_bytes(self.client.token));
        let completed = self.send_waiting(client, capacity);
        let credit = client.conn.credit(self.client.id);
        if self.next_source().is_none() && client.conn.is_draining(self.client.id) {
            client.conn.return_credit(self.client.id);
        }
        peers.clients.mark_dirty(self.client.token);
        self.distribute_credit(credit, peers.servers);
        completed
    }

    /// The client has settled the delivery with this key: the node settles it with its server.
    pub fn on_settled_by_client(&self, key: u64, state: Option<State>, servers: &mut Servers) {
        let key = DeliveryKey::decode(key);
        let Some(source) = self.sources.get(key.source).and_then(Option::as_ref) else { return };
        if let Some(server) = servers.connection(source.link.token) {
            // Settled without a state, it may have been processed or not: the server decides.
            let state = state.unwrap_or(State::Modified {
                failed: true,
                undeliverable_here: false,
                annotations: None,
            });
            server.conn.settle(source.link.id.channel, key.delivery_id, state);
            servers.mark_connection_dirty(source.link.token);
        }
    }

    /// The server has settled its delivery `delivery_id` by itself: the node settles it with the client.
    pub fn on_settled_by_server(&self, link: ConnectionLink, delivery_id: u32, clients: &mut Clients) {
        let Some(place) = self.place_of(link) else { return };
        let key = DeliveryKey { source: place, delivery_id }.encode();
        if let Some(client) = clients.get(self.client.token) {
            if let Some(outgoing_id) = client.conn.outgoing_delivery_id(self.client.id, key) {
                client.conn.settle_outgoing(self.client.id, outgoing_id);
            }
        }
        clients.mark_dirty(self.client.token);
    }

    fn place_of(&self, link: ConnectionLink) -> Option<usize> {
        let is_it = |source: &Source| source.link == link;
        self.sources.iter().position(|source| source.as_ref().is_some_and(is_it))
    }

    /// The first source that has something for the client.
    fn next_source(&self) -> Option<usize> {
        let has_waiting = |source: &Source| !source.transfers.is_empty();
        self.sources.iter().position(|source| source.as_ref().is_some_and(has_waiting))
    }

    /// Aborts the delivery that was sent to the client partly.
    fn abort_current(&mut self, clients: &mut Clients) {
        self.current = None;
        if let Some(client) = clients.get(self.client.token) {
            client.conn.abort(self.client.id);
        }
        clients.mark_dirty(self.client.token);
    }

    /// A server has aborted a delivery.
    fn on_aborted(&mut self, place: usize, delivery_id: u32, clients: &mut Clients) {
        let Some(source) = self.sources[place].as_mut() else { return };
        let before = source.transfers.len();
        source.transfers.retain(|transfer| transfer.delivery_id != delivery_id);
        source.waiting_bytes = source.transfers.iter().map(|transfer| transfer.bytes.len()).sum();
        let has_dropped = source.transfers.len() < before;
        if self.current == Some(place) {
            self.abort_current(clients);
        } else if has_dropped {
            source.unsent_deliveries = source.unsent_deliveries.saturating_sub(1);
        }
    }

    /// Sends waiting transfers up to `capacity` octets of output. Returns how many deliveries were completed.
    fn send_waiting(&mut self, client: &mut Client, capacity: usize) -> u64 {
        let mut completed = 0;
        while let Some(place) = self.current.or_else(|| self.next_source()) {
            let Some(source) = self.sources.get_mut(place).and_then(Option::as_mut) else { break };
            let Some(transfer) = source.transfers.front_mut() else { break };
            let key = DeliveryKey { source: place, delivery_id: transfer.delivery_id }.encode();
            let delivery = Outgoing { key, tag: transfer.tag, settled: transfer.is_settled };
            let sent =
                client.conn.send(self.client.id, delivery, &transfer.bytes, transfer.is_last, capacity);
            if sent.started && self.current.is_none() {
                self.current = Some(place);
                source.unsent_deliveries = source.unsent_deliveries.saturating_sub(1);
            }
            source.waiting_bytes -= sent.octets;
            if sent.octets < transfer.bytes.len() || (transfer.is_last && !sent.complete) {
                transfer.bytes.drain(..sent.octets);
                client.set_stalled(client.conn.pending() >= capacity);
                break;
            }
            if sent.complete {
                self.current = None;
                completed += 1;
            }
            source.transfers.pop_front();
        }
        completed
    }

    /// Shares the client's credit out between the sources.
    fn distribute_credit(&self, client_credit: u32, servers: &mut Servers) {
        let count = self.sources.iter().flatten().count().max(1) as u32;
        let fair_share = (client_credit / count).max(client_credit.min(1));
        for source in self.sources.iter().flatten() {
            let Some(server) = servers.connection(source.link.token) else { continue };
            let current = server.conn.credit(source.link.id);
            let target = source.target_credit(fair_share);
            // Granted anew when half of it is used, or when the client takes its credit back.
            let is_half_used = target > current && current <= target / 2;
            let is_revoked = target == 0 && current > 0 && client_credit == 0;
            if is_half_used || is_revoked {
                server.conn.set_credit(source.link.id, target);
                servers.mark_connection_dirty(source.link.token);
            }
        }
    }
}

impl Source {
    /// The credit that the server should have, of which `fair_share` is this source's part.
    fn target_credit(&self, fair_share: u32) -> u32 {
        if self.waiting_bytes > MAX_WAITING_BYTES {
            return 0;
        }
        fair_share.saturating_sub(self.unsent_deliveries).min(MAX_SOURCE_CREDIT)
    }
}

//! A single forwarder: it queues transfers from its sources and distributes the client's credit among them.

use super::outcome::refused_attach_outcome;
use super::sources::{DeliveryKey, QueuedTransfer, SourceId, Sources};
use crate::frontend::amqp::clients::{Client, Clients};
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::net::OUTPUT_HIGH_WATERMARK_BYTES;
use sparbank_amqp::{Attach, IncomingTransfer, OutgoingDelivery, State};

/// An attempt to establish a forwarder's request at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwarderAttempt {
    /// The server of the attempt.
    pub server: ServerId,
    /// The progress of the attempt.
    pub stage: AttachStage,
}

/// The progress of an attach to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttachStage {
    /// The attach waits for a session. The request has not run.
    Queued,
    /// The attach was sent and the server has not refused it. The request may run.
    Sent,
    /// The server has answered with an attach without a source; a detach that says why follows.
    Refused,
}

impl AttachStage {
    /// The outcome of an attempt that the node ends at this stage.
    pub fn cancelled_outcome(self) -> Outcome {
        match self {
            AttachStage::Queued => Outcome::ConnectFailed,
            AttachStage::Sent | AttachStage::Refused => Outcome::Timeout,
        }
    }

    /// The outcome of an attempt whose link the server detached with this condition. Only a server that has refused the
    /// attach can say that the request has not run.
    pub fn detached_outcome(self, condition: Option<&str>) -> Outcome {
        match self {
            AttachStage::Refused => refused_attach_outcome(condition),
            AttachStage::Queued | AttachStage::Sent => Outcome::Reset,
        }
    }
}

/// Forwards deliveries from servers' links to one link of a client.
pub struct Forwarder {
    /// The request that the forwarder serves; `None` for a reply node.
    pub(super) request_id: Option<RequestId>,
    /// The client's receiving link.
    pub(super) client: ConnectionLink,
    /// The attach that the client sent.
    pub(super) attach: Box<Attach>,
    /// The request's current attempt, or the one that established it; `None` for a reply node or between attempts.
    pub(super) attempt: Option<ForwarderAttempt>,
    /// Whether the attach of the client's link has been answered.
    pub(super) is_established: bool,
    /// The links on which the forwarder receives.
    sources: Sources,
    /// The source whose delivery is only partly sent to the client.
    sending_source: Option<SourceId>,
}

impl Forwarder {
    /// Creates a forwarder for the request of a client's receiving link.
    pub fn for_request(request_id: RequestId, client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: Some(request_id),
            client,
            attach,
            attempt: None,
            is_established: false,
            sources: Sources::default(),
            sending_source: None,
        }
    }

    /// Creates the forwarder of a reply node, which needs no server to be established.
    pub fn for_replies(client: ConnectionLink, attach: Box<Attach>) -> Forwarder {
        Forwarder {
            request_id: None,
            client,
            attach,
            attempt: None,
            is_established: true,
            sources: Sources::default(),
            sending_source: None,
        }
    }

    /// Whether the request's attempt is at one of these servers and its attach was not sent.
    pub fn is_unsent_at(&self, servers: &[ServerId]) -> bool {
        let is_unsent = |attempt: ForwarderAttempt| {
            attempt.stage == AttachStage::Queued && servers.contains(&attempt.server)
        };
        self.attempt.is_some_and(is_unsent)
    }

    /// Sets the progress of the current attempt.
    pub fn set_attach_stage(&mut self, stage: AttachStage) {
        if let Some(attempt) = &mut self.attempt {
            attempt.stage = stage;
        }
    }

    /// Adds a server's link as a source. Returns false if the limit on sources is reached.
    pub fn add_source(&mut self, link: ConnectionLink) -> bool {
        self.sources.add(link)
    }

    /// Removes a source and its queued transfers. Aborts the delivery that is partly sent to the client, if it is from
    /// this source.
    pub fn remove_source(&mut self, link: ConnectionLink, clients: &mut Clients) {
        self.sources.remove_where(|source| source.link == link);
        self.abort_orphaned_delivery(clients);
    }

    /// Removes the sources on a connection that is lost, as [`Forwarder::remove_source`] does.
    pub fn remove_sources_on(&mut self, token: Token, clients: &mut Clients) {
        self.sources.remove_where(|source| source.link.token == token);
        self.abort_orphaned_delivery(clients);
    }

    /// Aborts the delivery that is partly sent to the client if its source has been removed.
    fn abort_orphaned_delivery(&mut self, clients: &mut Clients) {
        if self.sending_source.is_some_and(|id| self.sources.get(id).is_none()) {
            self.abort_partial_delivery(clients);
        }
    }

    /// Removes all sources without detaching their links.
    pub fn clear_sources(&mut self) {
        self.sources.clear();
    }

    /// Detaches the links of all sources.
    pub fn detach_sources(&self, servers: &mut Servers) {
        for source in self.sources.iter() {
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
        let Some(id) = self.sources.find(link).map(|source| source.id) else { return false };
        if transfer.first {
            if let Some(server) = peers.servers.connection(link.token) {
                server.conn.set_delivery_key(link.id.channel, transfer.id, u64::from(transfer.id));
            }
        }
        if transfer.aborted {
            self.on_aborted(id, transfer.id, peers.clients);
            return false;
        }
        let Some(source) = self.sources.get_mut(id) else { return false };
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
        if self.sources.next_queued().is_none() && client.conn.is_draining(self.client.id) {
            client.conn.return_credit(self.client.id);
        }
        peers.clients.mark_dirty(self.client.token);
        self.distribute_credit(credit, peers.servers);
        completed
    }

    /// Settles a delivery with its server after the client has settled it.
    pub fn on_settled_by_client(&self, key: u64, state: Option<State>, servers: &mut Servers) {
        let key = DeliveryKey::decode(key);
        let Some(source) = self.sources.get(key.source) else { return };
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
        let Some(source) = self.sources.find(link) else { return };
        let key = DeliveryKey { source: source.id, delivery_id }.encode();
        if let Some(client) = clients.get(self.client.token) {
            if let Some(outgoing_id) = client.conn.outgoing_delivery_id(self.client.id, key) {
                client.conn.settle_outgoing(self.client.id, outgoing_id);
            }
        }
        clients.mark_dirty(self.client.token);
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
    fn on_aborted(&mut self, id: SourceId, delivery_id: u32, clients: &mut Clients) {
        let Some(source) = self.sources.get_mut(id) else { return };
        let before = source.transfers.len();
        source.transfers.retain(|transfer| transfer.delivery_id != delivery_id);
        source.queued_bytes = source.transfers.iter().map(|transfer| transfer.bytes.len()).sum();
        let has_dropped_transfers = source.transfers.len() < before;
        if self.sending_source == Some(id) {
            self.abort_partial_delivery(clients);
        } else if has_dropped_transfers {
            source.unsent_deliveries = source.unsent_deliveries.saturating_sub(1);
        }
    }

    /// Sends queued transfers until the connection has `capacity` octets of pending output. Returns the number of
    /// deliveries that were completed.
    fn send_queued(&mut self, client: &mut Client, capacity: usize) -> u64 {
        let mut completed = 0;
        while let Some(id) = self.sending_source.or_else(|| self.sources.next_queued()) {
            let Some(source) = self.sources.get_mut(id) else { break };
            let Some(transfer) = source.transfers.front_mut() else { break };
            let key = DeliveryKey { source: id, delivery_id: transfer.delivery_id }.encode();
            let delivery = OutgoingDelivery { key, tag: transfer.tag, settled: transfer.is_settled };
            let sent =
                client.conn.send(self.client.id, delivery, &transfer.bytes, transfer.is_last, capacity);
            if sent.started && self.sending_source.is_none() {
                self.sending_source = Some(id);
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
        let count = self.sources.len().max(1) as u32;
        let fair_share = (client_credit / count).max(client_credit.min(1));
        for source in self.sources.iter() {
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

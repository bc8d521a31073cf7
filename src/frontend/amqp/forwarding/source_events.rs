//! Events of the servers' links on which forwarders receive.

use super::forwarder::AttachStage;
use super::outcome::detached_outcome;
use super::Forwarding;
use crate::frontend::amqp::connection_link::ConnectionLink;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::frontend::amqp::peers::Peers;
use crate::frontend::amqp::replies::retry_error;
use crate::frontend::amqp::servers::ServerLink;
use crate::frontend::FrontendContext;
use crate::model::Outcome;
use crate::net::Token;
use sparbank_amqp::{condition, Attach, Error, IncomingTransfer, Role, Terminus};

impl Forwarding {
    /// Handles the attach with which a server answers a forwarder: the request is established, and the client's attach
    /// is answered.
    pub fn on_source_attached(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        id: ForwarderId,
        source: ConnectionLink,
        attach: &Attach,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        if !forwarder.add_source(source) {
            return;
        }
        let Some(request_id) = forwarder.request_id.filter(|_| !forwarder.is_established) else { return };
        forwarder.is_established = true;
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: forwarder.attach.target.clone(),
            properties: attach.properties.clone(),
            offered_capabilities: attach.offered_capabilities.clone(),
            ..Attach::default()
        };
        let client_link = forwarder.client;
        ctx.requests.on_established(ctx.now, request_id);
        if let Some(client) = peers.clients.get(client_link.token) {
            client.conn.accept_link(client_link.id, answer);
        }
        peers.clients.mark_dirty(client_link.token);
        self.forward(ctx, peers, id);
    }

    /// Handles an attach that a server initiates. It is accepted only if the server is the sender and the target is a
    /// reply node.
    pub fn on_server_attach_request(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        source: ConnectionLink,
        role: Role,
        attach: &Attach,
    ) {
        let id = self.requested_reply_node(role, attach);
        let Some(connection) = peers.servers.connection(source.token) else { return };
        let id = id.filter(|id| self.forwarders.get(*id).is_some_and(|node| node.add_source(source)));
        let Some(id) = id else {
            let error = Error::new(condition::NOT_FOUND, "no node for replies has this address");
            return connection.conn.refuse_link(source.id, error);
        };
        connection.add_link(source.id, ServerLink::Receiving(id));
        let answer = Attach {
            source: attach.source.clone(),
            target: attach.target.clone(),
            snd_settle_mode: attach.snd_settle_mode,
            ..Attach::default()
        };
        connection.conn.accept_link(source.id, answer);
        self.forward(ctx, peers, id);
    }

    /// Returns the reply node that a server's attach names as its target.
    fn requested_reply_node(&self, role: Role, attach: &Attach) -> Option<ForwarderId> {
        match &attach.target {
            Some(Terminus::Target(target)) if role == Role::Receiver => {
                self.forwarders.find_by_reply_address(target.address.as_deref()?)
            }
            _ => None,
        }
    }

    /// Handles a transfer received from a server: it is sent to the client or queued.
    pub fn on_transfer(
        &mut self,
        ctx: &FrontendContext,
        peers: &mut Peers<'_>,
        id: ForwarderId,
        source: ConnectionLink,
        transfer: IncomingTransfer<'_>,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        if forwarder.push_transfer(source, transfer, peers) {
            self.forwarded += forwarder.forward(ctx, peers);
        }
    }

    /// Handles a server's settlement of its own delivery.
    pub fn on_settled_by_server(
        &mut self,
        peers: &mut Peers<'_>,
        id: ForwarderId,
        source: ConnectionLink,
        delivery_id: u32,
    ) {
        if let Some(forwarder) = self.forwarders.get(id) {
            forwarder.on_settled_by_server(source, delivery_id, peers.clients);
        }
    }

    /// Handles the loss of the server's connection with this token, on which a forwarder received.
    pub fn on_source_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        id: ForwarderId,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        let Some(request_id) = forwarder.request_id else {
            // A reply node is not removed, because other servers may send to it.
            forwarder.remove_sources_on(token, peers.clients);
            return self.forward(ctx, peers, id);
        };
        if !forwarder.is_established {
            return self.on_attempt_failed(ctx, peers, id, Outcome::Reset);
        }
        let error = retry_error(condition::DETACH_FORCED, "its region is lost: come again", 0);
        ctx.requests.on_attempt_ended(ctx.now, request_id, Outcome::Reset);
        self.end_established(peers, id, Some(error));
    }

    /// Handles the detach of a server's link on which a forwarder received.
    pub fn on_source_detached(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        id: ForwarderId,
        source: ConnectionLink,
        error: Option<Error>,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        forwarder.remove_source(source, peers.clients);
        let attempt = forwarder.attempt;
        // A reply node is not removed, because other servers may send to it.
        let Some(request_id) = forwarder.request_id else { return self.forward(ctx, peers, id) };
        let condition = error.as_ref().map(|error| error.condition.as_str());
        if !forwarder.is_established {
            let stage = attempt.map_or(AttachStage::Sent, |attempt| attempt.stage);
            return self.on_attempt_failed(ctx, peers, id, stage.detached_outcome(condition));
        }
        ctx.requests.on_attempt_ended(ctx.now, request_id, detached_outcome(condition));
        self.end_established(peers, id, error);
    }

    /// Removes an established forwarder and detaches the client's link with this error.
    fn end_established(&mut self, peers: &mut Peers<'_>, id: ForwarderId, error: Option<Error>) {
        if let Some(forwarder) = self.remove(peers.servers, id) {
            self.detach_client_link(peers, &forwarder, error);
        }
    }
}

//! A forwarder from start to end: established when its server attaches, ended when the server's link, the client's link or the
//! request ends.

use super::forwarder::Forwarder;
use super::forwarders::{ForwarderId, Peers};
use super::replies::retry_error;
use super::AmqpFrontend;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId};
use crate::net::Token;
use sparbank_amqp::{condition, Attach, Error, LinkId, Role, Terminus};

impl AmqpFrontend {
    /// Sends a forwarder's client what its credit takes.
    pub(super) fn forward(&mut self, ctx: &mut FrontendContext, forwarder: ForwarderId) {
        let peers = Peers { clients: &mut self.clients, servers: &mut self.servers };
        self.forwarders.forward(ctx, forwarder, peers);
    }

    /// A server has attached its link to a forwarder: the request is established, and the client has its answer.
    pub(super) fn on_source_attached(
        &mut self,
        ctx: &mut FrontendContext,
        id: ForwarderId,
        token: Token,
        link: LinkId,
        attach: &Attach,
    ) {
        if !self.forwarders.add_source(id, token, link) {
            return;
        }
        let Some(forwarder) = self.forwarders.get(id) else { return };
        let Some(request_id) = forwarder.request_id.filter(|_| !forwarder.established) else { return };
        forwarder.established = true;
        let answer = Attach {
            snd_settle_mode: attach.snd_settle_mode,
            source: attach.source.clone(),
            target: forwarder.attach.target.clone(),
            properties: attach.properties.clone(),
            offered_capabilities: attach.offered_capabilities.clone(),
            ..Attach::default()
        };
        let client_token = forwarder.client;
        let client_link = forwarder.link;
        ctx.requests.on_established(ctx.now, request_id);
        if let Some(client) = self.clients.get(client_token) {
            client.conn.accept_link(client_link, answer);
        }
        self.clients.mark_dirty(client_token);
        self.forward(ctx, id);
    }

    /// A server attaches a link by itself: it may send to a node for replies, and to nothing else.
    pub(super) fn on_server_attach_request(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        link: LinkId,
        role: Role,
        attach: &Attach,
    ) {
        let address = match &attach.target {
            Some(Terminus::Target(target)) => target.address.as_deref(),
            _ => None,
        };
        let forwarder = address
            .filter(|_| role == Role::Receiver)
            .and_then(|address| self.forwarders.at_reply_address(address));
        let Some(connection) = self.servers.get(token) else { return };
        let forwarder = forwarder.filter(|forwarder| self.forwarders.add_source(*forwarder, token, link));
        let Some(forwarder) = forwarder else {
            let error = Error::new(condition::NOT_FOUND, "no node for replies has this address");
            return connection.conn.refuse_link(link, error);
        };
        connection.links.insert(link, super::servers::ServerLink::Receiving(forwarder));
        let answer = Attach {
            source: attach.source.clone(),
            target: attach.target.clone(),
            snd_settle_mode: attach.snd_settle_mode,
            ..Attach::default()
        };
        connection.conn.accept_link(link, answer);
        self.forward(ctx, forwarder);
    }

    /// A server's connection is lost with the link that a forwarder received on.
    pub(super) fn on_source_connection_lost(&mut self, ctx: &mut FrontendContext, id: ForwarderId) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        // A node for replies remains: other servers may send to it.
        let Some(request_id) = forwarder.request_id else { return };
        if !forwarder.established {
            return self.on_forwarder_attempt_failed(ctx, id, Outcome::Reset);
        }
        let error = retry_error(condition::DETACH_FORCED, "its region is lost: come again", 0);
        self.end_forwarder(ctx, id, request_id, Outcome::Reset, Some(error));
    }

    /// A server has detached the link that a forwarder received on.
    pub(super) fn on_source_detached(
        &mut self,
        ctx: &mut FrontendContext,
        id: ForwarderId,
        token: Token,
        link: LinkId,
        error: Option<Error>,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        forwarder.remove_source(token, link, &mut self.clients);
        // A node for replies remains: other servers may send to it.
        let Some(request_id) = forwarder.request_id else { return };
        let condition = error.as_ref().map(|error| error.condition.as_str());
        if !forwarder.established {
            return self.on_forwarder_attempt_failed(ctx, id, refused_attach_outcome(condition));
        }
        self.end_forwarder(ctx, id, request_id, detached_outcome(condition), error);
    }

    /// Ends an established forwarder, whose client's link is detached with this error.
    fn end_forwarder(
        &mut self,
        ctx: &mut FrontendContext,
        id: ForwarderId,
        request_id: RequestId,
        outcome: Outcome,
        error: Option<Error>,
    ) {
        ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        if let Some(forwarder) = self.forwarders.remove(id, &mut self.servers) {
            self.detach_client_link(&forwarder, error);
        }
    }

    /// The attempt of a forwarder has ended before it was established: it may be retried.
    pub(super) fn on_forwarder_attempt_failed(
        &mut self,
        ctx: &mut FrontendContext,
        id: ForwarderId,
        outcome: Outcome,
    ) {
        self.forwarders.cancel_attempt(id, &mut self.servers);
        let forwarder = self.forwarders.get(id).filter(|forwarder| !forwarder.established);
        if let Some(request_id) = forwarder.and_then(|forwarder| forwarder.request_id) {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
    }

    /// Ends the client's link of a forwarder that was removed. The link is detached between two deliveries: one that was
    /// sent partly is aborted.
    pub(super) fn detach_client_link(&mut self, forwarder: &Forwarder, error: Option<Error>) {
        self.clients.remove_link(forwarder.client, forwarder.link);
        if let Some(client) = self.clients.get(forwarder.client) {
            if client.conn.is_sending(forwarder.link) {
                self.aborted += 1;
                client.conn.abort(forwarder.link);
            }
            client.conn.detach(forwarder.link, true, error.map(Box::new));
        }
        self.clients.mark_dirty(forwarder.client);
    }

    /// The client of a forwarder has detached its link or is gone.
    pub(super) fn on_forwarder_client_gone(&mut self, ctx: &mut FrontendContext, id: ForwarderId) {
        if let Some(forwarder) = self.forwarders.remove(id, &mut self.servers) {
            if let Some(request_id) = forwarder.request_id {
                ctx.requests.on_client_disconnected(ctx.now, request_id);
            }
        }
    }

    /// Refuses the client's link of a request that is not established.
    pub(super) fn refuse_forwarder(&mut self, request_id: RequestId, error: Error) {
        let Some(id) = self.forwarders.of_request(request_id) else { return };
        let Some(forwarder) = self.forwarders.remove(id, &mut self.servers) else { return };
        self.clients.remove_link(forwarder.client, forwarder.link);
        if let Some(client) = self.clients.get(forwarder.client) {
            client.conn.refuse_link(forwarder.link, error);
        }
        self.clients.mark_dirty(forwarder.client);
    }
}

/// The outcome of an attempt whose attach the server refused with this condition.
fn refused_attach_outcome(condition: Option<&str>) -> Outcome {
    match condition {
        None => Outcome::Rejected,
        Some(
            condition::RESOURCE_LIMIT_EXCEEDED
            | condition::DETACH_FORCED
            | condition::LINK_REDIRECT
            | condition::CONNECTION_FORCED,
        ) => Outcome::Rejected,
        Some(_) => Outcome::Error,
    }
}

/// The outcome of a standing connection that the server detached with this condition.
fn detached_outcome(condition: Option<&str>) -> Outcome {
    match condition {
        None => Outcome::Ok,
        Some(condition::DETACH_FORCED | condition::LINK_REDIRECT) => Outcome::Cancelled,
        Some(_) => Outcome::Reset,
    }
}

//! Forwarding of deliveries from servers' links to clients' links.
//!
//! A forwarder serves either one request or a reply node. A request is a client's receiving link, which is established
//! when a server attaches; a reply node is a dynamic source to which several servers may send. [`Forwarding`] owns all
//! forwarders. The handlers of client and server events call it with the links that the events concern; `source_events`
//! handles those of the servers' links.

mod forwarder;
mod outcome;
mod source_events;
mod sources;
mod table;

use super::connection_link::ConnectionLink;
use super::forwarder_id::ForwarderId;
use super::peers::Peers;
use super::replies::retry_error;
use super::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use forwarder::{AttachStage, Forwarder, ForwarderAttempt};
use sparbank_amqp::{condition, Attach, DetachMode, Error, State, Target, Terminus};
use table::ForwarderTable;

/// All forwarders, and counts of what they have forwarded.
#[derive(Default)]
pub struct Forwarding {
    forwarders: ForwarderTable,
    /// Number of deliveries that were forwarded completely.
    forwarded: u64,
    /// Number of deliveries that were aborted after part of them was sent to the client.
    aborted: u64,
}

impl Forwarding {
    /// The current number of forwarders.
    pub fn len(&self) -> usize {
        self.forwarders.len()
    }

    /// The number of deliveries that were forwarded completely.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// The number of deliveries that were aborted after part of them was sent to the client.
    pub fn aborted(&self) -> u64 {
        self.aborted
    }

    /// Adds a forwarder for the request of a client's receiving link.
    pub fn add_forwarder(
        &mut self,
        request_id: RequestId,
        client: ConnectionLink,
        attach: Box<Attach>,
    ) -> ForwarderId {
        self.forwarders.insert(Forwarder::for_request(request_id, client, attach))
    }

    /// Whether a request has a forwarder.
    pub fn has_request(&self, request_id: RequestId) -> bool {
        self.forwarders.find_by_request(request_id).is_some()
    }

    /// Starts an attempt of a request: queues the attach of its forwarder to a server.
    pub fn start_attempt(&mut self, servers: &mut Servers, request_id: RequestId, server: ServerId) {
        let Some(id) = self.forwarders.find_by_request(request_id) else { return };
        let Some(forwarder) = self.forwarders.get(id) else { return };
        forwarder.attempt = Some(ForwarderAttempt { server, stage: AttachStage::Queued });
        servers.enqueue_forwarder(server, id, Box::new(attach_for_server(&forwarder.attach)));
    }

    /// Cancels the attempt of a request's forwarder and returns its outcome, or `None` if the request has no forwarder.
    /// The outcome shows whether the server may have run the request: a request whose attach was not sent has not run.
    pub fn cancel_attempt(&mut self, servers: &mut Servers, request_id: RequestId) -> Option<Outcome> {
        let id = self.forwarders.find_by_request(request_id)?;
        Some(self.cancel(servers, id))
    }

    fn cancel(&mut self, servers: &mut Servers, id: ForwarderId) -> Outcome {
        let attempt = self.forwarders.get(id).and_then(|forwarder| {
            forwarder.clear_sources();
            forwarder.attempt.take()
        });
        let Some(attempt) = attempt else { return Outcome::Cancelled };
        servers.cancel_forwarder(attempt.server, id);
        attempt.stage.cancelled_outcome()
    }

    /// Records that the attaches of these forwarders were sent to their servers.
    pub fn on_attaches_sent(&mut self, sent: &[ForwarderId]) {
        self.set_attach_stage(sent, AttachStage::Sent);
    }

    /// Handles a server's refusal of a forwarder's attach. The detach that follows ends the attempt.
    pub fn on_source_refused(&mut self, id: ForwarderId) {
        self.set_attach_stage(&[id], AttachStage::Refused);
    }

    fn set_attach_stage(&mut self, forwarders: &[ForwarderId], stage: AttachStage) {
        for id in forwarders {
            if let Some(forwarder) = self.forwarders.get(*id) {
                forwarder.set_attach_stage(stage);
            }
        }
    }

    /// Refuses the client's link of a request that was not established.
    pub fn refuse(&mut self, peers: &mut Peers<'_>, request_id: RequestId, error: Error) {
        let Some(id) = self.forwarders.find_by_request(request_id) else { return };
        let Some(forwarder) = self.remove(peers.servers, id) else { return };
        let client_link = forwarder.client;
        peers.clients.remove_link(client_link);
        if let Some(client) = peers.clients.get(client_link.token) {
            client.conn.refuse_link(client_link.id, error);
        }
        peers.clients.mark_dirty(client_link.token);
    }

    /// Migrates an established request by detaching the client's link. The error's retry time is 0, so that the client
    /// reconnects at once.
    pub fn migrate(&mut self, peers: &mut Peers<'_>, request_id: RequestId) {
        let Some(id) = self.forwarders.find_by_request(request_id) else { return };
        if let Some(forwarder) = self.remove(peers.servers, id) {
            let error = retry_error(condition::DETACH_FORCED, "moved: come again", 0);
            self.detach_client_link(peers, &forwarder, Some(error));
        }
    }

    /// Ends the attempts at these servers whose attach was not sent, because the servers accept no new attempts. The
    /// others continue: a draining server finishes what it has.
    pub fn on_servers_draining(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        stopped: &[ServerId],
    ) {
        for id in self.forwarders.unsent_at(stopped) {
            self.on_attempt_failed(ctx, peers, id, Outcome::ConnectFailed);
        }
    }

    /// Ends the attempt of a forwarder that was not established. The request may be retried.
    pub fn on_attempt_failed(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        id: ForwarderId,
        outcome: Outcome,
    ) {
        self.cancel(peers.servers, id);
        let forwarder = self.forwarders.get(id).filter(|forwarder| !forwarder.is_established);
        if let Some(request_id) = forwarder.and_then(|forwarder| forwarder.request_id) {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
    }

    /// Removes a forwarder and detaches its servers' links.
    fn remove(&mut self, servers: &mut Servers, id: ForwarderId) -> Option<Forwarder> {
        let forwarder = self.forwarders.remove(id)?;
        if let (Some(attempt), false) = (forwarder.attempt, forwarder.is_established) {
            servers.cancel_forwarder(attempt.server, id);
        }
        forwarder.detach_sources(servers);
        Some(forwarder)
    }

    /// Adds a reply node for a client's receiving link. The caller has to set its address.
    pub fn add_reply_node(&mut self, client: ConnectionLink, attach: Box<Attach>) -> ForwarderId {
        self.forwarders.insert(Forwarder::for_replies(client, attach))
    }

    /// Sets the address with which servers attach to a reply node.
    pub fn set_reply_address(&mut self, address: String, id: ForwarderId) {
        self.forwarders.set_reply_address(address, id);
    }

    /// Sends queued transfers to a forwarder's client as far as its credit and its socket allow, and distributes its
    /// credit among the servers.
    pub fn forward(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>, id: ForwarderId) {
        if let Some(forwarder) = self.forwarders.get(id) {
            self.forwarded += forwarder.forward(ctx, peers);
        }
    }

    /// Continues all forwarders of a client, in the order of their ids, after its socket has become writable.
    pub fn forward_all(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>, token: Token) {
        let Some(client) = peers.clients.get(token) else { return };
        for id in client.forwarders() {
            self.forward(ctx, peers, id);
        }
    }

    /// Continues the forwarders on a client's session, in the order of their ids, after its window has been extended.
    pub fn on_session_window(
        &mut self,
        ctx: &FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        channel: u16,
    ) {
        for id in self.forwarders.find_by_session(token, channel) {
            self.forward(ctx, peers, id);
        }
    }

    /// Handles a client's settlement of a delivery, which the forwarder identifies by `key`.
    pub fn on_settled_by_client(
        &mut self,
        servers: &mut Servers,
        id: ForwarderId,
        key: u64,
        state: Option<State>,
    ) {
        if let Some(forwarder) = self.forwarders.get(id) {
            forwarder.on_settled_by_client(key, state, servers);
        }
    }

    /// Removes a forwarder whose client has detached the link or has disconnected.
    pub fn on_client_disconnected(
        &mut self,
        ctx: &mut FrontendContext,
        servers: &mut Servers,
        id: ForwarderId,
    ) {
        if let Some(request_id) = self.remove(servers, id).and_then(|forwarder| forwarder.request_id) {
            ctx.requests.on_client_disconnected(ctx.now, request_id);
        }
    }

    /// Detaches the client's link of a removed forwarder. The link is detached between deliveries: one that is only
    /// partly sent is aborted first.
    fn detach_client_link(&mut self, peers: &mut Peers<'_>, forwarder: &Forwarder, error: Option<Error>) {
        let link = forwarder.client;
        peers.clients.remove_link(link);
        if let Some(client) = peers.clients.get(link.token) {
            if client.conn.is_sending(link.id) {
                self.aborted += 1;
                client.conn.abort(link.id);
            }
            client.conn.detach(link.id, DetachMode::Closed, error.map(Box::new));
        }
        peers.clients.mark_dirty(link.token);
    }
}

/// Builds the attach to a server from the attach that the client sent.
fn attach_for_server(attach: &Attach) -> Attach {
    Attach {
        snd_settle_mode: attach.snd_settle_mode,
        rcv_settle_mode: attach.rcv_settle_mode,
        source: attach.source.clone(),
        target: Some(Terminus::Target(Target::default())),
        properties: attach.properties.clone(),
        desired_capabilities: attach.desired_capabilities.clone(),
        ..Attach::default()
    }
}

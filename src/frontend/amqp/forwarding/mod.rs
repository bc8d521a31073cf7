//! Forwarding: deliveries that arrive on servers' links and go out on clients' links.
//!
//! A forwarder serves one request (a client's receiving link, established once its server attaches), or a node for
//! replies, to which several servers may send. [`Forwarding`] owns all forwarders. The handlers of clients' and servers'
//! events call it with the links that these events are about.

mod forwarder;
mod outcome;
mod table;

use super::connection_link::ConnectionLink;
use super::forwarder_id::ForwarderId;
use super::peers::Peers;
use super::replies::retry_error;
use super::servers::{ServerLink, Servers};
use crate::frontend::FrontendContext;
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use forwarder::Forwarder;
use outcome::{detached_outcome, refused_attach_outcome};
use sparbank_amqp::{condition, Attach, Error, IncomingTransfer, LinkEnd, Role, State, Target, Terminus};
use table::ForwarderTable;

/// All forwarders.
#[derive(Default)]
pub struct Forwarding {
    forwarders: ForwarderTable,
    /// Deliveries that were forwarded completely.
    forwarded: u64,
    /// Deliveries that were aborted after they were sent to the client partly.
    aborted: u64,
}

impl Forwarding {
    /// The number of forwarders.
    pub fn len(&self) -> usize {
        self.forwarders.len()
    }

    /// Deliveries that were forwarded completely.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Deliveries that were aborted after they were sent to the client partly.
    pub fn aborted(&self) -> u64 {
        self.aborted
    }

    // ---- Requests ----------------------------------------------------------------------------------

    /// Adds a forwarder for the request of a client's receiving link.
    pub fn add(&mut self, request_id: RequestId, client: ConnectionLink, attach: Box<Attach>) -> ForwarderId {
        self.forwarders.insert(Forwarder::for_request(request_id, client, attach))
    }

    /// Whether a request has a forwarder.
    pub fn has_request(&self, request_id: RequestId) -> bool {
        self.forwarders.of_request(request_id).is_some()
    }

    /// Attaches a request's forwarder to a server.
    pub fn start_attempt(&mut self, servers: &mut Servers, request_id: RequestId, server: ServerId) {
        let Some(id) = self.forwarders.of_request(request_id) else { return };
        let Some(forwarder) = self.forwarders.get(id) else { return };
        forwarder.server = Some(server);
        servers.enqueue_forwarder(server, id, Box::new(attach_for_server(&forwarder.attach)));
    }

    /// Cancels the attempt of a request's forwarder. Returns its outcome: an attach that was not sent has not run. None
    /// if the request has no forwarder.
    pub fn cancel_attempt(&mut self, servers: &mut Servers, request_id: RequestId) -> Option<Outcome> {
        let id = self.forwarders.of_request(request_id)?;
        Some(self.cancel(servers, id))
    }

    fn cancel(&mut self, servers: &mut Servers, id: ForwarderId) -> Outcome {
        let Some(forwarder) = self.forwarders.get(id) else { return Outcome::ConnectFailed };
        let server = forwarder.server.take();
        forwarder.clear_sources();
        let is_unsent = server.is_some_and(|server| servers.cancel_forwarder(server, id));
        if is_unsent {
            Outcome::ConnectFailed
        } else {
            Outcome::Timeout
        }
    }

    /// Refuses the client's link of a request that is not established.
    pub fn refuse(&mut self, peers: &mut Peers<'_>, request_id: RequestId, error: Error) {
        let Some(id) = self.forwarders.of_request(request_id) else { return };
        let Some(forwarder) = self.remove(peers.servers, id) else { return };
        let client_link = forwarder.client;
        peers.clients.remove_link(client_link);
        if let Some(client) = peers.clients.get(client_link.token) {
            client.conn.refuse_link(client_link.id, error);
        }
        peers.clients.mark_dirty(client_link.token);
    }

    /// Tells the client of an established request to come again, by detaching its link.
    pub fn migrate(&mut self, peers: &mut Peers<'_>, request_id: RequestId) {
        let Some(id) = self.forwarders.of_request(request_id) else { return };
        if let Some(forwarder) = self.remove(peers.servers, id) {
            let error = retry_error(condition::DETACH_FORCED, "moved: come again", 0);
            self.detach_client_link(peers, &forwarder, Some(error));
        }
    }

    /// These servers take no new attempts: ends those that they have not answered.
    pub fn on_servers_draining(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        stopped: &[ServerId],
    ) {
        for id in self.forwarders.unanswered_at(stopped) {
            self.on_attempt_failed(ctx, peers, id, Outcome::ConnectFailed);
        }
    }

    /// The attempt of a forwarder has ended before it was established: it may be retried.
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
        if let (Some(server), false) = (forwarder.server, forwarder.is_established) {
            servers.cancel_forwarder(server, id);
        }
        forwarder.detach_sources(servers);
        Some(forwarder)
    }

    // ---- Nodes for replies -------------------------------------------------------------------------

    /// Adds a node for replies, on a client's receiving link. Its address has to be set.
    pub fn add_reply_node(&mut self, client: ConnectionLink, attach: Box<Attach>) -> ForwarderId {
        self.forwarders.insert(Forwarder::for_replies(client, attach))
    }

    /// Sets the address at which servers attach to a node for replies.
    pub fn set_reply_address(&mut self, address: String, id: ForwarderId) {
        self.forwarders.set_reply_address(address, id);
    }

    // ---- The client's side -------------------------------------------------------------------------

    /// Sends a forwarder's client as much as its credit and its socket take, and passes its credit on to the servers.
    pub fn forward(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>, id: ForwarderId) {
        if let Some(forwarder) = self.forwarders.get(id) {
            self.forwarded += forwarder.forward(ctx, peers);
        }
    }

    /// A client's socket takes more output: its forwarders continue, in order.
    pub fn forward_all(&mut self, ctx: &FrontendContext, peers: &mut Peers<'_>, token: Token) {
        let Some(client) = peers.clients.get(token) else { return };
        for id in client.forwarders() {
            self.forward(ctx, peers, id);
        }
    }

    /// A session of a client takes more transfers: the forwarders on it continue, in order.
    pub fn on_session_window(
        &mut self,
        ctx: &FrontendContext,
        peers: &mut Peers<'_>,
        token: Token,
        channel: u16,
    ) {
        for id in self.forwarders.on_session(token, channel) {
            self.forward(ctx, peers, id);
        }
    }

    /// A client has settled a delivery. `key` is the forwarder's key for it.
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

    /// The client of a forwarder has detached its link or is gone.
    pub fn on_client_gone(&mut self, ctx: &mut FrontendContext, servers: &mut Servers, id: ForwarderId) {
        if let Some(request_id) = self.remove(servers, id).and_then(|forwarder| forwarder.request_id) {
            ctx.requests.on_client_disconnected(ctx.now, request_id);
        }
    }

    /// Ends the client's link of a forwarder that was removed. The link is detached between two deliveries: one that was
    /// sent partly is aborted.
    fn detach_client_link(&mut self, peers: &mut Peers<'_>, forwarder: &Forwarder, error: Option<Error>) {
        let link = forwarder.client;
        peers.clients.remove_link(link);
        if let Some(client) = peers.clients.get(link.token) {
            if client.conn.is_sending(link.id) {
                self.aborted += 1;
                client.conn.abort(link.id);
            }
            client.conn.detach(link.id, LinkEnd::Closed, error.map(Box::new));
        }
        peers.clients.mark_dirty(link.token);
    }

    // ---- The servers' side -------------------------------------------------------------------------

    /// A server has attached its link to a forwarder: the request is established, and the client has its answer.
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

    /// A server attaches a link by itself: it may send to a node for replies, and to nothing else.
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

    /// The node for replies that a server wants to send to.
    fn requested_reply_node(&self, role: Role, attach: &Attach) -> Option<ForwarderId> {
        match &attach.target {
            Some(Terminus::Target(target)) if role == Role::Receiver => {
                self.forwarders.at_reply_address(target.address.as_deref()?)
            }
            _ => None,
        }
    }

    /// A transfer was received from a server: it is sent to the client, or waits.
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

    /// A server has settled its delivery by itself.
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

    /// A server's connection is lost with the link that a forwarder received on.
    pub fn on_source_connection_lost(
        &mut self,
        ctx: &mut FrontendContext,
        peers: &mut Peers<'_>,
        id: ForwarderId,
    ) {
        let Some(forwarder) = self.forwarders.get(id) else { return };
        // A node for replies remains: other servers may send to it.
        let Some(request_id) = forwarder.request_id else { return };
        if !forwarder.is_established {
            return self.on_attempt_failed(ctx, peers, id, Outcome::Reset);
        }
        let error = retry_error(condition::DETACH_FORCED, "its region is lost: come again", 0);
        ctx.requests.on_attempt_ended(ctx.now, request_id, Outcome::Reset);
        self.end(peers, id, Some(error));
    }

    /// A server has detached the link that a forwarder received on.
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
        // A node for replies remains: other servers may send to it.
        let Some(request_id) = forwarder.request_id else { return };
        let condition = error.as_ref().map(|error| error.condition.as_str());
        if !forwarder.is_established {
            return self.on_attempt_failed(ctx, peers, id, refused_attach_outcome(condition));
        }
        ctx.requests.on_attempt_ended(ctx.now, request_id, detached_outcome(condition));
        self.end(peers, id, error);
    }

    /// Removes an established forwarder, whose client's link is detached with this error.
    fn end(&mut self, peers: &mut Peers<'_>, id: ForwarderId, error: Option<Error>) {
        if let Some(forwarder) = self.remove(peers.servers, id) {
            self.detach_client_link(peers, &forwarder, error);
        }
    }
}

/// The attach for a server that requests what a client requested.
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

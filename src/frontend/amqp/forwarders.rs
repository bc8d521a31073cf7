//! Forwarders: deliveries that arrive on servers' links and go out on a client's link. A forwarder serves one request
//! (a standing connection), or a node for replies, to which several servers may send.

use super::clients::Clients;
use super::deliveries::Map;
use super::forwarder::Forwarder;
use super::servers::Servers;
use crate::frontend::FrontendContext;
use crate::model::{RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{Attach, IncomingTransfer, LinkId};
use std::fmt;

/// Identifies a forwarder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ForwarderId(u64);

impl fmt::Display for ForwarderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// All forwarders.
#[derive(Default)]
pub struct Forwarders {
    by_id: Map<ForwarderId, Forwarder>,
    by_request: Map<RequestId, ForwarderId>,
    by_reply_address: Map<String, ForwarderId>,
    last_id: ForwarderId,
    /// How many deliveries were forwarded completely.
    pub forwarded: u64,
}

/// Both sides that a forwarder works between.
pub struct Peers<'a> {
    /// The clients.
    pub clients: &'a mut Clients,
    /// The servers.
    pub servers: &'a mut Servers,
}

impl Forwarders {
    /// Adds a forwarder for a client's receiving link. Without a request it is a node for replies.
    pub fn insert(
        &mut self,
        request_id: Option<RequestId>,
        client: Token,
        link: LinkId,
        attach: Box<Attach>,
    ) -> ForwarderId {
        self.last_id = ForwarderId(self.last_id.0 + 1);
        self.by_id.insert(self.last_id, Forwarder::new(request_id, client, link, attach));
        if let Some(request_id) = request_id {
            self.by_request.insert(request_id, self.last_id);
        }
        self.last_id
    }

    /// Gives a node for replies its address.
    pub fn set_reply_address(&mut self, address: String, forwarder: ForwarderId) {
        self.by_reply_address.insert(address, forwarder);
    }

    /// The forwarder of the node for replies with this address.
    pub fn at_reply_address(&self, address: &str) -> Option<ForwarderId> {
        self.by_reply_address.get(address).copied()
    }

    /// The forwarder of a request.
    pub fn of_request(&self, request_id: RequestId) -> Option<ForwarderId> {
        self.by_request.get(&request_id).copied()
    }

    /// A forwarder by its id.
    pub fn get(&mut self, forwarder: ForwarderId) -> Option<&mut Forwarder> {
        self.by_id.get_mut(&forwarder)
    }

    /// The number of forwarders.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Removes a forwarder and detaches its servers' links.
    pub fn remove(&mut self, id: ForwarderId, servers: &mut Servers) -> Option<Forwarder> {
        let forwarder = self.by_id.remove(&id)?;
        if let Some(request_id) = forwarder.request_id {
            self.by_request.remove(&request_id);
        } else {
            self.by_reply_address.retain(|_, other| *other != id);
        }
        if let (Some(server), false) = (forwarder.server, forwarder.established) {
            servers.cancel_forwarder(server, id);
        }
        forwarder.detach_sources(servers);
        Some(forwarder)
    }

    /// Cancels the attempt of a forwarder that is not established. True where nothing of it was sent.
    pub fn cancel_attempt(&mut self, id: ForwarderId, servers: &mut Servers) -> bool {
        let Some(forwarder) = self.by_id.get_mut(&id) else { return true };
        let server = forwarder.server.take();
        let unsent = server.is_some_and(|server| servers.cancel_forwarder(server, id));
        forwarder.clear_sources();
        unsent
    }

    /// The forwarders whose attach to one of these servers was not answered, in the order of their requests.
    pub fn unanswered_at(&self, servers: &[ServerId]) -> Vec<ForwarderId> {
        let mut unanswered: Vec<(RequestId, ForwarderId)> = self
            .by_id
            .iter()
            .filter(|(_, forwarder)| forwarder.is_unanswered_at(servers))
            .filter_map(|(id, forwarder)| Some((forwarder.request_id?, *id)))
            .collect();
        unanswered.sort_unstable();
        unanswered.into_iter().map(|(_, id)| id).collect()
    }

    /// Adds a server's link as a source. False where there are too many, or no such forwarder.
    pub fn add_source(&mut self, id: ForwarderId, token: Token, link: LinkId) -> bool {
        self.by_id.get_mut(&id).is_some_and(|forwarder| forwarder.add_source(token, link))
    }

    /// A transfer was received from a server: it is sent to the client, or waits.
    pub fn on_transfer(
        &mut self,
        ctx: &FrontendContext,
        id: ForwarderId,
        token: Token,
        link: LinkId,
        transfer: IncomingTransfer<'_>,
        mut peers: Peers,
    ) {
        let Some(forwarder) = self.by_id.get_mut(&id) else { return };
        if forwarder.push_transfer(token, link, transfer, &mut peers) {
            self.forwarded += forwarder.forward(ctx, peers);
        }
    }

    /// Sends the client as much as its credit and its socket take, and passes its credit on to the servers.
    pub fn forward(&mut self, ctx: &FrontendContext, id: ForwarderId, peers: Peers) {
        if let Some(forwarder) = self.by_id.get_mut(&id) {
            self.forwarded += forwarder.forward(ctx, peers);
        }
    }

    /// The forwarders whose client's link is on this session, in order.
    pub fn on_session(&self, client: Token, channel: u16) -> Vec<ForwarderId> {
        let is_on = |forwarder: &Forwarder| forwarder.client == client && forwarder.link.channel == channel;
        let on_session = self.by_id.iter().filter(|(_, forwarder)| is_on(forwarder));
        let mut ids: Vec<ForwarderId> = on_session.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

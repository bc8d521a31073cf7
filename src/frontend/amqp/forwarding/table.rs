//! The table of forwarders, indexed by id, by request and by reply address.

use super::forwarder::Forwarder;
use crate::frontend::amqp::fast_map::FastHashMap;
use crate::frontend::amqp::forwarder_id::ForwarderId;
use crate::model::{RequestId, ServerId};
use crate::net::Token;

/// All forwarders, indexed by id, by request and by reply address.
#[derive(Default)]
pub struct ForwarderTable {
    by_id: FastHashMap<ForwarderId, Forwarder>,
    by_request: FastHashMap<RequestId, ForwarderId>,
    by_reply_address: FastHashMap<String, ForwarderId>,
    last_id: ForwarderId,
}

impl ForwarderTable {
    /// Adds a forwarder and returns its new id.
    pub fn insert(&mut self, forwarder: Forwarder) -> ForwarderId {
        self.last_id = self.last_id.next();
        if let Some(request_id) = forwarder.request_id {
            self.by_request.insert(request_id, self.last_id);
        }
        self.by_id.insert(self.last_id, forwarder);
        self.last_id
    }

    /// Removes a forwarder from all indices and returns it.
    pub fn remove(&mut self, id: ForwarderId) -> Option<Forwarder> {
        let forwarder = self.by_id.remove(&id)?;
        match forwarder.request_id {
            Some(request_id) => drop(self.by_request.remove(&request_id)),
            None => self.by_reply_address.retain(|_, other| *other != id),
        }
        Some(forwarder)
    }

    /// Returns the forwarder with this id.
    pub fn get(&mut self, id: ForwarderId) -> Option<&mut Forwarder> {
        self.by_id.get_mut(&id)
    }

    /// Returns the id of a request's forwarder.
    pub fn find_by_request(&self, request_id: RequestId) -> Option<ForwarderId> {
        self.by_request.get(&request_id).copied()
    }

    /// Sets the address of a reply node.
    pub fn set_reply_address(&mut self, address: String, id: ForwarderId) {
        self.by_reply_address.insert(address, id);
    }

    /// Returns the id of the reply node with this address.
    pub fn find_by_reply_address(&self, address: &str) -> Option<ForwarderId> {
        self.by_reply_address.get(address).copied()
    }

    /// Returns the forwarders whose attach to one of these servers was not sent, in the order of their requests.
    pub fn unsent_at(&self, servers: &[ServerId]) -> Vec<ForwarderId> {
        let mut unsent: Vec<(RequestId, ForwarderId)> = self
            .by_id
            .iter()
            .filter(|(_, forwarder)| forwarder.is_unsent_at(servers))
            .filter_map(|(id, forwarder)| Some((forwarder.request_id?, *id)))
            .collect();
        unsent.sort_unstable();
        unsent.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the forwarders whose client's link is on this session, in the order of their ids.
    pub fn find_by_session(&self, client: Token, channel: u16) -> Vec<ForwarderId> {
        let is_on = |forwarder: &Forwarder| {
            forwarder.client.token == client && forwarder.client.id.channel == channel
        };
        let on_session = self.by_id.iter().filter(|(_, forwarder)| is_on(forwarder));
        let mut ids: Vec<ForwarderId> = on_session.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// The current number of forwarders.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }
}

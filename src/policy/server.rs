//! The balancer's state of a server, and the set of all servers.

use crate::model::{Endpoint, ListKind, RequestId, ServerAttributes, ServerId, Status};
use crate::resilience::{InFlight, ServerHealth};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;

/// One server. Handovers between program versions carry the serialized form: its names must not change.
#[derive(Default, Deserialize, Serialize)]
pub(super) struct Server {
    #[serde(flatten)]
    pub attributes: ServerAttributes,
    #[serde(skip)]
    status: Status,
    #[serde(skip)]
    pub in_flight: InFlight,
    #[serde(flatten)]
    pub health: ServerHealth,
}

impl Server {
    fn update(&mut self, endpoint: &Endpoint, kind: ListKind) {
        if endpoint.started_at != self.attributes.started_at {
            self.health.on_restarted();
        }
        self.health.on_listed(kind);
        self.attributes = ServerAttributes::from(endpoint);
        self.status = endpoint.status;
    }
}

/// All servers that have ever been listed, indexed by id.
#[derive(Default)]
pub(super) struct ServerSet {
    servers: Vec<Server>,
    serving: Vec<ServerId>,
    /// Sum of the nominal capacities of the serving servers.
    total_nominal: f64,
    in_flight: u32,
}

impl ServerSet {
    /// Returns a server that has been listed. Panics if it has not.
    pub fn get(&self, server: ServerId) -> &Server {
        &self.servers[server.index()]
    }

    pub fn find(&self, server: ServerId) -> Option<&Server> {
        self.servers.get(server.index())
    }

    pub fn health_mut(&mut self, server: ServerId) -> Option<&mut ServerHealth> {
        self.servers.get_mut(server.index()).map(|server| &mut server.health)
    }

    /// The serving servers, ordered by id.
    pub fn serving(&self) -> &[ServerId] {
        &self.serving
    }

    pub fn total_nominal(&self) -> f64 {
        self.total_nominal
    }

    /// Number of this node's attempts and connections at all servers.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Applies an endpoint list from the cache or from discovery.
    pub fn apply_list(&mut self, kind: ListKind, endpoints: &[Endpoint]) {
        if matches!(kind, ListKind::Saved | ListKind::Full) {
            self.servers.iter_mut().for_each(|server| server.status = Status::Removed);
        }
        self.servers.iter_mut().for_each(|server| server.health.confirm());
        for endpoint in endpoints {
            let index = endpoint.server.index();
            self.servers.resize_with(self.servers.len().max(index + 1), Server::default);
            self.servers[index].update(endpoint, kind);
        }
        let servers = self.servers.iter().enumerate();
        let serving = servers.filter(|(_, server)| server.status == Status::Serving);
        self.serving = serving.map(|(index, _)| ServerId(index as u32)).collect();
        self.total_nominal = self.serving.iter().map(|server| self.get(*server).attributes.nominal).sum();
    }

    /// Adds an attempt or connection at a server.
    pub fn add_in_flight(&mut self, server: ServerId, id: RequestId, group: Option<u64>, now: MonotonicTime) {
        if let Some(server) = self.servers.get_mut(server.index()) {
            server.in_flight.insert(id, group);
            server.health.on_sent(now);
            self.in_flight += 1;
        }
    }

    /// Removes an attempt or connection that has ended at a server.
    pub fn remove_in_flight(&mut self, server: ServerId, id: RequestId, group: Option<u64>) {
        let server = self.servers.get_mut(server.index());
        if server.is_some_and(|server| server.in_flight.remove(id, group)) {
            self.in_flight -= 1;
        }
    }

    pub fn forget(&mut self, ids: Vec<ServerId>) -> Vec<ServerId> {
        let is_unused = |server: &Server| server.status == Status::Removed && server.in_flight.is_empty();
        let unused: Vec<_> = ids.into_iter().filter(|id| self.find(*id).is_some_and(is_unused)).collect();
        unused.iter().for_each(|id| self.servers[id.index()] = Server::default());
        unused
    }

    /// Returns the state that a handover transfers.
    pub fn snapshot(&self) -> &[Server] {
        &self.servers
    }

    /// Restores the state of those servers that are listed here too, and ignores the others.
    pub fn restore(&mut self, servers: Vec<Server>) {
        for restored in servers {
            let key = |server: &Server| (server.attributes.name_hash, server.attributes.started_at);
            if let Some(listed) = self.servers.iter_mut().find(|listed| key(listed) == key(&restored)) {
                *listed = Server { status: listed.status, ..restored };
            }
        }
    }
}

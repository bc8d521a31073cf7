//! Entries of the endpoint list.

use super::ServerId;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// Accepts new requests.
    Serving,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// Removed from the list, or never in it.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Hash of the server's name; the same at every node.
    pub name_hash: u64,
    /// The zone of the server.
    pub zone: u32,
    /// The cell of the server, within its zone.
    pub cell: u32,
    /// Capacity relative to other servers. Zero, negative and non-finite values count as one.
    pub nominal: f64,
    /// When the server's process last started; zero means long ago.
    pub started_at: MonotonicTime,
    /// The state of the server.
    pub status: Status,
}

/// What an endpoint list says of a server, apart from its state. A handover transfers the serialized form to other
/// versions of this program: its names are fixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerAttributes {
    /// Hash of the server's name; the same at every node.
    #[serde(rename = "tag")]
    pub name_hash: u64,
    /// The zone of the server.
    pub zone: u32,
    /// The cell of the server, within its zone.
    pub cell: u32,
    /// Capacity relative to other servers; positive and finite.
    pub nominal: f64,
    /// When the server's process last started; zero means long ago.
    #[serde(rename = "born")]
    pub started_at: MonotonicTime,
}

/// Where a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: u32,
    /// The cell within the zone.
    pub cell: u32,
}

impl ServerAttributes {
    /// Where the server is.
    pub fn location(&self) -> Location {
        Location { zone: self.zone, cell: self.cell }
    }
}

impl From<&Endpoint> for ServerAttributes {
    fn from(endpoint: &Endpoint) -> ServerAttributes {
        let is_valid = endpoint.nominal.is_finite() && endpoint.nominal > 0.0;
        ServerAttributes {
            name_hash: endpoint.name_hash,
            zone: endpoint.zone,
            cell: endpoint.cell,
            nominal: if is_valid { endpoint.nominal } else { 1.0 },
            started_at: endpoint.started_at,
        }
    }
}

/// What kind of endpoint list an [`Event::EndpointList`](super::Event::EndpointList) carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// A complete list from this node's cache, perhaps stale.
    Saved,
    /// A complete list from discovery: servers that are absent have been removed.
    Full,
    /// Changed entries only.
    Incremental,
    /// A poll failed or the watch ended: no entries; the last list stays in force.
    Failed,
}

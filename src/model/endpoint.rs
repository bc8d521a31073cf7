//! Entries of the endpoint list.

use super::ServerId;
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// The server is in the list and accepts new requests.
    Serving,
    /// The server completes its requests in flight and accepts no new ones.
    Draining,
    /// The server was removed from the list, or was never in it.
    #[default]
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The id that the node assigned to the server.
    pub server: ServerId,
    /// Hash of the server's name; the same at every node.
    pub name_hash: u64,
    /// The zone of the server.
    pub zone: u32,
    /// The cell of the server within its zone.
    pub cell: u32,
    /// Capacity relative to other servers. Zero, negative and non-finite values count as one.
    pub nominal: f64,
    /// When the server's process last started; zero means long ago.
    pub started_at: MonotonicTime,
    /// The state of the server.
    pub status: Status,
}

/// The attributes of a server in the endpoint list, without its state. Handovers between program versions carry the
/// serialized form: its names must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerAttributes {
    /// Hash of the server's name; the same at every node.
    #[serde(rename = "tag")]
    pub name_hash: u64,
    /// The zone of the server.
    pub zone: u32,
    /// The cell of the server within its zone.
    pub cell: u32,
    /// Capacity relative to other servers; positive and finite.
    pub nominal: f64,
    /// When the server's process last started; zero means long ago.
    #[serde(rename = "born")]
    pub started_at: MonotonicTime,
}

/// The location of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The zone, numbered as in [`Settings::zone`](super::Settings::zone).
    pub zone: u32,
    /// The cell within the zone.
    pub cell: u32,
}

impl ServerAttributes {
    /// The location of the server.
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

/// The kind of endpoint list in an [`Event::EndpointList`](super::Event::EndpointList).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// A complete list from this node's cache; it may be stale.
    Saved,
    /// A complete list from discovery: servers that it does not contain have been removed.
    Full,
    /// The entries that have changed; all other servers keep their state.
    Incremental,
    /// A poll failed or the watch ended. There are no entries; the last list remains valid.
    Failed,
}

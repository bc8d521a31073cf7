//! The documents of the discovery service.
//!
//! The same form is used on the discovery service's wire, in the `known` list of `NODE_CONFIG` and in the state that
//! one process hands over to the next, so the field names are fixed. So are the `expecting` texts: the errors of
//! `NODE_CONFIG` print them.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list of endpoints: a complete one, or the entries that changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(expecting = "struct List")]
pub struct EndpointListDocument {
    /// Version of the list; it rises with every change.
    pub generation: u64,
    /// Whether the list is complete: an endpoint that it does not name is gone.
    #[serde(default, rename = "reset")]
    pub is_complete: bool,
    /// The endpoints, in the order in which the discovery service names them.
    #[serde(rename = "instances")]
    pub endpoints: Vec<EndpointDocument>,
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase", expecting = "struct Entry")]
pub struct EndpointDocument {
    /// The endpoint's name; it stays the same over restarts.
    #[serde(rename = "instanceId")]
    pub name: String,
    /// Where it accepts connections.
    #[serde(rename = "hostPort")]
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(default)]
    pub zone: String,
    /// Number of its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new connections.
    pub lifecycle: EndpointLifecycle,
    /// Its size compared with that of the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Unix time at which its process started, in milliseconds; zero is long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of an endpoint as the discovery service reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", expecting = "enum Lifecycle")]
pub enum EndpointLifecycle {
    /// Takes new connections.
    Ready,
    /// Serves what it has and takes nothing new.
    Draining,
    /// Has been removed.
    Gone,
}

fn default_weight() -> f64 {
    1.0
}

//! The documents of the discovery service.
//!
//! The same form is used on the discovery service's wire, in the `known` list of `NODE_CONFIG` and in the state that
//! one process hands over to the next, so the serde names are fixed.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A list of endpoints: a complete one, or the entries that changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointListDocument {
    /// Version of the list; it is incremented with every change.
    pub generation: u64,
    /// Whether the list is complete: an absent endpoint is gone.
    #[serde(default, rename = "reset")]
    pub is_complete: bool,
    /// The endpoints, in the order of the discovery service.
    #[serde(rename = "instances")]
    pub endpoints: Vec<EndpointDocument>,
}

/// What a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints: one that is absent is gone.
    Complete,
    /// The endpoints that changed.
    Changes,
}

impl EndpointListDocument {
    /// What the list contains, as the discovery service says.
    pub fn scope(&self) -> ListScope {
        if self.is_complete {
            ListScope::Complete
        } else {
            ListScope::Changes
        }
    }
}

/// One endpoint of a list.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointDocument {
    /// The endpoint's name; a restart does not change it.
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
    /// Whether it accepts new connections.
    pub lifecycle: EndpointLifecycle,
    /// Its size compared with that of the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Wall-clock time at which its process started, in Unix milliseconds; zero is long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of an endpoint as the discovery service reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointLifecycle {
    /// Accepts new connections.
    Ready,
    /// Serves its established connections and accepts no new ones.
    Draining,
    /// Has been removed.
    Gone,
}

fn default_weight() -> f64 {
    1.0
}

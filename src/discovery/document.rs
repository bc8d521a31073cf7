//! The JSON documents of the discovery service.
//!
//! The same format is used in the service's responses, in the `known` list of `NODE_CONFIG` and in the state that a
//! process hands over to its successor, so the serde names are fixed.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// An endpoint list: either all endpoints or only those that changed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointListDocument {
    /// Version of the list, which increases with every change.
    pub generation: u64,
    /// Whether the list is complete, so that an endpoint not in it has been removed.
    #[serde(default, rename = "reset")]
    pub is_complete: bool,
    /// The endpoints, in the order in which the discovery service lists them.
    #[serde(rename = "instances")]
    pub endpoints: Vec<EndpointDocument>,
}

/// Which endpoints a list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All endpoints; one that is not in the list has been removed.
    Complete,
    /// Only the endpoints that changed.
    Changes,
}

impl EndpointListDocument {
    /// Returns which endpoints the list contains according to the discovery service.
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
    /// The endpoint's name, which is the same after a restart.
    #[serde(rename = "instanceId")]
    pub name: String,
    /// Address at which the endpoint accepts connections.
    #[serde(rename = "hostPort")]
    pub address: SocketAddr,
    /// Name of the endpoint's zone; empty if the service reports none.
    #[serde(default)]
    pub zone: String,
    /// Number of the endpoint's cell; 0 if the service reports none.
    #[serde(default)]
    pub cell: u32,
    /// Whether the endpoint accepts new connections.
    pub lifecycle: EndpointLifecycle,
    /// Capacity of the endpoint relative to the others; 1 if the service reports none.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Wall-clock time at which the endpoint's process started, in Unix milliseconds. Zero means long ago.
    #[serde(default)]
    pub started_at_ms: u64,
}

/// State of an endpoint as the discovery service reports it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointLifecycle {
    /// The endpoint accepts new connections.
    Ready,
    /// The endpoint serves its established connections and accepts no new ones.
    Draining,
    /// The discovery service has removed the endpoint.
    Gone,
}

fn default_weight() -> f64 {
    1.0
}

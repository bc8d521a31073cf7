//! The endpoint list that discovery sends, and the server states in it that the auditor needs.

use crate::watch_protocol::{list_json, ListKind};

/// The state of a server in an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// Number of the server.
    pub server: usize,
    /// Whether the server accepts new requests.
    pub is_ready: bool,
}

/// An endpoint list as sent on a watch.
#[derive(Clone)]
pub struct EndpointList {
    /// Generation of the list.
    pub generation: u64,
    /// Whether the list contains all servers, rather than only those that have changed.
    pub is_complete: bool,
    /// The servers in the list.
    pub endpoints: Vec<ListedEndpoint>,
    /// JSON entry of each endpoint, in the same order.
    entries: Vec<String>,
}

impl EndpointList {
    /// Creates a list without JSON entries, which `push` adds; tests of the auditor need none.
    pub fn new(generation: u64, is_complete: bool, endpoints: Vec<ListedEndpoint>) -> EndpointList {
        EndpointList { generation, is_complete, endpoints, entries: Vec::new() }
    }

    /// Encodes the list as JSON.
    pub fn json(&self) -> String {
        let kind = if self.is_complete { ListKind::Complete } else { ListKind::Incremental };
        list_json(self.generation, kind, &self.entries.join(","))
    }

    /// Adds an endpoint and its JSON entry.
    pub(super) fn push(&mut self, endpoint: ListedEndpoint, entry: String) {
        self.endpoints.push(endpoint);
        self.entries.push(entry);
    }
}

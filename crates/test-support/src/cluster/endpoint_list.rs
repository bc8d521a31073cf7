//! The endpoint list that discovery sends, and what it says for the auditor.

use crate::watch_protocol::{list_json, ListKind};

/// A server that a list names.
#[derive(Clone, Copy, Debug)]
pub struct NamedEndpoint {
    /// Its number.
    pub server: usize,
    /// Whether it takes anything new.
    pub is_ready: bool,
}

/// A list as a watch writes it.
#[derive(Clone)]
pub struct EndpointList {
    /// Its version.
    pub generation: u64,
    /// Whether it names all servers, or those that have changed.
    pub is_complete: bool,
    /// The servers that it names.
    pub endpoints: Vec<NamedEndpoint>,
    /// JSON of each endpoint.
    documents: Vec<String>,
}

impl EndpointList {
    /// One without documents, for the auditor.
    pub fn naming(generation: u64, is_complete: bool, endpoints: Vec<NamedEndpoint>) -> EndpointList {
        EndpointList { generation, is_complete, endpoints, documents: Vec::new() }
    }

    /// The list as it is written.
    pub fn json(&self) -> String {
        let kind = if self.is_complete { ListKind::Complete } else { ListKind::Incremental };
        list_json(self.generation, kind, &self.documents.join(","))
    }

    /// Adds an endpoint with its entry.
    pub(super) fn push(&mut self, endpoint: NamedEndpoint, document: String) {
        self.endpoints.push(endpoint);
        self.documents.push(document);
    }
}

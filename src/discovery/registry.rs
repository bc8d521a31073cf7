//! The endpoint registry: what is known of each endpoint, by the id under which the balancer knows it.

use super::document::{EndpointDocument, EndpointLifecycle, EndpointListDocument, ListScope};
use super::wall_clock::WallClock;
use crate::model::{Endpoint, Event, ListKind, ServerId, Status};
use sparbank_time::{DurationExt, MonotonicTime, WallTime};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The earliest start that is not taken for "long ago".
const EARLIEST_START: MonotonicTime = MonotonicTime::from_nanos(1);

/// What is known of an endpoint.
pub struct RegistryEntry {
    document: EndpointDocument,
    /// When its process started, on the node's clock; zero is long ago.
    started_at: MonotonicTime,
}

impl RegistryEntry {
    /// The discovery service's name for it.
    pub fn name(&self) -> &str {
        &self.document.name
    }

    /// Where it accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.document.address
    }

    /// Whether it accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.document.lifecycle == EndpointLifecycle::Ready
    }
}

/// All endpoints that the discovery service has ever named to this node.
pub struct EndpointRegistry {
    zones: Vec<String>,
    /// The clock on which discovery reports when servers started.
    wall_clock: WallClock,
    /// The node's clock when the wall clock was last read.
    now: MonotonicTime,
    generation: u64,
    /// By [`ServerId`]; an endpoint that is gone keeps its place.
    entries: Vec<RegistryEntry>,
    ids: HashMap<String, ServerId>,
    /// Lists so far with an older generation than the current one.
    stale_lists: u64,
    /// The generation of the previous source, after discovery has moved to another address and until that has sent its
    /// first complete list.
    previous_generation: Option<u64>,
}

impl EndpointRegistry {
    /// An empty registry for a node that knows these zones, with the node's clock and the wall clock as they are now.
    pub fn new(zones: Vec<String>, now: MonotonicTime, wall: WallTime) -> EndpointRegistry {
        EndpointRegistry {
            zones,
            wall_clock: WallClock::new(now, wall),
            now,
            generation: 0,
            entries: Vec::new(),
            ids: HashMap::new(),
            stale_lists: 0,
            previous_generation: None,
        }
    }

    /// Detects a step of the wall clock. To be called before each list is applied, and periodically.
    pub fn observe_clocks(&mut self, now: MonotonicTime, wall: WallTime) {
        self.now = now;
        self.wall_clock.observe(now, wall);
    }

    /// Starts again with the clock of another process, which the node's clock now continues.
    pub fn reset_clocks(&mut self, now: MonotonicTime, wall: WallTime) {
        self.now = now;
        self.wall_clock = WallClock::new(now, wall);
    }

    /// An endpoint by its id.
    pub fn entry(&self, server: ServerId) -> Option<&RegistryEntry> {
        self.entries.get(server.0 as usize)
    }

    /// The id of an endpoint by the discovery service's name for it.
    pub fn id_of(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Lists so far with an older generation than the current one.
    pub fn stale_lists(&self) -> u64 {
        self.stale_lists
    }

    /// The endpoints that accept nothing new.
    pub fn not_ready(&self) -> Vec<ServerId> {
        let ids = (0..self.entries.len()).map(|index| ServerId(index as u32));
        ids.filter(|id| !self.entries[id.0 as usize].is_ready()).collect()
    }

    /// Generation of the newest list from the current source; zero before the first one.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies the list of the node's configuration, which may be stale.
    pub fn restore(&mut self, list: &EndpointListDocument) -> Event {
        Event::EndpointList(ListKind::Saved, self.apply(list, ListScope::Complete))
    }

    /// All that is known, as a complete list.
    pub fn snapshot(&self) -> EndpointListDocument {
        let endpoints = self.entries.iter().map(|entry| entry.document.clone()).collect();
        EndpointListDocument { generation: self.generation, is_complete: true, endpoints }
    }

    /// Prepares for lists from another source, whose generations may be lower than those so far.
    pub fn expect_other_source(&mut self) {
        self.previous_generation = Some(self.generation.max(self.previous_generation.unwrap_or(0)));
        self.generation = 0;
    }

    /// Applies a list, and returns the endpoints that it changes. A list with an older generation than the current one
    /// removes nothing, and does not revive processes that are known to have stopped.
    pub fn apply(&mut self, list: &EndpointListDocument, scope: ListScope) -> Vec<Endpoint> {
        let is_complete = scope == ListScope::Complete;
        // The first complete list from another source may be older than the last one of the previous source: it resets
        // the generation, and revives nothing either.
        let previous_generation =
            if is_complete { self.previous_generation.take() } else { self.previous_generation };
        let is_older_than_previous = list.generation < previous_generation.unwrap_or(0);
        let goes_back = list.generation < self.generation;
        let is_stale = goes_back || is_older_than_previous;
        if is_stale {
            self.stale_lists += 1;
            tracing::warn!(
                version = list.generation,
                current_version = self.generation,
                "endpoint list is older than the current one"
            );
        }
        self.generation = self.generation.max(list.generation);
        trace_endpoints(list);
        let is_relevant = |document: &&EndpointDocument| !(is_stale && self.has_stopped(document));
        let changed: Vec<EndpointDocument> = list.endpoints.iter().filter(is_relevant).cloned().collect();
        if is_complete && !goes_back {
            for entry in &mut self.entries {
                entry.document.lifecycle = EndpointLifecycle::Gone;
            }
        }
        changed.into_iter().map(|document| self.insert(document)).collect()
    }

    /// Whether the process that a document describes is known to have stopped, or a later one is known.
    fn has_stopped(&self, document: &EndpointDocument) -> bool {
        let Some(entry) = self.id_of(&document.name).and_then(|id| self.entry(id)) else { return false };
        let known_start = entry.document.started_at_ms;
        let is_same_process = known_start == document.started_at_ms;
        known_start > document.started_at_ms || (is_same_process && !entry.is_ready())
    }

    fn insert(&mut self, document: EndpointDocument) -> Endpoint {
        let server = self.id_of(&document.name).unwrap_or(ServerId(self.entries.len() as u32));
        let started_at = self.started_at(server, document.started_at_ms);
        let endpoint = self.endpoint(server, &document, started_at);
        let entry = RegistryEntry { document, started_at };
        match self.entries.get_mut(server.0 as usize) {
            Some(known) => *known = entry,
            None => {
                self.ids.insert(entry.document.name.clone(), server);
                self.entries.push(entry);
            }
        }
        endpoint
    }

    /// When a server's process started, on the node's clock. It is computed once for each process: later steps of the
    /// wall clock do not change it. Zero stays long ago.
    fn started_at(&self, server: ServerId, started_at_ms: u64) -> MonotonicTime {
        let known = self.entry(server).filter(|entry| entry.document.started_at_ms == started_at_ms);
        match known {
            _ if started_at_ms == 0 => MonotonicTime::ZERO,
            Some(entry) => entry.started_at,
            None => {
                let since_epoch = Duration::from_millis(started_at_ms);
                let started_at = WallTime::from_unix_nanos(since_epoch.as_nanos_u64());
                self.wall_clock.to_monotonic(started_at, self.now).max(EARLIEST_START)
            }
        }
    }

    fn endpoint(&self, server: ServerId, document: &EndpointDocument, started_at: MonotonicTime) -> Endpoint {
        let zone = self.zones.iter().position(|zone| *zone == document.zone).unwrap_or(self.zones.len());
        Endpoint {
            server,
            name_hash: crate::hash::fnv1a(&document.name),
            zone: zone as u32,
            cell: document.cell,
            nominal: document.weight,
            started_at,
            status: match document.lifecycle {
                EndpointLifecycle::Ready => Status::Serving,
                EndpointLifecycle::Draining => Status::Draining,
                EndpointLifecycle::Gone => Status::Removed,
            },
        }
    }
}

fn trace_endpoints(list: &EndpointListDocument) {
    for document in &list.endpoints {
        tracing::trace!(
            server = %document.name,
            zone = %document.zone,
            lifecycle = ?document.lifecycle,
            weight = %document.weight,
            started_ms = document.started_at_ms,
            "endpoint"
        );
    }
}

#[cfg(test)]
mod tests;

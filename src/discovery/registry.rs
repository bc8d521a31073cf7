//! The endpoint registry: the last known state of each endpoint, and the ids that the balancer uses for them.

use super::document::{EndpointDocument, EndpointLifecycle, EndpointListDocument, ListScope};
use super::wall_clock::WallClockOffsets;
use crate::model::{Endpoint, Event, ListKind, ServerId, Status};
use sparbank_time::{DurationExt, MonotonicTime, WallTime};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

/// The earliest start time; zero is reserved for "long ago".
const EARLIEST_START: MonotonicTime = MonotonicTime::from_nanos(1);

/// How long a removed endpoint is remembered: a list from before its removal must not mark it as ready, and if it
/// returns, it keeps its id.
const REMOVED_RETENTION: Duration = Duration::from_secs(3_600);
/// Number of removed endpoints above which those that were removed first are forgotten earlier.
const MAX_REMOVED_ENDPOINTS: usize = 4_096;

/// The last known state of an endpoint.
pub struct RegistryEntry {
    document: EndpointDocument,
    /// When the endpoint's process started, on the node's clock. Zero means long ago.
    started_at: MonotonicTime,
    /// When the endpoint was removed from the list, on the node's clock.
    removed_at: Option<MonotonicTime>,
}

impl RegistryEntry {
    /// Returns the endpoint's name in the discovery service.
    pub fn name(&self) -> &str {
        &self.document.name
    }

    /// Returns the address at which the endpoint accepts connections.
    pub fn address(&self) -> SocketAddr {
        self.document.address
    }

    /// Returns whether the endpoint accepts new connections.
    pub fn is_ready(&self) -> bool {
        self.document.lifecycle == EndpointLifecycle::Ready
    }

    fn remove(&mut self, now: MonotonicTime) {
        self.document.lifecycle = EndpointLifecycle::Gone;
        self.removed_at.get_or_insert(now);
    }
}

/// The endpoints that the discovery service lists, and those that it has removed recently.
pub struct EndpointRegistry {
    zones: Vec<String>,
    /// Converts the server start times that discovery reports, which are wall-clock times.
    wall_clock: WallClockOffsets,
    /// The node's clock when the wall clock was last read.
    now: MonotonicTime,
    generation: u64,
    /// Indexed by [`ServerId`]. A removed endpoint keeps its entry until it is forgotten, which leaves `None`.
    entries: Vec<Option<RegistryEntry>>,
    ids: HashMap<String, ServerId>,
    /// The ids of forgotten endpoints, which are reused for new ones.
    vacant_ids: BTreeSet<ServerId>,
    /// Number of lists with an older generation than the current one.
    stale_lists: u64,
    /// The last generation of the previous source. Set when discovery moves to another address, until the first
    /// complete list from that address has been applied.
    previous_source_generation: Option<u64>,
}

impl EndpointRegistry {
    /// Creates an empty registry. `zones` are the zone names of the settings; `now` and `wall` are the current times of
    /// the node's clock and the wall clock.
    pub fn new(zones: Vec<String>, now: MonotonicTime, wall: WallTime) -> EndpointRegistry {
        EndpointRegistry {
            zones,
            wall_clock: WallClockOffsets::new(now, wall),
            now,
            generation: 0,
            entries: Vec::new(),
            ids: HashMap::new(),
            vacant_ids: BTreeSet::new(),
            stale_lists: 0,
            previous_source_generation: None,
        }
    }

    /// Detects a step of the wall clock. Call it periodically and before each list is applied.
    pub fn observe_clocks(&mut self, now: MonotonicTime, wall: WallTime) {
        self.now = now;
        self.wall_clock.observe(now, wall);
    }

    /// Discards the recorded clock offsets, after the node's clock has been set to continue that of the predecessor.
    pub fn reset_clocks(&mut self, now: MonotonicTime, wall: WallTime) {
        self.now = now;
        self.wall_clock = WallClockOffsets::new(now, wall);
    }

    /// Returns an endpoint by its id.
    pub fn entry(&self, server: ServerId) -> Option<&RegistryEntry> {
        self.entries.get(server.0 as usize)?.as_ref()
    }

    /// Iterates over the known endpoints in the order of their ids.
    fn known(&self) -> impl Iterator<Item = (ServerId, &RegistryEntry)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, entry)| Some((ServerId(index as u32), entry.as_ref()?)))
    }

    /// Returns the id of an endpoint by its name in the discovery service.
    pub fn id_of(&self, name: &str) -> Option<ServerId> {
        self.ids.get(name).copied()
    }

    /// Returns the number of lists with an older generation than the current one.
    pub fn stale_lists(&self) -> u64 {
        self.stale_lists
    }

    /// Returns the number of endpoints that are listed or remembered.
    pub fn known_count(&self) -> usize {
        self.ids.len()
    }

    /// Returns the endpoints that do not accept new connections.
    pub fn not_ready(&self) -> Vec<ServerId> {
        self.known().filter(|(_, entry)| !entry.is_ready()).map(|(server, _)| server).collect()
    }

    /// Returns the endpoints that need not be remembered any more: those that were removed long ago and, while there are
    /// very many removed ones, those that were removed first.
    pub fn forgettable(&self) -> Vec<ServerId> {
        let removal = |(server, entry): (ServerId, &RegistryEntry)| Some((entry.removed_at?, server));
        let mut removed: Vec<(MonotonicTime, ServerId)> = self.known().filter_map(removal).collect();
        removed.sort_unstable();
        let excess = removed.len().saturating_sub(MAX_REMOVED_ENDPOINTS);
        let is_expired = |at: MonotonicTime| self.now.saturating_duration_since(at) > REMOVED_RETENTION;
        let forgettable =
            removed.iter().enumerate().filter(|(index, (at, _))| *index < excess || is_expired(*at));
        forgettable.map(|(_, (_, server))| *server).collect()
    }

    /// Forgets endpoints, whose ids are then reused. The caller makes sure that nothing refers to them.
    pub fn forget(&mut self, servers: &[ServerId]) {
        for server in servers {
            let forgotten = self.entries.get_mut(server.0 as usize).and_then(Option::take);
            if let Some(entry) = forgotten {
                self.ids.remove(&entry.document.name);
                self.vacant_ids.insert(*server);
            }
        }
    }

    /// Returns the generation of the newest list from the current source, or zero before the first one.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies the list from the node's configuration, which may be out of date.
    pub fn restore(&mut self, list: &EndpointListDocument) -> Event {
        Event::EndpointList(ListKind::Saved, self.apply(list, ListScope::Complete))
    }

    /// Returns all known endpoints as a complete list.
    pub fn snapshot(&self) -> EndpointListDocument {
        let endpoints = self.known().map(|(_, entry)| entry.document.clone()).collect();
        EndpointListDocument { generation: self.generation, is_complete: true, endpoints }
    }

    /// Prepares for lists from a new source, whose generations may be lower than those of the previous source.
    pub fn prepare_for_new_source(&mut self) {
        self.previous_source_generation =
            Some(self.generation.max(self.previous_source_generation.unwrap_or(0)));
        self.generation = 0;
    }

    /// Applies a list and returns the endpoints that it changes. A list with an older generation than the current one
    /// removes no endpoint and does not mark a process that is known to have stopped as ready again.
    pub fn apply(&mut self, list: &EndpointListDocument, scope: ListScope) -> Vec<Endpoint> {
        let is_complete = scope == ListScope::Complete;
        // The first complete list from a new source may be older than the last one from the previous source. It sets
        // the generation, but does not mark stopped processes as ready either.
        let previous_source_generation = if is_complete {
            self.previous_source_generation.take()
        } else {
            self.previous_source_generation
        };
        let is_older_than_previous_source = list.generation < previous_source_generation.unwrap_or(0);
        let is_older_than_current = list.generation < self.generation;
        let is_stale = is_older_than_current || is_older_than_previous_source;
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
        if is_complete && !is_older_than_current {
            for entry in self.entries.iter_mut().flatten() {
                entry.remove(self.now);
            }
        }
        changed.into_iter().map(|document| self.insert(document)).collect()
    }

    /// Returns whether the process that a document describes is known to have stopped or to have been replaced by a
    /// later one.
    fn has_stopped(&self, document: &EndpointDocument) -> bool {
        let Some(entry) = self.id_of(&document.name).and_then(|id| self.entry(id)) else { return false };
        let known_start = entry.document.started_at_ms;
        let is_same_process = known_start == document.started_at_ms;
        known_start > document.started_at_ms || (is_same_process && !entry.is_ready())
    }

    fn insert(&mut self, document: EndpointDocument) -> Endpoint {
        let server = self.id_of(&document.name).unwrap_or_else(|| self.assign_id(&document.name));
        let started_at = self.started_at(server, document.started_at_ms);
        let endpoint = self.endpoint(server, &document, started_at);
        let removed_at = match document.lifecycle {
            EndpointLifecycle::Gone => {
                Some(self.entry(server).and_then(|known| known.removed_at).unwrap_or(self.now))
            }
            EndpointLifecycle::Ready | EndpointLifecycle::Draining => None,
        };
        self.entries[server.0 as usize] = Some(RegistryEntry { document, started_at, removed_at });
        endpoint
    }

    /// Assigns the id of a forgotten endpoint to a new one, or else a new id.
    fn assign_id(&mut self, name: &str) -> ServerId {
        let server = self.vacant_ids.pop_first().unwrap_or_else(|| {
            self.entries.push(None);
            ServerId((self.entries.len() - 1) as u32)
        });
        self.ids.insert(name.to_string(), server);
        server
    }

    /// Converts a server's start time to the node's clock. The result is computed once for each process, so later steps
    /// of the wall clock do not change it. Zero ("long ago") stays zero.
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

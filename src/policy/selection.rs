//! Server selection: the least loaded of a few candidates, which are drawn by weighted rendezvous hashing.

use super::request::Request;
use super::server::{Server, ServerSet};
use crate::model::{ServerId, Settings};
use crate::random::{mix64, unit_interval};
use crate::resilience::{deduplicates, rendezvous_rank, FillTarget, LowestRanks, Ranked, SlowStart};
use sparbank_time::MonotonicTime;

/// Servers compared for one attempt.
const MAX_CANDIDATES: usize = 3;
/// The cost of each group at a server, in usual connections of this node there.
const GROUP_COST: f64 = 0.15;
/// The cost of a server in another zone, in usual connections of this node there. The more load all servers
/// have, the less it counts, so that a zone under load sends requests to the others.
const CROSS_ZONE_COST: f64 = 0.6;

/// What the selection depends on.
pub(super) struct Selection<'a> {
    pub now: MonotonicTime,
    pub settings: &'a Settings,
    pub servers: &'a ServerSet,
    pub slow_start: &'a SlowStart,
    pub fill: FillTarget,
    /// This node's usual number of connections at a server.
    pub usual_connections: f64,
    /// The node's own random number.
    pub salt: u64,
}

impl Selection<'_> {
    /// The server for the request's next attempt; `None` if no server can take it now.
    pub fn select(&self, request: &Request) -> Option<ServerId> {
        let candidates = self.draw_candidates(request).into_entries().into_iter();
        let scored = candidates.map(|candidate| (self.load_score(request, &candidate), candidate.item));
        scored.reduce(|best, next| if next.0 < best.0 { next } else { best }).map(|(_, server)| server)
    }

    /// The server that most likely has the connection of a rerouted request: the one that its key ranks first
    /// among those that are warm. A wrong guess is an attempt like any other.
    pub fn likely_holder(&self, request: &Request) -> Option<ServerId> {
        let is_warm = |id: &&ServerId| self.capacity_factor(self.servers.get(**id)) >= 1.0;
        let rank = |id: &ServerId| candidate_rank(request, self.servers.get(*id));
        let warm = self.servers.serving().iter().filter(is_warm);
        warm.min_by(|a, b| rank(a).total_cmp(&rank(b))).copied()
    }

    fn draw_candidates(&self, request: &Request) -> LowestRanks<ServerId> {
        let eligible = self.eligible_servers(request);
        let total_nominal: f64 = eligible.iter().map(|id| self.servers.get(*id).attributes.nominal).sum();
        let is_admitted = |id: &ServerId| !self.slow_start_defers(request, *id, total_nominal);
        let mut admitted: Vec<ServerId> = eligible.into_iter().filter(is_admitted).collect();
        // A request that falls to a server that is warming up goes there, however loaded the others are.
        keep_preferred(&mut admitted, |id| self.capacity_factor(self.servers.get(*id)) < 1.0);
        let mut candidates = LowestRanks::new(MAX_CANDIDATES);
        for id in admitted {
            candidates.insert(candidate_rank(request, self.servers.get(id)), id);
        }
        candidates
    }

    /// The servers that may take the request. Unconfirmed ones with an attempt in flight only if all are.
    fn eligible_servers(&self, request: &Request) -> Vec<ServerId> {
        let may_take = |id: &&ServerId| {
            let server = self.servers.get(**id);
            server.health.is_available(self.now)
                && self.is_retry_safe(request, server)
                && !request.attempts.has_tried(**id)
        };
        let mut eligible: Vec<ServerId> = self.servers.serving().iter().filter(may_take).copied().collect();
        keep_preferred(&mut eligible, |id| {
            let server = self.servers.get(*id);
            server.health.admits_another(server.in_flight.len())
        });
        eligible
    }

    /// Rule 2: after a possible run only servers that discard a retry may take the request.
    fn is_retry_safe(&self, request: &Request, server: &Server) -> bool {
        let Some(run) = request.attempts.first_possible_run() else { return true };
        let Some(first) = self.servers.find(run.server) else { return false };
        let class = &self.settings.classes[request.class];
        deduplicates(class, first.attributes.location(), server.attributes.location())
    }

    fn capacity_factor(&self, server: &Server) -> f64 {
        self.slow_start.capacity_factor(self.now, server.attributes.started_at)
    }

    /// Rule 4: a server in slow start takes only its admissible fraction of the requests, however few others
    /// there are and however much or little this node has there.
    fn slow_start_defers(&self, request: &Request, id: ServerId, total_nominal: f64) -> bool {
        let server = self.servers.get(id);
        let capacity_factor = self.capacity_factor(server);
        // While warming up it is up to twice as likely, by the seed: groups gather at few such servers too.
        let bias = 2.0 * unit_interval(mix64(request.candidate_seed ^ server.attributes.name_hash));
        let weight = if capacity_factor < 1.0 { bias * server.attributes.nominal } else { total_nominal };
        let ramp = server.health.ramp(capacity_factor, server.attributes.nominal);
        let admissible = self.slow_start.admissible_fraction(self.now, &ramp, &self.fill);
        let roll = mix64(mix64(request.slow_start_roll ^ server.attributes.name_hash) ^ self.salt);
        unit_interval(roll) >= admissible * weight
    }

    /// The load of a candidate for its capacity, as if it had the request. The rank counts for the request
    /// itself: where this node has few connections it decides, so that nodes together spread by capacity.
    fn load_score(&self, request: &Request, candidate: &Ranked<ServerId>) -> f64 {
        let server = self.servers.get(candidate.item);
        let groups = server.in_flight.groups_with(request.group) as f64;
        let zone_cost = if server.attributes.zone == self.settings.zone { 0.0 } else { CROSS_ZONE_COST };
        // What a server has reset was more than it can take, and counts as in flight for a while.
        let connections = server.in_flight.len() as f64 + server.health.recent_resets(self.now);
        let extra = self.usual_connections * (zone_cost + GROUP_COST * groups);
        (connections + extra) / server.attributes.nominal + candidate.rank
    }
}

fn candidate_rank(request: &Request, server: &Server) -> f64 {
    rendezvous_rank(request.candidate_seed, server.attributes.name_hash, server.attributes.nominal)
}

/// Removes the other items if any is preferred.
fn keep_preferred<T>(items: &mut Vec<T>, is_preferred: impl Fn(&T) -> bool) {
    if items.iter().any(&is_preferred) {
        items.retain(is_preferred);
    }
}

//! Server selection: the least loaded of a few candidates, drawn by weighted rendezvous hashing.

use super::request::Request;
use super::server::{Server, ServerSet};
use crate::model::{ServerId, Settings};
use crate::random::{mix64, unit_interval};
use crate::resilience::{deduplicates, rendezvous_rank, retain_preferred};
use crate::resilience::{FillTarget, LowestRanks, SlowStart};
use sparbank_time::MonotonicTime;

/// Number of servers compared for one attempt.
const MAX_CANDIDATES: usize = 3;
/// Load of each group at a server, as a multiple of this node's usual connections per server.
const GROUP_COST: f64 = 0.15;
/// Load added to a server in another zone, in the unit of [`GROUP_COST`]. Its influence decreases as the
/// load of all servers grows, so that a zone under load sends requests to other zones.
const CROSS_ZONE_COST: f64 = 0.6;

/// The inputs of a server selection.
pub(super) struct Selection<'a> {
    pub now: MonotonicTime,
    pub settings: &'a Settings,
    pub servers: &'a ServerSet,
    pub slow_start: &'a SlowStart,
    pub fill: FillTarget,
    /// This node's usual number of connections per server.
    pub usual_connections: f64,
    /// Random number of this node, so that nodes do not make the same slow-start decisions.
    pub salt: u64,
}

impl Selection<'_> {
    /// Returns the server for the request's next attempt, or `None` if no server is available now.
    pub fn select(&self, request: &Request) -> Option<ServerId> {
        let candidates = self.draw_candidates(request).into_entries().into_iter();
        let scored = candidates.map(|entry| (self.load_score(request, entry.rank, entry.item), entry.item));
        scored.reduce(|best, next| if next.0 < best.0 { next } else { best }).map(|(_, server)| server)
    }

    /// Returns the server that probably has the connection of a rerouted request: of the servers that are not
    /// warming up, the first in the rank order of the request's key. A wrong guess costs an ordinary attempt.
    pub fn probable_current_server(&self, request: &Request) -> Option<ServerId> {
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
        // Servers that are warming up and admit the request take precedence, whatever the load of the others.
        retain_preferred(&mut admitted, |id| self.capacity_factor(self.servers.get(*id)) < 1.0);
        let rank = |id: &ServerId| candidate_rank(request, self.servers.get(*id));
        LowestRanks::collect(MAX_CANDIDATES, admitted, rank)
    }

    /// The servers that may take the request. Unconfirmed ones with an attempt in flight are a last resort.
    fn eligible_servers(&self, request: &Request) -> Vec<ServerId> {
        let may_take = |id: &&ServerId| {
            let server = self.servers.get(**id);
            server.health.is_available(self.now)
                && self.is_retry_safe(request, server)
                && !request.attempts.has_tried(**id)
        };
        let mut eligible: Vec<ServerId> = self.servers.serving().iter().filter(may_take).copied().collect();
        retain_preferred(&mut eligible, |id| {
            let server = self.servers.get(*id);
            server.health.admits_another(server.in_flight.len())
        });
        eligible
    }

    /// Once an attempt may have run, only servers that discard a duplicate may take the request.
    fn is_retry_safe(&self, request: &Request, server: &Server) -> bool {
        let Some(run) = request.attempts.first_possible_run() else { return true };
        let Some(first) = self.servers.find(run.server) else { return false };
        let class = &self.settings.classes[request.class];
        deduplicates(class, first.attributes.location(), server.attributes.location())
    }

    fn capacity_factor(&self, server: &Server) -> f64 {
        self.slow_start.capacity_factor(self.now, server.attributes.started_at)
    }

    /// A server in slow start takes only its admissible fraction of the requests, regardless of the
    /// number of other servers and of this node's connections to it.
    fn slow_start_defers(&self, request: &Request, id: ServerId, total_nominal: f64) -> bool {
        let server = self.servers.get(id);
        let capacity_factor = self.capacity_factor(server);
        // While warming up, the seed scales the fraction by 0 to 2, so that a group stays at few servers.
        let bias = 2.0 * unit_interval(mix64(request.candidate_seed ^ server.attributes.name_hash));
        let weight = if capacity_factor < 1.0 { bias * server.attributes.nominal } else { total_nominal };
        let ramp = server.health.ramp(capacity_factor, server.attributes.nominal);
        let admissible = self.slow_start.admissible_fraction(self.now, &ramp, &self.fill);
        let random = mix64(mix64(request.slow_start_random ^ server.attributes.name_hash) ^ self.salt);
        unit_interval(random) >= admissible * weight
    }

    /// The load of a candidate relative to its capacity, including the request. The rank stands for the
    /// request: with few connections it decides, so that all nodes together spread load by capacity.
    fn load_score(&self, request: &Request, rank: f64, id: ServerId) -> f64 {
        let server = self.servers.get(id);
        let groups = server.in_flight.groups_with(request.group) as f64;
        let zone_cost = if server.attributes.zone == self.settings.zone { 0.0 } else { CROSS_ZONE_COST };
        // A reset shows that the server is over capacity; the connection counts as in flight for a while.
        let connections = server.in_flight.len() as f64 + server.health.recent_resets(self.now);
        let extra = self.usual_connections * (zone_cost + GROUP_COST * groups);
        (connections + extra) / server.attributes.nominal + rank
    }
}

fn candidate_rank(request: &Request, server: &Server) -> f64 {
    rendezvous_rank(request.candidate_seed, server.attributes.name_hash, server.attributes.nominal)
}

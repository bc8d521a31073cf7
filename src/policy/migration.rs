//! Migration of connections away from servers with high message latency.

use super::request::{Phase, Request, Requests};
use super::server::ServerSet;
use crate::model::{Action, RequestId, ServerId, Settings};
use crate::random::{mix64, Rng};
use crate::resilience::{connection_value, least_valuable, Connection, LatencyResponse};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The balancer state that a migration reads and changes.
pub(super) struct Migration<'a> {
    pub now: MonotonicTime,
    pub settings: &'a Settings,
    pub servers: &'a mut ServerSet,
    pub requests: &'a mut Requests,
    pub rng: &'a mut Rng,
    pub actions: &'a mut Vec<Action>,
}

impl Migration<'_> {
    pub fn on_latency_report(&mut self, server: ServerId, latency: Duration) {
        let Some(health) = self.servers.health_mut(server) else { return };
        match health.on_latency_report(self.settings, self.now, latency) {
            LatencyResponse::None => {}
            LatencyResponse::CheckHealth => self.actions.push(Action::HealthCheck(server)),
            LatencyResponse::Migrate(fraction) => self.migrate(server, fraction),
        }
    }

    pub fn on_health_check(&mut self, server: ServerId, utilization: Option<f64>) {
        let health = self.servers.health_mut(server);
        if let Some(fraction) = health.and_then(|health| health.on_health_check(utilization)) {
            self.migrate(server, fraction);
        }
    }

    /// Migrates this fraction of a server's connections, starting with the least valuable.
    fn migrate(&mut self, server: ServerId, fraction: f64) {
        let random = self.rng.next_u64();
        let in_flight = self.servers.get(server).in_flight.ids();
        let connections = in_flight.filter_map(|id| self.connection(id, self.requests.get(&id)?));
        for id in least_valuable(connections.collect(), fraction, random) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.is_closing = true;
                self.actions.push(Action::Migrate(id));
            }
        }
    }

    /// Returns the request's connection if it is established and may be migrated.
    fn connection(&self, id: RequestId, request: &Request) -> Option<Connection> {
        if request.phase != Phase::Established || request.is_closing {
            return None;
        }
        let weight = self.settings.classes[request.class].priority_weight;
        let value = connection_value(weight, request.cost, self.settings.weight_basis);
        Some(Connection { id, value, tie_breaker: mix64(id.0 ^ self.now.as_nanos()) })
    }
}

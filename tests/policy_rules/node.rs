//! A node under test, and functions that read its actions.

use crate::common::{arrival, serving_endpoints, settings, MILLIS, START};
use sparbank::model::{Action, Endpoint, Event, ListKind, Outcome, RequestId, ServerId, Settings};
use sparbank::Balancer;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Endpoints in the node's own zone: server selection counts the cost of crossing zones.
pub fn same_zone_endpoints(servers: u32) -> Vec<Endpoint> {
    serving_endpoints(servers)
        .into_iter()
        .map(|endpoint| Endpoint { zone: settings().zone, ..endpoint })
        .collect()
}

/// A balancer and its clock.
pub struct Node {
    pub balancer: Balancer,
    pub now: MonotonicTime,
}

impl Node {
    /// A node that starts with these endpoints from its cached list.
    pub fn new(seed: u64, settings: Settings, endpoints: Vec<Endpoint>) -> Node {
        let balancer = Balancer::new(seed, settings).expect("valid settings");
        let mut node = Node { balancer, now: START };
        node.handle(Event::EndpointList(ListKind::Saved, endpoints));
        node
    }

    /// Handles an event at the current time. Returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// A new client's request of this class arrives.
    pub fn request(&mut self, id: u64, class: usize) -> Vec<Action> {
        self.handle(Event::Request(arrival(id, class)))
    }

    /// An attempt ends; after [`Outcome::Ok`] no retry follows.
    pub fn end_attempt(&mut self, id: u64, server: ServerId, outcome: Outcome) -> Vec<Action> {
        let done = outcome == Outcome::Ok;
        self.handle(Event::AttemptEnded { id: RequestId(id), server, outcome, done })
    }

    /// An attempt succeeds within 20 ms.
    pub fn establish(&mut self, id: u64, server: ServerId) {
        self.handle(Event::Established { id: RequestId(id), server, setup_time: 20 * MILLIS });
    }

    /// Advances the clock to the timer that these actions set. Returns the actions that result.
    pub fn elapse_timer(&mut self, actions: &[Action]) -> Vec<Action> {
        let (after, token) = requested_timer(actions).expect("a timer was set");
        self.now += after;
        self.handle(Event::Timer(token))
    }
}

/// The first timer that these actions set: its delay and its token.
pub fn requested_timer(actions: &[Action]) -> Option<(Duration, u64)> {
    actions.iter().find_map(|a| match a {
        Action::SetTimer { after, token } => Some((*after, *token)),
        _ => None,
    })
}

/// The server of the first attempt among these actions.
pub fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

/// A hundred nodes in a fleet whose quotas allow ten new connections per second and 500 connections.
pub fn large_fleet_settings() -> Settings {
    Settings { instances: 100, quota_setups_per_second: 10.0, quota_connections: 500.0, ..settings() }
}

//! A large fleet, in which each node has few connections: pacing and spreading.

use crate::common::{arrival, serving_endpoints, MILLIS, SECOND};
use crate::node::{attempted_server, large_fleet_settings, same_zone_endpoints, Node};
use sparbank::model::{Action, Arrival, Endpoint, Event, Outcome, ServerId};
use sparbank_time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Runs one node until all its requests have ended, where each attempt times out after `failure_delay` or earlier, by
/// its own time-out. Returns the start times of the attempts.
fn attempt_times(node: &mut Node, requests: Vec<Arrival>, failure_delay: Duration) -> Vec<MonotonicTime> {
    let mut due: BinaryHeap<Reverse<(MonotonicTime, u64, u32)>> = BinaryHeap::new();
    let mut sent = Vec::new();
    let mut schedule = |actions: Vec<Action>, now: MonotonicTime, due: &mut BinaryHeap<_>| {
        for action in actions {
            match action {
                Action::SetTimer { after, token } => due.push(Reverse((now + after, token, u32::MAX))),
                Action::StartAttempt { id, server, timeout, .. } => {
                    sent.push(now);
                    due.push(Reverse((now + failure_delay.min(timeout), id.0, server.0)));
                }
                _ => {}
            }
        }
    };
    for request in requests {
        let actions = node.handle(Event::Request(request));
        schedule(actions, node.now, &mut due);
    }
    while let Some(Reverse((at, id, server))) = due.pop() {
        node.now = node.now.max(at);
        let actions = match server {
            u32::MAX => node.handle(Event::Timer(id)),
            server => node.end_attempt(id, ServerId(server), Outcome::Timeout),
        };
        schedule(actions, node.now, &mut due);
    }
    sent
}

/// Regression: the clients of a failed zone reconnected to all nodes within 150 ms, each attempt timed out at a store
/// that all servers share, and the few retries of each node added up to 130 per second there. A reconnect waits for
/// one Full Jitter backoff and is admitted if no other is in flight at its node; a throttled node paces reconnects
/// and retries by its share of the fleet's rate.
#[test]
fn a_hundred_nodes_spread_the_connection_setups_of_a_reconnect_storm() {
    let mut sent = Vec::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large_fleet_settings(), serving_endpoints(10));
        let reconnect = |id| Arrival { reconnect: true, time_left: 1200 * MILLIS, ..arrival(id, 0) };
        let start = node.now;
        sent.extend(
            attempt_times(&mut node, (1..=6).map(reconnect).collect(), 400 * MILLIS)
                .into_iter()
                .map(|t| t.saturating_duration_since(start)),
        );
    }
    sent.sort_unstable();
    let max_within = |span: Duration| {
        sent.iter().map(|t| sent.iter().filter(|u| (*t..*t + span).contains(*u)).count()).max()
    };
    // Each node starts with a window of one, so 100 attempts may be in flight at once, each for a third of the
    // deadline.
    assert!(sent.len() <= 320, "too many attempts, retries must be paced: {}", sent.len());
    assert!(max_within(SECOND / 4) <= Some(100), "{:?} in a quarter of a second", max_within(SECOND / 4));
}

#[test]
fn new_connections_of_a_large_fleet_are_not_paced() {
    for seed in 0..50 {
        let mut node = Node::new(seed, large_fleet_settings(), serving_endpoints(10));
        let first = attempted_server(&node.request(1, 0)).expect("it starts at once");
        node.end_attempt(1, first, Outcome::Timeout);
        assert!(attempted_server(&node.request(2, 0)).is_some(), "one failure must not pace new connections");
    }
}

/// Regression: with one connection or none at each server, all nodes selected the largest servers of their zone, and
/// the at_small_servers ones got nothing.
#[test]
fn nodes_without_connections_spread_by_capacity() {
    let sized =
        |endpoint: Endpoint| Endpoint { nominal: if endpoint.server.0 < 2 { 2.0 } else { 4.0 }, ..endpoint };
    let endpoints: Vec<_> = same_zone_endpoints(4).into_iter().map(sized).collect();
    let mut at_small_servers = 0;
    for seed in 0..300 {
        let mut node = Node::new(seed, large_fleet_settings(), endpoints.clone());
        let request = Arrival { key: Some(seed * 7919), ..arrival(1, 0) };
        at_small_servers +=
            usize::from(attempted_server(&node.handle(Event::Request(request))).is_some_and(|s| s.0 < 2));
    }
    assert!(
        (50..150).contains(&at_small_servers),
        "{at_small_servers} of 300 at the servers with a third of the total capacity"
    );
}

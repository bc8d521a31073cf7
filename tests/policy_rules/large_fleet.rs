//! A large fleet, in which each node has few connections: pacing and spreading.

use crate::common::{arrival, serving_endpoints, MILLIS, SECOND};
use crate::node::{attempted_server, large_fleet_settings, same_zone_endpoints, Node};
use sparbank::model::{Action, Arrival, Endpoint, Event, Outcome, ServerId};
use sparbank_time::MonotonicTime;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Runs one node until all its requests are over, where each attempt times out after `time_to_fail`. Returns the
/// times at which attempts were started.
fn attempt_times(node: &mut Node, requests: Vec<Arrival>, time_to_fail: Duration) -> Vec<MonotonicTime> {
    let mut due: BinaryHeap<Reverse<(MonotonicTime, u64, u32)>> = BinaryHeap::new();
    let mut sent = Vec::new();
    let mut schedule = |actions: Vec<Action>, now: MonotonicTime, due: &mut BinaryHeap<_>| {
        for action in actions {
            match action {
                Action::SetTimer { after, token } => due.push(Reverse((now + after, token, u32::MAX))),
                Action::StartAttempt { id, server, timeout, .. } => {
                    sent.push(now);
                    due.push(Reverse((now + time_to_fail.min(timeout), id.0, server.0)));
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
/// that all servers share, and the retries of all nodes, few at each, added up to 130 per second there.
/// A reconnect waits one Full Jitter backoff and is admitted if no other is in flight at its node; a node that is
/// throttled paces reconnects and retries by its share of the fleet's rate.
#[test]
fn a_hundred_nodes_spread_the_set_ups_of_a_reconnect_storm() {
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
    let most = |span: Duration| {
        sent.iter().map(|t| sent.iter().filter(|u| (*t..*t + span).contains(*u)).count()).max()
    };
    // With a window of one at a start, 100 may be in flight at once, each for a third of what a client waits.
    assert!(sent.len() <= 320, "retries of a failure are paced: {}", sent.len());
    assert!(most(SECOND / 4) <= Some(100), "{:?} in a quarter of a second", most(SECOND / 4));
}

#[test]
fn new_connections_of_a_large_fleet_are_not_paced() {
    for seed in 0..50 {
        let mut node = Node::new(seed, large_fleet_settings(), serving_endpoints(10));
        let first = attempted_server(&node.request(1, 0)).expect("at once");
        node.end_attempt(1, first, Outcome::Timeout);
        assert!(attempted_server(&node.request(2, 0)).is_some(), "one failure paces no new connection");
    }
}

/// Regression: with a connection or none at each server, all nodes took the largest servers
/// of their zone, and the small ones got nothing.
#[test]
fn nodes_without_connections_spread_by_capacity() {
    let sized = |m: Endpoint| Endpoint { nominal: if m.server.0 < 2 { 2.0 } else { 4.0 }, ..m };
    let endpoints: Vec<_> = same_zone_endpoints(4).into_iter().map(sized).collect();
    let mut small = 0;
    for seed in 0..300 {
        let mut node = Node::new(seed, large_fleet_settings(), endpoints.clone());
        let request = Arrival { key: Some(seed * 7919), ..arrival(1, 0) };
        small +=
            usize::from(attempted_server(&node.handle(Event::Request(request))).is_some_and(|s| s.0 < 2));
    }
    assert!((50..150).contains(&small), "{small} of 300 at a third of the size");
}

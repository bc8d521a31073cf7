//! A large fleet, in which each node has few connections: servers that are warming up.

use crate::common::{arrival, LONG_AGO, MILLIS, SECOND};
use crate::node::{attempted_server, large_fleet_settings, same_zone_endpoints, Node};
use sparbank::model::{Arrival, Endpoint, Event, ListKind, ServerId, Settings};
use std::collections::BTreeMap;
use std::time::Duration;

/// Regression: five of nine servers had just started and together got one connection per second, while the others
/// reset the connections that they got.
#[test]
fn servers_in_slow_start_get_what_they_admit_in_a_large_fleet_and_no_more() {
    let (mut starting, mut other) = (0, 0);
    for seed in 0..100 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, same_zone_endpoints(5));
        let now = node.now;
        let started_at = |endpoint: Endpoint| Endpoint {
            started_at: if endpoint.server.0 < 3 { now - 3 * SECOND } else { LONG_AGO },
            ..endpoint
        };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(5).into_iter().map(started_at).collect(),
        ));
        // Two seconds at twice the rate of the quotas: 40 placements by all nodes together.
        if seed % 5 < 2 {
            node.now += Duration::from_millis(seed * 20);
            match attempted_server(&node.request(seed + 1, 0)).expect("placed").0 {
                0..3 => starting += 1,
                _ => other += 1,
            }
        }
    }
    // Each server has a quota of a fifth of 500 connections after 23 s, and takes twice that. At a quarter of its
    // capacity, times the overload multiple of 3, it admits 12 in 2 s.
    assert!(
        (6..40).contains(&starting) && other >= 4,
        "{starting} to the three starting servers, {other} to the others"
    );
}

/// Regression: the clients of two zones reconnected to all nodes at once, several to each, and a server in slow start
/// got 27 connections in 2 s, which overloaded it. Each request was weighted by the arrival rate before it, so the
/// first requests of a burst brought the server twice what it admits.
#[test]
fn a_burst_at_all_nodes_brings_a_server_in_slow_start_no_more_than_it_admits() {
    let (mut starting, mut first) = (0, 0);
    for seed in 0..100 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, same_zone_endpoints(5));
        let now = node.now;
        let started_at = |endpoint: Endpoint| Endpoint {
            started_at: if endpoint.server.0 == 0 { now - 3 * SECOND } else { LONG_AGO },
            ..endpoint
        };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(5).into_iter().map(started_at).collect(),
        ));
        // After two seconds without requests, every node gets eight in half a second.
        node.now += 2 * SECOND;
        for id in 1..=8 {
            node.now += 60 * MILLIS;
            let server = attempted_server(&node.request(id, 0)).expect("placed");
            first += u32::from(server.0 == 0 && id == 1);
            starting += u32::from(server.0 == 0);
        }
    }
    // Each server has a quota of a fifth of 500 connections after 23 s, and takes twice that: at a third of its
    // capacity, times the overload multiple of 3, it admits 8 per second, so about 21 here. The bounds leave a margin
    // for chance.
    assert!((10..45).contains(&starting), "{starting} in half a second, {first} of them as first requests");
    assert!(
        starting < first + 20,
        "{starting}, {first} of them as first requests: the rest of a burst must be limited by its duration"
    );
}

/// Each server in slow start gets its share of all requests, but two groups prefer different ones of these servers.
#[test]
fn groups_prefer_different_servers_in_slow_start() {
    let mut placed: BTreeMap<(u64, ServerId), f64> = BTreeMap::new();
    for seed in 0..1500 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, Vec::new());
        let now = node.now;
        let started_at = |endpoint: Endpoint| Endpoint {
            started_at: if endpoint.server.0 < 6 { now - 3 * SECOND } else { LONG_AGO },
            ..endpoint
        };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(12).into_iter().map(started_at).collect(),
        ));
        node.now += 2 * SECOND;
        let request = Arrival { group: Some(seed % 2), key: Some(seed * 7919), ..arrival(1, 0) };
        let server = attempted_server(&node.handle(Event::Request(request))).expect("placed");
        *placed.entry((seed % 2, server)).or_default() += 1.0;
    }
    let count = |group, server| placed.get(&(group, ServerId(server))).copied().unwrap_or(0.0);
    let starting: f64 = (0..6).map(|s| count(0, s) + count(1, s)).sum();
    let difference: f64 = (0..6).map(|s| (count(0, s) - count(1, s)).abs()).sum();
    assert!(
        starting > 200.0 && difference > starting * 0.3,
        "{starting} to starting servers, the groups differ by {difference}: {placed:?}"
    );
}

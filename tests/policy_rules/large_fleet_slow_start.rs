//! Many nodes, each of which sees little: servers that are warming up.

use crate::common::{
    arrival, attempted_server, large_fleet_settings, same_zone_endpoints, Node, MILLIS, SECOND,
};
use sparbank::vocabulary::{Arrival, Endpoint, Event, ListKind, ServerId, Settings};
use std::collections::BTreeMap;

/// Found on a day of the large fleet: five of nine servers were new and got one connection a second
/// together, while the old ones shed what they were sent.
#[test]
fn servers_in_slow_start_get_what_they_admit_of_a_thin_fleet_and_no_more() {
    let (mut cold, mut other) = (0, 0);
    for seed in 0..100 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, same_zone_endpoints(5));
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 < 3 { now - 3 * SECOND } else { 0 }, ..m };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(5).into_iter().map(started_at).collect(),
        ));
        // Two seconds at twice the rate of the shares: 40 placements of all nodes.
        if seed % 5 < 2 {
            node.now += seed * 20 * MILLIS;
            match attempted_server(&node.request(seed + 1, 0)).expect("placed").0 {
                0..3 => cold += 1,
                _ => other += 1,
            }
        }
    }
    // Each may hold a fifth of 500 after 23 s, and bears twice that. At a quarter of its capacity, three
    // times as fast: 12 in 2 s.
    assert!((6..40).contains(&cold) && other >= 4, "{cold} to three cold ones, {other} to others");
}

/// Found on a day of the standing test: what two halls shed came to all nodes at once, several requests to each,
/// and a cold server got 27 connections in 2 s, which pushed it over. Each request was weighed by how often
/// they had come until then, so a crowd's first ones brought it twice what it bears.
#[test]
fn a_burst_at_all_nodes_brings_a_server_in_slow_start_no_more_than_the_time_allows() {
    let (mut cold, mut first) = (0, 0);
    for seed in 0..100 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, same_zone_endpoints(5));
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 == 0 { now - 3 * SECOND } else { 0 }, ..m };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(5).into_iter().map(started_at).collect(),
        ));
        // Every node comes back from a quiet 2 s to eight requests in half a second.
        node.now += 2 * SECOND;
        for id in 1..=8 {
            node.now += 60 * MILLIS;
            let server = attempted_server(&node.request(id, 0)).expect("placed");
            first += u32::from(server.0 == 0 && id == 1);
            cold += u32::from(server.0 == 0);
        }
    }
    // Each server may hold a fifth of 500 after 23 s, and bears twice that: at a third of its capacity, three
    // times as fast, it bears 8 a second, so some 21 of what came; with the room that chance needs.
    assert!((10..45).contains(&cold), "{cold} in half a second after a quiet two, {first} of them the first");
    assert!(
        cold < first + 20,
        "{cold}, {first} of them the first: a crowd's others bring what its time allows"
    );
}

/// The same at cold servers, each of which gets its part of all: two groups lean to different ones.
#[test]
fn groups_prefer_different_servers_in_slow_start() {
    let mut held: BTreeMap<(u64, ServerId), f64> = BTreeMap::new();
    for seed in 0..1500 {
        let slow =
            Settings { slow_start_floor: 0.12, slow_start_duration: 23 * SECOND, ..large_fleet_settings() };
        let mut node = Node::new(seed, slow, Vec::new());
        let now = node.now;
        let started_at =
            |m: Endpoint| Endpoint { started_at: if m.server.0 < 6 { now - 3 * SECOND } else { 0 }, ..m };
        node.handle(Event::EndpointList(
            ListKind::Full,
            same_zone_endpoints(12).into_iter().map(started_at).collect(),
        ));
        node.now += 2 * SECOND;
        let one = Arrival { group: Some(seed % 2), key: Some(seed * 7919), ..arrival(1, 0) };
        let server = attempted_server(&node.handle(Event::Request(one))).expect("placed");
        *held.entry((seed % 2, server)).or_default() += 1.0;
    }
    let of = |group, server| held.get(&(group, ServerId(server))).copied().unwrap_or(0.0);
    let cold: f64 = (0..6).map(|s| of(0, s) + of(1, s)).sum();
    let apart: f64 = (0..6).map(|s| (of(0, s) - of(1, s)).abs()).sum();
    assert!(cold > 200.0 && apart > cold * 0.3, "{cold} to cold ones, {apart} apart: {held:?}");
}

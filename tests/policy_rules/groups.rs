//! Requests of a group are concentrated at few servers.

use crate::common::{arrival, settings};
use crate::node::{attempted_server, large_fleet_settings, same_zone_endpoints, Node};
use sparbank::model::{Arrival, Event, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// Regression: in a large fleet no node has enough connections to find out which servers serve a group, and every
/// server ended up serving every group. Each group of which a server serves any request adds a fixed load to it.
#[test]
fn nodes_with_few_connections_concentrate_a_group_without_coordination() {
    let mut placed: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large_fleet_settings(), same_zone_endpoints(12));
        let request = Arrival { key: Some(seed * 7919), group: Some(7), ..arrival(1, 0) };
        *placed
            .entry(attempted_server(&node.handle(Event::Request(request))).expect("placed"))
            .or_default() += 1;
    }
    assert!(placed.len() <= 3, "100 requests of one group on twelve servers: {placed:?}");
}

/// Each group of which a server serves any request adds the load of three connections to it, once: requests of a
/// group go to a server that already serves it, unless that server has too much other load.
#[test]
fn a_group_is_concentrated_and_different_groups_spread() {
    let mut node = Node::new(1, settings(), same_zone_endpoints(3));
    let mut place = |id, group| {
        let request = Arrival { group: Some(group), ..arrival(id, 0) };
        attempted_server(&node.handle(Event::Request(request))).expect("placed")
    };
    let group_servers: Vec<_> = (0..3).map(|id| place(id, id)).collect();
    let servers: BTreeSet<_> = group_servers.iter().collect();
    assert_eq!(servers.len(), 3, "three groups, three servers");
    assert_eq!([place(3, 1), place(4, 1)], [group_servers[1]; 2], "at the server of the group");
    let more: Vec<_> = (5..30).map(|id| place(id, 1)).collect();
    assert!(more.iter().any(|server| *server != group_servers[1]), "the concentration is limited");
}

/// Regression, with 3 nodes and 10 to 15 servers, where each group adds three mean loads to a server that serves it:
/// a node with many connections drew candidates by the request alone, and every server ended up serving the group. A
/// group has the same candidates at every node, regardless of the node's connections.
#[test]
fn a_group_stays_at_few_servers_regardless_of_a_nodes_connections() {
    let mut node = Node::new(5, settings(), same_zone_endpoints(12));
    for id in 0..120 {
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        node.establish(id, server);
    }
    let mut servers = BTreeSet::new();
    for id in 200..240 {
        let request = Arrival { group: Some(7), key: Some(id * 7919), ..arrival(id, 0) };
        let server = attempted_server(&node.handle(Event::Request(request))).expect("placed");
        node.establish(id, server);
        servers.insert(server);
    }
    assert!(servers.len() <= 3, "40 requests of one group at {} of 12 servers: {servers:?}", servers.len());
}

//! Requests of a group gather at few servers.

use crate::common::{arrival, settings};
use crate::node::{attempted_server, large_fleet_settings, same_zone_endpoints, Node};
use sparbank::model::{Arrival, Event, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// Regression: in a large fleet no node has enough connections to know where a group is, and in the end every server
/// paid for every group. A server pays for each group of which it serves any request.
#[test]
fn nodes_that_see_little_gather_a_group_without_coordination() {
    let mut placed: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large_fleet_settings(), same_zone_endpoints(12));
        let request = Arrival { key: Some(seed * 7919), group: Some(7), ..arrival(1, 0) };
        *placed
            .entry(attempted_server(&node.handle(Event::Request(request))).expect("placed"))
            .or_default() += 1;
    }
    assert!(placed.len() <= 3, "{placed:?}: 100 of one group on twelve servers");
}

/// A server pays once for each group of which it serves any request, as much as for three connections: requests
/// of a group go where one is already, unless that server has too much other load.
#[test]
fn a_group_gathers_and_different_groups_spread() {
    let mut node = Node::new(1, settings(), same_zone_endpoints(3));
    let mut place = |id, group| {
        let request = Arrival { group: Some(group), ..arrival(id, 0) };
        attempted_server(&node.handle(Event::Request(request))).expect("placed")
    };
    let groups: Vec<_> = (0..3).map(|id| place(id, id)).collect();
    let servers: BTreeSet<_> = groups.iter().collect();
    assert_eq!(servers.len(), 3, "three groups, three servers");
    assert_eq!([place(3, 1), place(4, 1)], [groups[1]; 2], "where the group is");
    let more: Vec<_> = (5..30).map(|id| place(id, 1)).collect();
    assert!(more.iter().any(|server| *server != groups[1]), "not without limit");
}

/// Regression (3 nodes, 10 to 15 servers, each server pays 3 mean loads for each group that it serves): a node with many connections drew candidates by the request alone, and in the end every server paid for
/// the group. A group has the same candidates at every node, whatever connections the node has.
#[test]
fn a_group_keeps_to_its_own_few_servers_however_many_connections_a_node_has() {
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
    assert!(servers.len() <= 3, "40 of one group at {} of 12 servers: {servers:?}", servers.len());
}

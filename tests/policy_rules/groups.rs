//! Requests of a group gather at few servers.

use crate::common::{arrival, attempted_server, large_fleet_settings, same_zone_endpoints, settings, Node};
use sparbank::vocabulary::{Arrival, Event, ServerId};
use std::collections::BTreeMap;

/// Found on a day of the large fleet: each server pays for each group that it holds any of, no node holds
/// enough to know where a group is, and every server came to pay for every group.
#[test]
fn nodes_that_see_little_gather_a_group_without_coordination() {
    let mut held: BTreeMap<ServerId, usize> = BTreeMap::new();
    for seed in 0..100 {
        let mut node = Node::new(seed, large_fleet_settings(), same_zone_endpoints(12));
        let one = Arrival { key: Some(seed * 7919), group: Some(7), ..arrival(1, 0) };
        *held.entry(attempted_server(&node.handle(Event::Request(one))).expect("placed")).or_default() += 1;
    }
    assert!(held.len() <= 3, "{held:?}: 100 of one group on twelve regions");
}

/// Every server that holds any of a group pays for it once, as much as for three connections: members of
/// a group go where one is already, unless that server has too much else.
#[test]
fn a_group_gathers_and_different_groups_spread() {
    let mut node = Node::new(1, settings(), same_zone_endpoints(3));
    let mut place = |id, group| {
        let one = Arrival { group: Some(group), ..arrival(id, 0) };
        attempted_server(&node.handle(Event::Request(one))).expect("placed")
    };
    let strangers: Vec<_> = (0..3).map(|id| place(id, id)).collect();
    let apart: std::collections::BTreeSet<_> = strangers.iter().collect();
    assert_eq!(apart.len(), 3, "three groups, three servers");
    assert_eq!([place(3, 1), place(4, 1)], [strangers[1]; 2], "where the group is");
    let more: Vec<_> = (5..30).map(|id| place(id, 1)).collect();
    assert!(more.iter().any(|server| *server != strangers[1]), "not without end");
}

/// Found on the second deployment (3 nodes, 10 to 15 servers, each server pays 3 mean loads for each group it
/// holds any of): a node that held enough drew most of a group by the request alone, and the group came to be
/// paid for at every server. A group's candidates are its own at every node, whatever the node holds.
#[test]
fn a_group_keeps_to_its_own_few_servers_however_many_connections_a_node_has() {
    let mut node = Node::new(5, settings(), same_zone_endpoints(12));
    for id in 0..120 {
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        node.establish(id, server);
    }
    let mut at = std::collections::BTreeSet::new();
    for id in 200..240 {
        let one = Arrival { group: Some(7), key: Some(id * 7919), ..arrival(id, 0) };
        let server = attempted_server(&node.handle(Event::Request(one))).expect("placed");
        node.establish(id, server);
        at.insert(server);
    }
    assert!(at.len() <= 3, "40 of one group at {} of 12 regions: {at:?}", at.len());
}

//! Placement of attempts at the least loaded candidate: the first one at once, retries after a backoff.

use crate::common::{arrival, endpoint, serving_endpoints, settings, LONG_AGO, MILLIS, SECOND};
use crate::node::{attempted_server, requested_timer, same_zone_endpoints, Node};
use sparbank::model::{Arrival, Endpoint, Event, ListKind, Outcome, RequestId, ServerId, Status};
use std::collections::BTreeMap;
use std::time::Duration;

#[test]
fn first_attempts_start_at_once_and_a_retry_backs_off_and_goes_to_another_server() {
    let mut longest_backoff = Duration::ZERO;
    for seed in 0..200 {
        let mut node = Node::new(seed, settings(), serving_endpoints(5));
        let first = attempted_server(&node.request(1, 0)).expect("the first attempt starts at once");
        let after_failure = node.end_attempt(1, first, Outcome::ConnectFailed);
        assert_eq!(attempted_server(&after_failure), None);
        let (backoff, _) = requested_timer(&after_failure).expect("a backoff timer");
        longest_backoff = longest_backoff.max(backoff);
        let second = attempted_server(&node.elapse_timer(&after_failure)).expect("a second attempt");
        assert_ne!(first, second);
    }
    // base * 2^1 is half the objective here: no backoff is longer, and some are almost as long.
    assert!(
        longest_backoff <= 150 * MILLIS && longest_backoff > 120 * MILLIS,
        "longest backoff {longest_backoff:?}"
    );
}

#[test]
fn own_connections_decide_among_the_candidates() {
    let mut node = Node::new(3, settings(), same_zone_endpoints(3));
    let mut connections = BTreeMap::new();
    for id in 0..90 {
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        node.establish(id, server);
        *connections.entry(server).or_insert(0) += 1;
    }
    assert!(
        connections.values().all(|n| (29..=31).contains(n)),
        "three servers that are all candidates must be loaded evenly: {connections:?}"
    );
}

/// Regression: the server that the node inferred for a rerouted connection was draining.
#[test]
fn a_rerouted_connection_finds_its_server_but_never_a_draining_one_or_one_in_slow_start() {
    let rerouted = |id: u64, key: u64| Arrival { key: Some(key), rerouted: true, ..arrival(id, 0) };
    let mut one = Node::new(1, settings(), same_zone_endpoints(20));
    let mut other = Node::new(2, settings(), same_zone_endpoints(20));
    let mut found = 0;
    for id in 0..100 {
        let request = Arrival { key: Some(id), ..arrival(id, 0) };
        let actual = attempted_server(&one.handle(Event::Request(request))).expect("placed");
        let inferred = attempted_server(&other.handle(Event::Request(rerouted(id, id)))).expect("placed");
        found += u32::from(actual == inferred);
    }
    assert!(found > 50, "{found} of 100 found their server, about 5 would by chance");
    let started_at = other.now - SECOND;
    let unsuitable = (0..10)
        .map(|server| endpoint(server, LONG_AGO, Status::Draining))
        .chain((10..15).map(|server| endpoint(server, started_at, Status::Serving)));
    other.handle(Event::EndpointList(ListKind::Incremental, unsuitable.collect()));
    for id in 100..200 {
        let inferred = attempted_server(&other.handle(Event::Request(rerouted(id, id)))).expect("placed");
        assert!(inferred.0 >= 15, "server {} is draining or in slow start", inferred.0);
    }
}

/// The cost of crossing zones is limited: a node whose own zone is loaded sends requests to the others.
#[test]
fn the_nodes_own_zone_is_preferred_until_it_is_loaded() {
    let in_zone = |endpoint: Endpoint| Endpoint {
        zone: u32::from(endpoint.server.0 > 0) + settings().zone,
        ..endpoint
    };
    let endpoints: Vec<_> = serving_endpoints(3).into_iter().map(in_zone).collect();
    let mut node = Node::new(1, settings(), endpoints.clone());
    node.handle(Event::EndpointList(ListKind::Full, endpoints));
    let placed: Vec<_> = (0..30).map(|id| attempted_server(&node.request(id, 0)).expect("placed")).collect();
    assert!(placed[..10].iter().all(|server| server.0 == 0), "{placed:?}");
    let in_own_zone = placed.iter().filter(|server| server.0 == 0).count();
    assert!((15..25).contains(&in_own_zone), "{in_own_zone} of 30 in the node's own zone");
}

/// Regression: a server that had reset its connections counted as empty, got many new ones, and reset them again.
#[test]
fn a_server_that_reset_connections_does_not_count_as_empty() {
    let mut node = Node::new(1, settings(), same_zone_endpoints(3));
    let mut placed = Vec::new();
    for id in 0..60 {
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        node.establish(id, server);
        placed.push((id, server));
    }
    for (id, server) in placed.iter().filter(|(_, server)| server.0 == 0) {
        let (id, server, outcome) = (RequestId(*id), *server, Outcome::Reset);
        node.handle(Event::AttemptEnded { id, server, outcome, done: true });
    }
    let at_once =
        (100..110).filter(|id| attempted_server(&node.request(*id, 0)) == Some(ServerId(0))).count();
    assert!((1..8).contains(&at_once), "{at_once} of 10 at once");
    node.now += 60 * SECOND;
    let later = (200..210).filter(|id| attempted_server(&node.request(*id, 0)) == Some(ServerId(0))).count();
    assert!(later >= 8, "{later} of 10 a minute later");
}

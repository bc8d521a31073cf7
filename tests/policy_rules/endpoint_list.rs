//! Rule 3 (draining) and discovery polls.

use crate::common::{endpoint, serving_endpoints, settings, LONG_AGO, MILLIS, SECOND};
use crate::node::{attempted_server, requested_timer, Node};
use sparbank::model::{Action, Discovery, Event, ListKind, Outcome, ServerId, Settings, Status};

#[test]
fn nothing_is_sent_to_a_draining_server_or_one_absent_from_a_full_list() {
    let mut node = Node::new(1, settings(), serving_endpoints(4));
    node.handle(Event::EndpointList(ListKind::Incremental, vec![endpoint(0, LONG_AGO, Status::Draining)]));
    node.handle(Event::EndpointList(ListKind::Incremental, vec![endpoint(1, LONG_AGO, Status::Removed)]));
    node.handle(Event::EndpointList(ListKind::Failed, vec![]));
    for id in 0..50 {
        assert!(attempted_server(&node.request(id, 0)).is_some_and(|server| server.0 >= 2));
    }
    node.handle(Event::EndpointList(ListKind::Full, serving_endpoints(3)));
    for id in 50..100 {
        assert!(attempted_server(&node.request(id, 0)).is_some_and(|server| server.0 <= 2));
    }
}

/// After any number of failed polls and under any setting, the next poll is due early enough that a change is known
/// within 6 s of discovery becoming reachable: 2 s for a poll that times out, the backoff, and the response.
#[test]
fn the_next_poll_is_due_within_the_notification_time() {
    let cases = [
        (Discovery::Polled, 60 * SECOND, 2_500 * MILLIS),
        (Discovery::Polled, SECOND, SECOND),
        (Discovery::LocalAgent, 60 * SECOND, 200 * MILLIS),
    ];
    for (discovery, poll_within, max_delay) in cases {
        let polled = Settings { discovery, poll_within, ..settings() };
        for seed in 0..50 {
            let mut node = Node::new(seed, polled.clone(), serving_endpoints(3));
            for failures in 0..20 {
                let actions = node.handle(Event::EndpointList(ListKind::Failed, vec![]));
                let (after, token) = requested_timer(&actions).expect("a timer for the next poll");
                assert!(after <= max_delay, "{discovery:?}: {after:?} after {failures} earlier failures");
                node.now += after;
                assert_eq!(node.handle(Event::Timer(token)), [Action::Subscribe]);
            }
        }
    }
    let mut node = Node::new(1, settings(), serving_endpoints(3));
    let actions = node.handle(Event::EndpointList(ListKind::Failed, vec![]));
    assert!(requested_timer(&actions).is_none(), "pushed lists are not polled");
}

#[test]
fn nodes_poll_at_different_times_and_again_after_a_failure() {
    let polled = Settings { discovery: Discovery::Polled, ..settings() };
    let mut delays = Vec::new();
    for seed in 0..50 {
        let mut node = Node::new(seed, polled.clone(), serving_endpoints(3));
        let actions = node.handle(Event::EndpointList(ListKind::Failed, vec![]));
        let (after, token) = requested_timer(&actions).expect("a timer for the next poll");
        delays.push(after);
        node.now += after;
        assert_eq!(node.handle(Event::Timer(token)), [Action::Subscribe]);
        assert!(
            attempted_server(&node.request(1, 0)).is_some(),
            "the last list is used while discovery is unavailable"
        );
    }
    delays.sort_unstable();
    delays.dedup();
    assert!(delays.len() > 40, "nodes must not poll at the same time");
    assert!(delays.iter().all(|after| *after <= 10 * SECOND), "each node must poll within `poll_within`");
}

/// Only a server that was removed and has neither attempts nor connections is forgotten. A new server with its id starts
/// without its health: it is not ejected.
#[test]
fn only_a_removed_and_unused_server_is_forgotten() {
    let mut node = Node::new(1, settings(), serving_endpoints(2));
    let used = attempted_server(&node.request(0, 0)).expect("a server");
    let unused = ServerId(1 - used.0);
    node.establish(0, used);
    assert_eq!(node.balancer.forget_servers(vec![used, unused]), [], "both are listed");
    node.handle(Event::EndpointList(ListKind::Full, vec![]));
    assert_eq!(node.balancer.forget_servers(vec![used, unused, ServerId(9)]), [unused]);
    node.end_attempt(0, used, Outcome::Ok);
    assert_eq!(node.balancer.forget_servers(vec![used]), [used]);
}

/// Guards against the health of a forgotten server being taken for that of the server that gets its id.
#[test]
fn a_server_with_a_reused_id_does_not_inherit_an_ejection() {
    const FAILURES: u64 = 20;
    let mut node = Node::new(1, settings(), serving_endpoints(1));
    for id in 0..FAILURES {
        if let Some(server) = attempted_server(&node.request(id, 0)) {
            node.end_attempt(id, server, Outcome::ConnectFailed);
        }
    }
    assert_eq!(attempted_server(&node.request(FAILURES, 0)), None, "the server is ejected");
    node.handle(Event::EndpointList(ListKind::Full, vec![]));
    assert_eq!(node.balancer.forget_servers(vec![ServerId(0)]), [ServerId(0)]);
    node.handle(Event::EndpointList(ListKind::Full, serving_endpoints(1)));
    assert_eq!(attempted_server(&node.request(FAILURES + 1, 0)), Some(ServerId(0)));
}

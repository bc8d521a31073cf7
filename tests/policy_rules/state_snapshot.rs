//! The balancer's state snapshot, which a handover transfers.

use crate::common::{endpoint, serving_endpoints, settings, LONG_AGO};
use crate::node::{attempted_server, Node};
use sparbank::model::{Endpoint, Event, ListKind, Outcome, ServerId, Status};
use sparbank_time::MonotonicTime;

/// Three servers that could not be reached stay ejected in the successor, which gives the servers other ids.
#[test]
fn a_restored_snapshot_keeps_ejections_under_new_server_ids() {
    let mut node = Node::new(3, settings(), serving_endpoints(6));
    for id in 0..60 {
        if let Some(server) = attempted_server(&node.request(id, 0)) {
            if server.0 < 3 {
                node.end_attempt(id, server, Outcome::ConnectFailed);
            } else {
                node.establish(id, server);
            }
        }
    }
    let snapshot = node.balancer.state_snapshot();
    let renumbered = || {
        serving_endpoints(6)
            .into_iter()
            .map(|endpoint| Endpoint { server: ServerId(5 - endpoint.server.0), ..endpoint })
            .collect()
    };
    let mut successor = Node::new(4, settings(), renumbered());
    let mut unrelated = Node::new(4, settings(), renumbered());
    successor.balancer.restore_state(&snapshot).expect("a valid snapshot");
    let attempts = |node: &mut Node| -> usize {
        (100..200)
            .filter(|id| attempted_server(&node.request(*id, 0)).is_some_and(|server| server.0 > 2))
            .count()
    };
    assert_eq!(attempts(&mut successor), 0);
    assert!(attempts(&mut unrelated) > 30);
    assert!(successor.balancer.restore_state("[1,").is_err());
    assert_eq!(attempts(&mut successor), 0, "an unreadable snapshot changes nothing");
}

/// A snapshot that version 00677b7 wrote. It has four servers of the first list, one of which restarted later, and
/// a fifth server with id 5: id 4 is not used.
const SNAPSHOT_00677B7: &str = include_str!("../fixtures/00677b7/server-state.json");

#[test]
fn a_snapshot_of_version_00677b7_is_read_and_written_back_identically() {
    let snapshot = SNAPSHOT_00677B7.trim_end();
    let mut node = Node::new(1, settings(), serving_endpoints(4));
    let started = endpoint(1, MonotonicTime::from_nanos(92_000_000_123), Status::Serving);
    let later = vec![started, endpoint(5, LONG_AGO, Status::Serving)];
    node.handle(Event::EndpointList(ListKind::Incremental, later));
    assert_ne!(node.balancer.state_snapshot(), snapshot);
    node.balancer.restore_state(snapshot).expect("a valid snapshot");
    assert_eq!(node.balancer.state_snapshot(), snapshot);
}

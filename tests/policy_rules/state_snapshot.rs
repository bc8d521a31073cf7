//! The state that a handover transfers.

use crate::common::{attempted_server, endpoint, serving_endpoints, settings, Node, SECOND};
use sparbank::vocabulary::{Endpoint, Event, ListKind, Outcome, ServerId, Status};

/// Three servers that could not be reached are left alone by the next process too, which numbers them anew.
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
    let learned = node.balancer.state_snapshot();
    let renumbered = || {
        serving_endpoints(6).into_iter().map(|m| Endpoint { server: ServerId(5 - m.server.0), ..m }).collect()
    };
    let (mut next, mut stranger) =
        (Node::new(4, settings(), renumbered()), Node::new(4, settings(), renumbered()));
    next.balancer.restore_state(&learned).expect("it is read");
    let drawn = |node: &mut Node| -> usize {
        (100..200)
            .filter(|id| attempted_server(&node.request(*id, 0)).is_some_and(|server| server.0 > 2))
            .count()
    };
    assert_eq!(drawn(&mut next), 0);
    assert!(drawn(&mut stranger) > 30);
    assert!(next.balancer.restore_state("[1,").is_err());
    assert_eq!(drawn(&mut next), 0, "what cannot be read changes nothing");
}

/// What a process of version 00677b7 wrote of four servers that were listed at first and two that came later, one of
/// them with a gap in the numbers before it.
const SNAPSHOT_00677B7: &str = include_str!("server-state-00677b7.json");

#[test]
fn a_snapshot_of_version_00677b7_is_read_and_written_back_identically() {
    let snapshot = SNAPSHOT_00677B7.trim_end();
    let mut node = Node::new(1, settings(), serving_endpoints(4));
    let started = endpoint(1, 92 * SECOND + 123, Status::Serving);
    let later = vec![started, endpoint(5, 0, Status::Serving)];
    node.handle(Event::EndpointList(ListKind::Incremental, later));
    assert_ne!(node.balancer.state_snapshot(), snapshot);
    node.balancer.restore_state(snapshot).expect("it is read");
    assert_eq!(node.balancer.state_snapshot(), snapshot);
}

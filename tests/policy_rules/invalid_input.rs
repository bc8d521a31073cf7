//! Invalid settings, lists, clocks and ids.

use crate::common::{arrival, endpoint, serving_endpoints, settings, LONG_AGO};
use crate::node::{attempted_server, Node};
use sparbank::model::{Arrival, Endpoint, Event, ListKind, Outcome, RequestId, ServerId, Settings, Status};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The longest duration whose nanoseconds fit into 64 bits.
const MAX_DURATION: Duration = Duration::from_nanos(u64::MAX);

#[test]
fn invalid_settings_are_rejected_by_name() {
    let rejected_field = |settings: Settings| sparbank::Balancer::new(1, settings).err().map(|e| e.field);
    assert_eq!(rejected_field(Settings { classes: vec![], ..settings() }), Some("classes"));
    assert_eq!(rejected_field(Settings { max_attempts: 0, ..settings() }), Some("max_attempts"));
    assert_eq!(rejected_field(Settings { instances: 0, ..settings() }), Some("instances"));
    assert_eq!(rejected_field(Settings { slow_start_floor: f64::NAN, ..settings() }), Some("cold_from"));
    assert_eq!(rejected_field(Settings { overload_multiple: -1.0, ..settings() }), Some("fall_multiple"));
    assert_eq!(rejected_field(settings()), None);
}

#[test]
fn invalid_lists_clocks_and_ids_are_harmless() {
    let mut node = Node::new(1, settings(), vec![]);
    let invalid = |server, nominal| Endpoint { nominal, ..endpoint(server, LONG_AGO, Status::Serving) };
    let endpoints = vec![
        invalid(0, 0.0),
        invalid(0, 2.0),
        invalid(1, f64::NAN),
        invalid(2, -1.0),
        invalid(3, f64::INFINITY),
    ];
    node.handle(Event::EndpointList(ListKind::Full, endpoints));
    for id in 0..20 {
        assert!(
            attempted_server(&node.request(id, 7)).is_some(),
            "an unknown class, and a clock that does not advance"
        );
    }
    assert_eq!(node.handle(Event::ClientDisconnected(RequestId(12345))), []);
    assert_eq!(node.end_attempt(12345, ServerId(77), Outcome::Ok), []);
    assert_eq!(node.handle(Event::LatencyReport { server: ServerId(77), latency: MAX_DURATION }), []);
    node.handle(Event::LatencyReport { server: ServerId(1), latency: MAX_DURATION });
    node.establish(12345, ServerId(77));
    node.now = MonotonicTime::MAX;
    node.request(21, 0);
    node.now = MonotonicTime::MAX - Duration::from_nanos(1);
    node.handle(Event::Request(Arrival { time_left: MAX_DURATION, ..arrival(22, 0) }));
    for earlier in 0..5 {
        node.handle(Event::EndpointList(
            ListKind::Incremental,
            vec![endpoint(0, node.now - Duration::from_nanos(earlier), Status::Serving)],
        ));
    }
    let actions = Node::new(1, settings(), serving_endpoints(5000)).request(1, 0);
    assert!(attempted_server(&actions).is_some());
}

/// Every outcome of an attempt except success is harmless at a server that no list has contained.
#[test]
fn an_attempt_that_ends_at_a_server_that_was_never_listed_is_harmless() {
    let outcomes = [
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::LocalShortage,
    ];
    for outcome in outcomes {
        let mut node = Node::new(1, settings(), serving_endpoints(3));
        attempted_server(&node.request(1, 0)).expect("placed");
        node.end_attempt(1, ServerId(99), outcome);
        assert!(attempted_server(&node.request(2, 0)).is_some(), "{outcome:?}");
    }
}

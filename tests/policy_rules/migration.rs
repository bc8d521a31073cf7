//! Servers that report high latency: connections migrate away, and new ones are added slowly.

use crate::common::{serving_endpoints, settings, MILLIS, SECOND};
use crate::node::{attempted_server, Node};
use sparbank::model::{Action, Event, RequestId, ServerId, Settings};

/// A node with 100 established connections, about half of them at each of two servers.
fn node_with_fifty_connections_at_each_of_two(settings: Settings) -> Node {
    let mut node = Node::new(1, settings, serving_endpoints(2));
    for id in 0..100 {
        let server = attempted_server(&node.request(id, 0)).expect("placed");
        node.establish(id, server);
    }
    node
}

fn migrations(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Migrate(_))).count()
}

/// Regression: the connections that migrated from an overloaded server overloaded the next one.
#[test]
fn an_overloaded_server_migrates_connections_gets_nothing_new_and_is_refilled_slowly() {
    let mut node = node_with_fifty_connections_at_each_of_two(settings());
    let overloaded = ServerId(0);
    let report = |latency| Event::LatencyReport { server: overloaded, latency };
    let first = migrations(&node.handle(report(400 * MILLIS)));
    assert!((10..=25).contains(&first), "{first} of 50 migrate when the latency rises by 0.4 s in a second");
    node.now += SECOND;
    assert_eq!(
        migrations(&node.handle(report(200 * MILLIS))),
        0,
        "no more connections migrate while the latency falls"
    );
    assert!((200..230).all(|id| attempted_server(&node.request(id, 0)) != Some(overloaded)));
    node.now += SECOND;
    node.handle(report(10 * MILLIS));
    node.now += SECOND;
    let refill = (300..400).filter(|id| attempted_server(&node.request(*id, 0)) == Some(overloaded)).count();
    assert!(refill <= 10, "{refill} of 100 placed at once at a server that was overloaded a second ago");
}

/// Regression: servers stalled for 120 to 390 ms every few seconds, and each stall migrated some of the connections
/// there. Where health checks are available, one first shows whether the server is over capacity; a second late
/// report in a row migrates connections without one.
#[test]
fn a_late_server_is_health_checked_before_connections_migrate() {
    let mut node = node_with_fifty_connections_at_each_of_two(Settings { health_checks: true, ..settings() });
    let late = ServerId(0);
    let report = |latency| Event::LatencyReport { server: late, latency };
    assert_eq!(node.handle(report(390 * MILLIS)), [Action::HealthCheck(late)]);
    assert_eq!(
        node.handle(Event::HealthCheckResult { server: late, utilization: Some(0.7) }),
        [],
        "nothing migrates because of a stall"
    );
    assert!(
        (200..220).all(|id| attempted_server(&node.request(id, 0)) != Some(late)),
        "no new requests while the server is late"
    );
    node.now += 3 * SECOND;
    assert_eq!(node.handle(report(300 * MILLIS)), [Action::HealthCheck(late)]);
    let first = migrations(&node.handle(Event::HealthCheckResult { server: late, utilization: Some(1.6) }));
    assert!((10..=25).contains(&first), "{first} of 50 migrate from a server over capacity");
    node.now += SECOND;
    assert!(
        migrations(&node.handle(report(500 * MILLIS))) > 0,
        "a second late report in a row needs no health check"
    );
    node.now += 3 * SECOND;
    node.handle(report(400 * MILLIS));
    assert_eq!(
        migrations(&node.handle(Event::HealthCheckResult { server: late, utilization: None })),
        0,
        "a failed health check is no sign of overload"
    );
}

/// Regression: connections of high load and low weight stayed, and delayed the others.
#[test]
fn connections_of_the_lowest_weight_per_load_migrate_first() {
    let mut node = Node::new(1, settings(), serving_endpoints(1));
    let server = ServerId(0);
    for id in 0..40 {
        node.request(id, 0);
        node.establish(id, server);
        let cost = if id % 4 == 0 { 100 * MILLIS } else { MILLIS };
        node.handle(Event::LoadReport { id: RequestId(id), cost });
    }
    let actions = node.handle(Event::LatencyReport { server, latency: 110 * MILLIS });
    let is_heavy = |action: &Action| matches!(action, Action::Migrate(RequestId(id)) if id % 4 == 0);
    assert!((5..=12).contains(&actions.len()), "{} of 40", actions.len());
    assert!(actions.iter().take(10).all(is_heavy), "{actions:?}");
}

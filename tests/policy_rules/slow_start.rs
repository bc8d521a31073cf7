//! Rule 4: all nodes together do not overload a server that is warming up.

use crate::common::{endpoint, serving_endpoints, settings, MILLIS, SECOND};
use crate::node::{attempted_server, Node};
use sparbank::model::{Event, ListKind, ServerId, Status};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Twenty nodes with `connections` each at warm servers are notified of `starting` servers that started a second ago,
/// while clients connect. Returns the largest number of attempts that one starting server got within one second.
fn max_attempts_per_second_at_one_server(
    warm: u32,
    starting: u32,
    connections: u64,
    overloaded: bool,
) -> usize {
    let mut attempts: BTreeMap<ServerId, Vec<MonotonicTime>> = BTreeMap::new();
    for number in 0..20 {
        let mut node = Node::new(number, settings(), serving_endpoints(warm));
        for id in 0..connections {
            node.now += 100 * MILLIS;
            if let Some(server) = attempted_server(&node.request(id, 0)) {
                node.establish(id, server);
            }
        }
        node.now = MonotonicTime::ZERO + 200 * SECOND;
        let started_at = node.now - SECOND;
        let started =
            (warm..warm + starting).map(|server| endpoint(server, started_at, Status::Serving)).collect();
        node.handle(Event::EndpointList(ListKind::Incremental, started));
        for id in connections..connections + 30 {
            if overloaded {
                for server in (0..warm).map(ServerId) {
                    node.handle(Event::LatencyReport { server, latency: 90 * MILLIS });
                }
            }
            if let Some(server) = attempted_server(&node.request(id, 0)).filter(|server| server.0 >= warm) {
                attempts.entry(server).or_default().push(node.now);
            }
            node.now += 97 * MILLIS + Duration::from_millis(number) / 3;
        }
    }
    let max_per_second = |times: &Vec<MonotonicTime>| {
        let count_from =
            |from: MonotonicTime| times.iter().filter(|t| (from..from + SECOND).contains(*t)).count();
        times.iter().map(|from| count_from(*from)).max()
    };
    attempts.values().filter_map(max_per_second).max().unwrap_or(0)
}

/// A server of this fleet has 120 connections at 60 % of its capacity, so its capacity is 200. In the first second of
/// its slow start it admits the rate that reaches this capacity over the slow start, times the overload multiple of
/// 3, times its capacity factor of 0.37: 22.
const OVERLOAD_PER_SECOND: usize = 22;

/// Regression: accrued placements and queued requests reached a server in slow start at the same time.
#[test]
fn nodes_together_do_not_overload_a_server_in_slow_start() {
    for (starting, overloaded) in [(1, false), (5, false), (10, false), (1, true), (5, true), (10, true)] {
        let worst = max_attempts_per_second_at_one_server(10, starting, 60, overloaded);
        assert!(
            (1..OVERLOAD_PER_SECOND).contains(&worst),
            "{starting} starting servers, others overloaded {overloaded}: {worst} in a second"
        );
    }
}

#[test]
fn restarted_nodes_use_restarted_servers_and_do_not_overload_them() {
    let worst = max_attempts_per_second_at_one_server(0, 10, 0, false);
    assert!((1..OVERLOAD_PER_SECOND).contains(&worst), "{worst} in a second");
}

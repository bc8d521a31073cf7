use super::{fleet_setup_rate, FleetLimits, DEFAULT_CONNECTIONS_PER_SERVER, MAX_SETUP_INTERVAL};
use std::time::Duration;

const LARGE: FleetLimits = FleetLimits { nodes: 100.0, quota_connections: 500.0, setups_per_second: 40.0 };
const SMALL: FleetLimits = FleetLimits { nodes: 3.0, quota_connections: 620.0, setups_per_second: 125.0 };
const UNKNOWN: FleetLimits = FleetLimits { nodes: 100.0, quota_connections: 0.0, setups_per_second: 0.0 };

#[rstest::rstest]
#[case(LARGE, 2, 0.01, Duration::from_millis(2_500))]
// Most nodes have failed: this one has taken over their load.
#[case(LARGE, 25, 0.05, Duration::from_millis(500))]
#[case(LARGE, 9_999, 1.0, Duration::from_millis(25))]
#[case(SMALL, 100, 1.0 / 3.0, Duration::from_millis(24))]
#[case(UNKNOWN, 50, 0.01, Duration::ZERO)]
#[case(FleetLimits { setups_per_second: 1e-30, ..LARGE }, 2, 0.01, MAX_SETUP_INTERVAL)]
fn the_load_share_is_even_or_the_actual_one_if_larger(
    #[case] limits: FleetLimits,
    #[case] requests: usize,
    #[case] share: f64,
    #[case] interval: Duration,
) {
    assert_eq!((limits.load_share(requests), limits.setup_interval(requests, Some(1.0))), (share, interval));
}

#[rstest::rstest]
#[case(100.0, 10.0, 40.0)]
#[case(3.0, 16.0, 125.5)]
#[case(3.0, 0.0, 0.0)]
fn the_unpaced_set_ups_of_many_nodes_reduce_the_rate(
    #[case] nodes: f64,
    #[case] rate: f64,
    #[case] all: f64,
) {
    assert_eq!(fleet_setup_rate(nodes, rate, 1.2), all);
}

/// However the load is distributed, all nodes together stay within about twice the limit: each node's share is the
/// larger of the even and the actual share, and each of these two adds up to one over all nodes.
#[test]
fn the_sum_of_all_load_shares_is_bounded() {
    for spread in [1, 3, 10, 100] {
        let requests = |node: usize| if node.is_multiple_of(spread) { 5 * spread } else { 0 };
        let all: f64 = (0..100).map(|node| LARGE.load_share(requests(node))).sum();
        assert!((1.0..=2.1).contains(&all), "{all} with all at one node in {spread}");
    }
}

#[test]
fn usual_connections_follow_the_number_of_nodes() {
    assert_eq!(
        (LARGE.usual_connections(10), UNKNOWN.usual_connections(10)),
        (0.5, DEFAULT_CONNECTIONS_PER_SERVER)
    );
    assert!((20.0..21.0).contains(&SMALL.usual_connections(10)));
    assert_eq!((LARGE.connections_at_capacity(2, 2), UNKNOWN.connections_at_capacity(2, 2)), (10.0, 2.0));
}

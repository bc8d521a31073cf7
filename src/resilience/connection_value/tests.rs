use super::{connection_value, least_valuable, Connection};
use crate::model::{RequestId, WeightBasis};
use std::time::Duration;

fn connection(id: u64, value: f64, tie_breaker: u64) -> Connection {
    Connection { id: RequestId(id), value, tie_breaker }
}

#[test]
fn the_least_valuable_migrate_first_and_ties_are_broken() {
    let connections =
        vec![connection(1, 2.0, 0), connection(2, 1.0, 9), connection(3, 1.0, 3), connection(4, 3.0, 0)];
    let migrated: Vec<_> = least_valuable(connections, 0.75, 0).collect();
    assert_eq!(migrated, [RequestId(3), RequestId(2), RequestId(1)]);
}

#[test]
fn the_count_is_rounded_up_or_down_at_random() {
    let three = || (0..3).map(|id| connection(id, 1.0, id)).collect::<Vec<_>>();
    assert_eq!(least_valuable(three(), 0.5, 0).count(), 1);
    assert_eq!(least_valuable(three(), 0.5, u64::MAX).count(), 2);
}

#[test]
fn the_value_is_the_weight_relative_to_the_load() {
    const COST: Duration = Duration::from_nanos(3);
    assert_eq!(
        (
            connection_value(6.0, COST, WeightBasis::Request),
            connection_value(6.0, Duration::ZERO, WeightBasis::Request),
            connection_value(6.0, COST, WeightBasis::Work)
        ),
        (2.0, 6.0, 6.0)
    );
}

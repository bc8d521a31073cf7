//! Tests of the weighted max-min division: fixed cases and properties.

use super::{divide_by_demand, Demand};
use proptest::prelude::{prop_assert, proptest};

fn demands(demands: &[(u64, u64)]) -> Vec<Demand> {
    demands.iter().map(|&(wanted, weight)| Demand { wanted, weight }).collect()
}

#[rstest::rstest]
#[case(100, &[(0, 1), (0, 1)], &[50, 50])]
#[case(100, &[(10, 1), (500, 1), (500, 1)], &[10, 45, 45])]
#[case(90, &[(500, 1), (500, 2)], &[30, 60])]
#[case(100, &[(10, 1), (20, 1)], &[45, 55])]
#[case(2, &[(5, 1), (5, 1), (5, 1)], &[0, 1, 1])]
#[case(7, &[], &[])]
fn divides_by_demand_and_weight(
    #[case] total: u64,
    #[case] wanted_and_weights: &[(u64, u64)],
    #[case] shares: &[u64],
) {
    assert_eq!(divide_by_demand(total, &demands(wanted_and_weights)), shares);
}

proptest! {
    /// The shares add up to at most the total, and to at least the total less one unit per claimant. If the total
    /// covers all demand, each claimant gets what it requests.
    #[test]
    fn shares_never_exceed_the_total(
        total in 0..1u64 << 40,
        wanted_and_weights in proptest::collection::vec((0..1u64 << 40, 1..100u64), 1..60),
    ) {
        let demands = demands(&wanted_and_weights);
        let shares = divide_by_demand(total, &demands);
        let sum: u64 = shares.iter().sum();
        prop_assert!(sum <= total);
        prop_assert!(total - sum <= demands.len() as u64, "units that rounding leaves over");
        let wanted: u64 = demands.iter().map(|demand| demand.wanted).sum();
        for (share, demand) in shares.iter().zip(&demands) {
            prop_assert!(wanted > total || *share >= demand.wanted, "the total covers all demand");
        }
    }
}

//! Unit tests of the decoding of the settings document.

use super::*;

/// Five tenants have 1 a second, three have 0; or all have 0: the fleet still admits something.
#[rstest::rstest]
#[case([1.0, 1.0, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0], 6.0)]
#[case([0.0; 8], 2.0)]
#[case([4.0, 3.0, 2.0, 2.0, 2.0, 1.0, 1.0, 1.0], 17.9)]
fn rounded_quotas_are_read_as_the_largest_rate_that_rounds_to_them(
    #[case] quotas: [f64; 8],
    #[case] expected: f64,
) {
    let shares = [0.25, 0.18, 0.14, 0.12, 0.1, 0.08, 0.07, 0.06];
    let tenant = |(quota_per_s, share)| TenantDocument { quota_per_s, share };
    let tenants: Vec<TenantDocument> = quotas.into_iter().zip(shares).map(tenant).collect();
    assert!(
        (quota_setups_per_second(&tenants) - expected).abs() < 0.05,
        "{}",
        quota_setups_per_second(&tenants)
    );
    let without_shares: Vec<TenantDocument> = quotas.into_iter().map(|quota| tenant((quota, 0.0))).collect();
    assert_eq!(quota_setups_per_second(&without_shares), quotas.iter().sum::<f64>());
}

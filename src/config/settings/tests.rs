//! Unit tests of the conversion of the settings document.

use super::*;

/// The cases: five quotas of 1 per second and three of 0; all quotas of 0, where the fleet still admits some
/// connections; and quotas that are all above 0.
#[rstest::rstest]
#[case([1.0, 1.0, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0], 6.0)]
#[case([0.0; 8], 2.0)]
#[case([4.0, 3.0, 2.0, 2.0, 2.0, 1.0, 1.0, 1.0], 17.9)]
fn rounded_quotas_give_the_largest_rate_that_is_rounded_to_them(
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

/// A document with one class and without any optional field.
const SMALLEST: &str = r#"{"Profiles":[{"ObjectiveNs":1,"HardLimitNs":2,"Effect":"read_like"}],
    "Limits":{"MaxAttempts":3},"Rules":{}}"#;

fn document(text: &str) -> SettingsDocument {
    crate::json::parse(text).expect("a valid document")
}

/// In the simulator a dial timeout is optional; a node on real sockets always has one.
#[test]
fn the_dial_timeout_defaults_to_none_for_the_balancer_and_to_250_ms_for_frontends() {
    assert_eq!(Settings::from(document(SMALLEST)).dial_timeout, Duration::ZERO);
    let named = SMALLEST.replace(r#""Effect""#, r#""Name":"a","Effect""#);
    let settings = FrontendSettings::try_from(&document(&named)).expect("the class has a name");
    assert_eq!(
        (settings.dial_timeout, settings.class_names),
        (Duration::from_millis(250), vec!["a".to_string()])
    );
}

#[test]
fn frontends_require_class_names() {
    let error = FrontendSettings::try_from(&document(SMALLEST)).expect_err("the class has no name");
    assert_eq!(error.to_string(), "field settings.Profiles[0]: missing field `Name`");
}

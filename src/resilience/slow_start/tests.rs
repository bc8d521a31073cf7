use super::{FillTarget, Nanos, ServerRamp, SlowStart, RECOVERY_TIME};

const SECOND: Nanos = 1_000_000_000;
const SLOW_START: SlowStart =
    SlowStart { floor: 0.2, duration: 10 * SECOND, overload_multiple: 3.0, overload_after: SECOND };
const TARGET: FillTarget = FillTarget { connections: 100.0, total_nominal: 10.0, accrued: 1e9 };
const NOW: Nanos = 100 * SECOND;

fn ramp(capacity_factor: f64) -> ServerRamp {
    ServerRamp { capacity_factor, nominal: 1.0, recovering_until: 0, last_sent_at: 0 }
}

#[rstest::rstest]
#[case(0, 1.0)]
#[case(NOW, 0.2)]
#[case(NOW - 5 * SECOND, 0.6)]
#[case(NOW - 10 * SECOND, 1.0)]
#[case(NOW + SECOND, 0.2)]
fn capacity_grows_from_the_floor_to_one(#[case] started_at: Nanos, #[case] factor: f64) {
    let measured = SLOW_START.capacity_factor(NOW, started_at);
    assert!((measured - factor).abs() < 1e-9, "{measured}");
}

#[test]
fn a_warm_server_admits_everything() {
    assert_eq!(SLOW_START.admissible_fraction(NOW, &ramp(1.0), &TARGET), f64::INFINITY);
}

/// Its share of the target is ten connections over ten seconds; at half capacity it takes three halves of that.
#[test]
fn a_server_that_warms_up_admits_what_fills_it_over_its_warm_up() {
    let per_second = SLOW_START.admissible_fraction(NOW, &ramp(0.5), &TARGET);
    assert!((per_second - 1.5).abs() < 1e-9, "{per_second}");
}

#[test]
fn a_server_that_recovers_admits_what_fills_it_over_the_recovery_time() {
    let recovering = ServerRamp { recovering_until: NOW + 1, ..ramp(1.0) };
    let per_second = SLOW_START.admissible_fraction(NOW, &recovering, &TARGET);
    assert!((per_second - 10.0 * 1e9 / RECOVERY_TIME).abs() < 1e-9, "{per_second}");
}

#[test]
fn placements_on_a_server_that_warms_up_are_spaced() {
    let sent = |ago: Nanos| ServerRamp { last_sent_at: NOW - ago, ..ramp(0.5) };
    assert_eq!(SLOW_START.admissible_fraction(NOW, &sent(SECOND / 2), &TARGET), 0.0);
    assert!(SLOW_START.admissible_fraction(NOW, &sent(SECOND), &TARGET) > 0.0);
}

#[rstest::rstest]
#[case(0, NOW - SECOND / 2, 0.5e9)]
#[case(0, 0, 1e9)]
#[case(SECOND, 0, 2e9)]
#[case(SECOND, NOW + 1, 0.0)]
fn placements_accrue_for_a_bounded_time(
    #[case] setup_interval: Nanos,
    #[case] last_selection_at: Nanos,
    #[case] accrued: f64,
) {
    assert_eq!(SLOW_START.accrued(NOW, last_selection_at, setup_interval), accrued);
}

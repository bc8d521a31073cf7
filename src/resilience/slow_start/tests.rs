use super::{FillTarget, ServerRamp, SlowStart, NANOSECOND, RECOVERY_TIME};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const SLOW_START: SlowStart = SlowStart {
    floor: 0.2,
    duration: Duration::from_secs(10),
    overload_multiple: 3.0,
    overload_after: SECOND,
};
const TARGET: FillTarget = FillTarget { connections: 100.0, total_nominal: 10.0, accrued_nanos: 1e9 };
const NOW: MonotonicTime = MonotonicTime::from_nanos(100_000_000_000);

fn ramp(capacity_factor: f64) -> ServerRamp {
    ServerRamp {
        capacity_factor,
        nominal: 1.0,
        recovering_until: MonotonicTime::ZERO,
        last_sent_at: MonotonicTime::ZERO,
    }
}

#[rstest::rstest]
#[case(MonotonicTime::ZERO, 1.0)]
#[case(NOW, 0.2)]
#[case(NOW - 5 * SECOND, 0.6)]
#[case(NOW - 10 * SECOND, 1.0)]
#[case(NOW + SECOND, 0.2)]
fn capacity_grows_from_the_floor_to_one(#[case] started_at: MonotonicTime, #[case] factor: f64) {
    let measured = SLOW_START.capacity_factor(NOW, started_at);
    assert!((measured - factor).abs() < 1e-9, "{measured}");
}

#[test]
fn a_warm_server_admits_everything() {
    assert_eq!(SLOW_START.admissible_fraction(NOW, &ramp(1.0), &TARGET), f64::INFINITY);
}

/// The server's share of the target is ten connections over ten seconds. At half capacity, times the overload multiple
/// of three, it admits one and a half times that rate.
#[test]
fn a_server_that_is_warming_up_is_filled_over_its_warm_up_time() {
    let per_second = SLOW_START.admissible_fraction(NOW, &ramp(0.5), &TARGET);
    assert!((per_second - 1.5).abs() < 1e-9, "{per_second}");
}

#[test]
fn a_recovering_server_is_filled_over_the_recovery_time() {
    let recovering = ServerRamp { recovering_until: NOW + NANOSECOND, ..ramp(1.0) };
    let per_second = SLOW_START.admissible_fraction(NOW, &recovering, &TARGET);
    assert!((per_second - 10.0 * 1e9 / RECOVERY_TIME.as_nanos_f64()).abs() < 1e-9, "{per_second}");
}

#[test]
fn attempts_at_a_server_that_is_warming_up_keep_a_minimum_interval() {
    let sent = |ago: Duration| ServerRamp { last_sent_at: NOW - ago, ..ramp(0.5) };
    assert_eq!(SLOW_START.admissible_fraction(NOW, &sent(SECOND / 2), &TARGET), 0.0);
    assert!(SLOW_START.admissible_fraction(NOW, &sent(SECOND), &TARGET) > 0.0);
}

#[rstest::rstest]
#[case(Duration::ZERO, NOW - SECOND / 2, 0.5e9)]
#[case(Duration::ZERO, MonotonicTime::ZERO, 1e9)]
#[case(SECOND, MonotonicTime::ZERO, 2e9)]
#[case(SECOND, NOW + NANOSECOND, 0.0)]
fn the_accrued_time_is_bounded(
    #[case] setup_interval: Duration,
    #[case] last_selection_at: MonotonicTime,
    #[case] accrued_nanos: f64,
) {
    assert_eq!(SLOW_START.accrued_nanos(NOW, last_selection_at, setup_interval), accrued_nanos);
}

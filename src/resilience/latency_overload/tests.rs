use super::{LatencyOverload, MigrationDemand, REPORT_VALIDITY};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const MILLIS: Duration = Duration::from_millis(1);
const NANOSECOND: Duration = Duration::from_nanos(1);
const OBJECTIVE: Duration = Duration::from_millis(100);
const RECOVERY: Duration = Duration::from_secs(10);

/// The instant this many nanoseconds after the origin of the clock.
fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

fn report(state: &mut LatencyOverload, now: MonotonicTime, latency: Duration) -> Option<MigrationDemand> {
    state.on_report(now, latency, OBJECTIVE, RECOVERY)
}

#[test]
fn a_report_ejects_the_server_until_it_expires_and_the_recovery_lasts_longer() {
    let mut state = LatencyOverload::default();
    assert_eq!(report(&mut state, at(0), 40 * MILLIS), None, "below the objective");
    assert!(
        state.is_overloaded(at(0) + REPORT_VALIDITY - NANOSECOND)
            && !state.is_overloaded(at(0) + REPORT_VALIDITY)
    );
    assert_eq!(state.recovering_until(), at(0) + RECOVERY);
    assert_eq!(report(&mut state, at(5), 10 * MILLIS), None);
    assert!(!state.is_overloaded(at(5)), "the overload is over");
    assert_eq!(state.recovering_until(), at(0) + RECOVERY);
}

#[test]
fn growth_above_the_objective_demands_migration_and_a_falling_latency_does_not() {
    let mut state = LatencyOverload::default();
    let first = report(&mut state, at(1), 200 * MILLIS).expect("above the objective");
    assert_eq!(first, MigrationDemand { fraction: 0.2 + 0.15, is_confirmed: false });
    assert_eq!(report(&mut state, at(2), 150 * MILLIS), None, "falling");
    let grown = report(&mut state, at(3), 900 * MILLIS).expect("above the objective");
    assert_eq!(grown, MigrationDemand { fraction: 0.3 + 0.15, is_confirmed: true });
    let late = report(&mut state, at(4) + REPORT_VALIDITY, 200 * MILLIS).expect("above the objective");
    assert!(!late.is_confirmed, "the previous report has expired");
}

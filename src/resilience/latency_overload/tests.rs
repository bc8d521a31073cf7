use super::{LatencyOverload, MigrationDemand, Nanos, REPORT_VALIDITY};

const MILLIS: Nanos = 1_000_000;
const OBJECTIVE: Nanos = 100 * MILLIS;
const RECOVERY: Nanos = 10_000 * MILLIS;

fn report(state: &mut LatencyOverload, now: Nanos, latency: Nanos) -> Option<MigrationDemand> {
    state.on_report(now, latency, OBJECTIVE, RECOVERY)
}

#[test]
fn a_report_ejects_until_it_is_overdue_and_the_recovery_lasts_longer() {
    let mut state = LatencyOverload::default();
    assert_eq!(report(&mut state, 0, 40 * MILLIS), None, "below the objective");
    assert!(state.is_overloaded(REPORT_VALIDITY - 1) && !state.is_overloaded(REPORT_VALIDITY));
    assert_eq!(state.recovering_until(), RECOVERY);
    assert_eq!(report(&mut state, 5, 10 * MILLIS), None);
    assert!(!state.is_overloaded(5), "the overload is over");
    assert_eq!(state.recovering_until(), RECOVERY);
}

#[test]
fn growth_above_the_objective_demands_migration_and_a_falling_latency_does_not() {
    let mut state = LatencyOverload::default();
    let first = report(&mut state, 1, 200 * MILLIS).expect("above the objective");
    assert_eq!(first, MigrationDemand { fraction: 0.2 + 0.15, is_confirmed: false });
    assert_eq!(report(&mut state, 2, 150 * MILLIS), None, "falling");
    let grown = report(&mut state, 3, 900 * MILLIS).expect("above the objective");
    assert_eq!(grown, MigrationDemand { fraction: 0.3 + 0.15, is_confirmed: true });
    let late = report(&mut state, 4 + REPORT_VALIDITY, 200 * MILLIS).expect("above the objective");
    assert!(!late.is_confirmed, "the report before is no longer valid");
}

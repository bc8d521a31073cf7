//! Unit tests of the timing of drain, shutdown and handover, and of their combinations.

use super::{Activity, Lifecycle, MigrationStep, ShuttingDownError, MIGRATION_STEP_INTERVAL};
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const NANOSECOND: Duration = Duration::from_nanos(1);
const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

/// The time at this duration after the clock's origin.
fn at(since_origin: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + since_origin
}

/// The number of clients that a step migrates.
fn migrations(step: MigrationStep) -> usize {
    match step {
        MigrationStep::NotStarted => 0,
        MigrationStep::Migrate { clients, .. } => clients,
    }
}

/// Runs the migration steps from a time on. Returns the duration until the last client was migrated.
fn time_to_migrate(lifecycle: &Lifecycle, from: MonotonicTime, mut established: usize) -> Duration {
    let mut now = from;
    while established > 0 {
        now += MIGRATION_STEP_INTERVAL;
        let step = lifecycle.migration_step(now, established).expect("clients are migrated");
        assert!(migrations(step) <= established && now < from + 10 * SECOND);
        established -= migrations(step);
    }
    now.saturating_duration_since(from)
}

#[rstest]
#[case(1)]
#[case(40)]
#[case(1_000)]
#[case(100_000)]
fn a_drain_migrates_evenly_and_completes_before_its_end(#[case] established: usize) {
    let mut lifecycle = Lifecycle::default();
    assert!(lifecycle.accepts_clients() && lifecycle.migration_step(at(SECOND), established).is_none());
    assert!(lifecycle.drain(at(SECOND)) && !lifecycle.accepts_clients());
    assert_eq!(
        lifecycle.migration_step(at(SECOND + 299 * MILLISECOND), established),
        Some(MigrationStep::NotStarted),
        "migrated clients would be sent back to this node"
    );
    let took = time_to_migrate(&lifecycle, at(SECOND), established);
    assert!(took <= 3_600 * MILLISECOND, "{took:?}");
    let half =
        migrations(lifecycle.migration_step(at(SECOND + 2 * SECOND), established).expect("a migration step"));
    assert!(half <= established.div_ceil(60), "{half} of {established} in one step");
    assert!(!lifecycle.should_exit(at(100 * SECOND), Activity::Idle), "a drained process keeps running");
    // A client that is established later is migrated at the next step.
    assert_eq!(
        lifecycle.migration_step(at(60 * SECOND), 7),
        Some(MigrationStep::Migrate {
            clients: 7,
            fail_arrived_before: Some(at(SECOND + 3_600 * MILLISECOND))
        })
    );
}

#[test]
fn a_second_drain_changes_nothing_and_resume_ends_a_drain_at_any_point() {
    let mut lifecycle = Lifecycle::default();
    assert_eq!(lifecycle.resume(), Ok(false));
    assert!(lifecycle.drain(at(SECOND)));
    let before = lifecycle;
    assert!(!lifecycle.drain(at(3 * SECOND)));
    assert_eq!(lifecycle, before);
    assert_eq!(lifecycle.resume(), Ok(true));
    assert!(lifecycle.accepts_clients() && lifecycle.migration_step(at(4 * SECOND), 9).is_none());
    assert!(lifecycle.drain(at(10 * SECOND)));
    assert_eq!(
        lifecycle.migration_step(at(10 * SECOND), 9),
        Some(MigrationStep::NotStarted),
        "a new drain has its own schedule"
    );
}

#[rstest]
// After SIGTERM at 1 s the process ends at 2.7 s; a drain at 1 s has migrated all clients at 4.6 s.
#[case::sigterm_in_a_drain(at(SECOND), at(2 * SECOND), at(2_500 * MILLISECOND + SECOND))]
#[case::sigterm_long_after_a_drain(at(SECOND), at(20 * SECOND), at(4_600 * MILLISECOND))]
#[case::drain_after_sigterm(at(5 * SECOND), at(SECOND), at(2_500 * MILLISECOND))]
fn a_drain_and_a_sigterm_combine_to_the_earlier_end(
    #[case] drain: MonotonicTime,
    #[case] sigterm: MonotonicTime,
    #[case] migrated_by: MonotonicTime,
) {
    let mut lifecycle = Lifecycle::default();
    if drain < sigterm {
        assert!(lifecycle.drain(drain) && lifecycle.shut_down(sigterm, 1_200 * MILLISECOND));
    } else {
        assert!(lifecycle.shut_down(sigterm, 1_200 * MILLISECOND) && lifecycle.drain(drain));
    }
    assert!(!lifecycle.shut_down(sigterm + NANOSECOND, Duration::ZERO) && !lifecycle.accepts_clients());
    assert_eq!(lifecycle.resume(), Err(ShuttingDownError));
    assert!(!lifecycle.should_exit(migrated_by - NANOSECOND, Activity::Idle));
    assert!(lifecycle.should_exit(migrated_by.max(sigterm), Activity::Idle));
    assert!(
        !lifecycle.should_exit(sigterm + 1_699 * MILLISECOND, Activity::Busy)
            && lifecycle.should_exit(sigterm + 1_700 * MILLISECOND, Activity::Busy)
    );
}

#[rstest]
#[case::serving(false)]
#[case::drained(true)]
fn with_a_successor_sigterm_ends_the_process_and_losing_it_restores_the_phase(#[case] drained: bool) {
    let mut lifecycle = Lifecycle::default();
    if drained {
        lifecycle.drain(at(SECOND));
    }
    lifecycle.hand_over(at(2 * SECOND), 1_200 * MILLISECOND);
    assert_eq!((lifecycle.accepts_clients(), lifecycle.is_shutting_down()), (!drained, true));
    assert_eq!(lifecycle.resume(), Err(ShuttingDownError));
    // Connections that cannot be transferred are migrated, and the process waits for SIGTERM for a bounded time.
    assert!(time_to_migrate(&lifecycle, at(2 * SECOND), 100) <= 1_500 * MILLISECOND);
    assert!(
        !lifecycle.should_exit(at(11 * SECOND), Activity::Idle)
            && lifecycle.should_exit(at(12 * SECOND), Activity::Idle)
    );
    let mut without_successor = lifecycle;
    without_successor.successor_lost(at(3 * SECOND));
    assert_eq!(
        (without_successor.accepts_clients(), without_successor.is_shutting_down()),
        (!drained, false)
    );
    assert!(!without_successor.should_exit(at(60 * SECOND), Activity::Idle));
    assert!(lifecycle.shut_down(at(3 * SECOND), 1_200 * MILLISECOND));
    assert!(lifecycle.should_exit(at(3 * SECOND), Activity::Idle), "no new client arrives");
    assert!(!lifecycle.should_exit(at(4 * SECOND), Activity::Busy));
    assert!(lifecycle.should_exit(at(4_700 * MILLISECOND), Activity::Busy));
    // The successor is lost after SIGTERM: clients that arrive until the exit are served here again.
    lifecycle.successor_lost(at(3_100 * MILLISECOND));
    assert!(lifecycle.is_shutting_down() && !lifecycle.should_exit(at(3_200 * MILLISECOND), Activity::Idle));
}

#[rstest]
#[case(1_200 * MILLISECOND, 1_900 * MILLISECOND)]
#[case(60 * SECOND, 3_700 * MILLISECOND)]
fn sigterm_answers_and_migrates_before_sigkill(#[case] longest: Duration, #[case] kill: Duration) {
    let mut lifecycle = Lifecycle::default();
    assert!(lifecycle.shut_down(at(SECOND), longest) && lifecycle.accepts_clients(), "clients still arrive");
    assert!(time_to_migrate(&lifecycle, at(SECOND), 500) <= kill - 400 * MILLISECOND);
    let fail_arrived_before = |ms: u32| {
        let now = at(SECOND + kill - ms * MILLISECOND);
        match lifecycle.migration_step(now, 0).expect("a migration step") {
            MigrationStep::Migrate { fail_arrived_before, .. } => fail_arrived_before,
            MigrationStep::NotStarted => panic!("migration has not started"),
        }
    };
    assert_eq!((fail_arrived_before(251), fail_arrived_before(250)), (None, Some(MonotonicTime::MAX)));
    let exit_by = at(SECOND + kill - 200 * MILLISECOND);
    assert!(
        !lifecycle.should_exit(exit_by - NANOSECOND, Activity::Busy)
            && lifecycle.should_exit(exit_by, Activity::Busy)
    );
}

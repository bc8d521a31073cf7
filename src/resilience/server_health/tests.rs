use super::{LatencyResponse, ServerHealth};
use crate::model::{DedupScope, Effect, ListKind, Outcome, RequestClass, Settings};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const MILLIS: Duration = Duration::from_millis(1);

/// The instant this many milliseconds after the origin of the clock.
fn at_ms(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn class(message_latency_objective: Option<Duration>) -> RequestClass {
    RequestClass {
        objective: Duration::from_nanos(1),
        hard_limit: Duration::from_nanos(1),
        effect: Effect::ReadLike,
        dedup_scope: DedupScope::All,
        dedup_window: Duration::ZERO,
        priority_weight: 1.0,
        message_latency_objective,
    }
}

fn report(
    health: &mut ServerHealth,
    now: MonotonicTime,
    latency: Duration,
    health_checks: bool,
) -> LatencyResponse {
    let classes = vec![class(Some(900 * MILLIS)), class(None), class(Some(100 * MILLIS))];
    let settings =
        Settings { classes, slow_start_duration: 10_000 * MILLIS, health_checks, ..Settings::default() };
    health.on_latency_report(&settings, now, latency)
}

#[test]
fn without_an_objective_reports_have_no_effect() {
    let mut health = ServerHealth::default();
    let settings = Settings { classes: vec![class(None)], ..Settings::default() };
    assert_eq!(
        health.on_latency_report(&settings, at_ms(0), Duration::from_nanos(u64::MAX)),
        LatencyResponse::None
    );
    assert_eq!(health, ServerHealth::default());
}

#[test]
fn one_health_check_decides_on_the_first_report_above_the_objective() {
    let mut health = ServerHealth::default();
    assert_eq!(report(&mut health, at_ms(0), 200 * MILLIS, true), LatencyResponse::CheckHealth);
    assert!(!health.is_available(at_ms(0)));
    // The previous report has expired, and the health check is still in progress.
    assert_eq!(report(&mut health, at_ms(3_000), 200 * MILLIS, true), LatencyResponse::None);
    assert_eq!(health.on_health_check(Some(1.2)), Some(0.2 + 0.15));
    assert_eq!(health.on_health_check(Some(0.9)), None);
    assert_eq!(report(&mut health, at_ms(6_000), 200 * MILLIS, true), LatencyResponse::CheckHealth);
    assert_eq!(health.on_health_check(None), None);
}

#[test]
fn without_health_checks_the_first_report_above_the_objective_migrates() {
    let mut health = ServerHealth::default();
    assert_eq!(report(&mut health, at_ms(0), 200 * MILLIS, false), LatencyResponse::Migrate(0.2 + 0.15));
}

#[test]
fn a_restart_clears_resets_and_ejection() {
    let now = MonotonicTime::from_nanos(5);
    let mut health = ServerHealth::default();
    health.on_connection_ended(now, Outcome::Reset, || u64::MAX);
    health.on_attempt_ended(now, Outcome::ConnectFailed, || u64::MAX);
    health.on_listed(ListKind::Full);
    assert!(health.recent_resets(now) == 1.0 && !health.is_available(now));
    health.on_restarted();
    health.on_listed(ListKind::Full);
    assert!(health.recent_resets(now) == 0.0 && health.is_available(now));
}

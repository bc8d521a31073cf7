//! Tests of the exact times at which idle timeouts take effect.

use super::IdleTimer;
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_nanos(1_000);
const TIMEOUT: Duration = Duration::from_secs(10);
const NANOSECOND: Duration = Duration::from_nanos(1);

#[rstest]
fn a_peer_times_out_only_after_the_timeout_has_passed() {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    assert!(!timer.has_peer_timed_out(START + TIMEOUT));
    assert_eq!(timer.receive_deadline(), Some(START + TIMEOUT + NANOSECOND));
    assert!(timer.has_peer_timed_out(START + TIMEOUT + NANOSECOND));
    timer.on_received(START + NANOSECOND);
    assert!(!timer.has_peer_timed_out(START + TIMEOUT + NANOSECOND));
}

#[rstest]
fn a_peer_never_times_out_without_a_local_timeout() {
    let timer = IdleTimer::new(START, Duration::ZERO);
    assert!(!timer.has_peer_timed_out(MonotonicTime::MAX));
    assert_eq!(timer.receive_deadline(), None);
}

#[rstest]
#[case::announced(Some(1_000), Duration::from_millis(500))]
#[case::below_the_minimum(Some(100), Duration::from_millis(200))]
fn a_heartbeat_is_due_at_half_of_the_remote_timeout(#[case] timeout_ms: Option<u32>, #[case] half: Duration) {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    timer.set_remote_timeout(timeout_ms);
    assert_eq!(timer.heartbeat_deadline(), Some(START + half));
    assert!(timer.is_heartbeat_due(START + half) && !timer.is_heartbeat_due(START + half - NANOSECOND));
    timer.on_sent(START + half);
    assert!(!timer.is_heartbeat_due(START + half));
}

#[rstest]
#[case::absent(None)]
#[case::zero(Some(0))]
fn no_heartbeat_is_due_without_a_remote_timeout(#[case] timeout_ms: Option<u32>) {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    timer.set_remote_timeout(timeout_ms);
    assert_eq!(timer.heartbeat_deadline(), None);
    assert!(!timer.is_heartbeat_due(MonotonicTime::MAX));
}

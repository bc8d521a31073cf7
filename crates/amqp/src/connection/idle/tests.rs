//! The instants at which idle timeouts take effect.

use super::IdleTimer;
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::from_nanos(1_000);
const TIMEOUT: Duration = Duration::from_secs(10);
const NANOSECOND: Duration = Duration::from_nanos(1);

#[rstest]
fn a_peer_is_silent_after_its_timeout_and_not_at_it() {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    assert!(!timer.is_peer_silent(START + TIMEOUT));
    assert_eq!(timer.peer_deadline(), Some(START + TIMEOUT + NANOSECOND));
    assert!(timer.is_peer_silent(START + TIMEOUT + NANOSECOND));
    timer.on_received(START + NANOSECOND);
    assert!(!timer.is_peer_silent(START + TIMEOUT + NANOSECOND));
}

#[rstest]
fn without_a_timeout_a_peer_may_be_silent_for_ever() {
    let timer = IdleTimer::new(START, Duration::ZERO);
    assert!(!timer.is_peer_silent(MonotonicTime::MAX));
    assert_eq!(timer.peer_deadline(), None);
}

#[rstest]
#[case::announced(Some(1_000), Duration::from_millis(500))]
#[case::shorter_than_honoured(Some(100), Duration::from_millis(200))]
fn a_heartbeat_is_due_at_half_of_the_peers_timeout(#[case] timeout_ms: Option<u32>, #[case] half: Duration) {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    timer.set_peer_timeout(timeout_ms);
    assert_eq!(timer.heartbeat_deadline(), Some(START + half));
    assert!(timer.is_heartbeat_due(START + half) && !timer.is_heartbeat_due(START + half - NANOSECOND));
    timer.on_sent(START + half);
    assert!(!timer.is_heartbeat_due(START + half));
}

#[rstest]
#[case::absent(None)]
#[case::zero(Some(0))]
fn a_peer_without_a_timeout_needs_no_heartbeat(#[case] timeout_ms: Option<u32>) {
    let mut timer = IdleTimer::new(START, TIMEOUT);
    timer.set_peer_timeout(timeout_ms);
    assert_eq!(timer.heartbeat_deadline(), None);
    assert!(!timer.is_heartbeat_due(MonotonicTime::MAX));
}

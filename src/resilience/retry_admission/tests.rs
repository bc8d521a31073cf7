use super::{Admission, AttemptKind, Notice, Outcome, RetryAdmission, MIN_WINDOW};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const OBJECTIVE: Duration = Duration::from_nanos(100);
/// The slowest set-up that is fast for this objective.
const FAST: Duration = Duration::from_nanos(50);

/// The instant this many nanoseconds after the origin of the clock.
fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

/// After a start one retry is sent at a time; fast set-ups widen the window in a few steps.
#[test]
fn fast_set_ups_widen_the_window() {
    let mut admission = RetryAdmission::default();
    assert_eq!(admission.decide(at(0), AttemptKind::Retry, Admission::Admitted), Admission::Admitted);
    admission.on_sent(at(0));
    assert_eq!(
        admission.decide(at(1), AttemptKind::Retry, Admission::Admitted),
        Admission::Queued,
        "one is in flight"
    );
    assert_eq!(
        admission.decide(at(1), AttemptKind::First, Admission::Admitted),
        Admission::Admitted,
        "a new client's first attempt never waits"
    );
    (0..6).for_each(|_| assert_eq!(admission.on_established(FAST, OBJECTIVE), None));
    let mut previous = Admission::Queued;
    for _ in 0..11 {
        assert_eq!(admission.decide(at(2), AttemptKind::Retry, previous), Admission::Admitted);
        previous = Admission::Admitted;
        admission.on_sent(at(2));
    }
    assert_eq!(
        admission.decide(at(3), AttemptKind::Retry, Admission::Admitted),
        Admission::Queued,
        "eleven are in flight"
    );
}

/// Starts with a window that fast set-ups have widened; failures narrow it again, each independent one once.
#[test]
fn failures_start_the_throttling_and_fast_set_ups_end_it() {
    let mut admission = RetryAdmission::default();
    (0..6).for_each(|_| assert_eq!(admission.on_established(FAST, OBJECTIVE), None));
    for (sent_at, now) in [(2, 10), (10, 11), (11, 12), (12, 13)] {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, at(sent_at), at(now)), None);
        assert_eq!(admission.throttled_rate(), None);
    }
    // This attempt was sent before the last failure was recorded: it does not narrow the window again.
    assert_eq!(admission.on_attempt_ended(Outcome::Timeout, at(12), at(14)), None);
    assert_eq!(admission.throttled_rate(), None);
    assert_eq!(admission.on_attempt_ended(Outcome::Error, at(13), at(14)), Some(Notice::PacingStarted));
    (14..20).map(at).for_each(|time| {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, time, time), None, "reported once");
    });
    assert_eq!(admission.throttled_rate(), Some(0.5));
    assert_eq!(admission.on_established(FAST, OBJECTIVE), None);
    let slow = FAST + Duration::from_nanos(1);
    assert_eq!(admission.on_established(slow, OBJECTIVE), None, "a slow set-up narrows the window");
    assert_eq!(admission.on_established(FAST, OBJECTIVE), None);
    assert_eq!(admission.on_established(FAST, OBJECTIVE), Some(Notice::PacingEnded));
    assert_eq!(admission.throttled_rate(), None);
}

#[test]
fn the_notices_describe_the_state() {
    assert!(Notice::PacingStarted.to_string().contains("establishment fails"));
    assert_eq!(Notice::PacingEnded.to_string(), "connection establishment has recovered, pacing ended");
}

/// Each queued request is counted once, and one that cannot be sent before its deadline is detected.
#[test]
fn queued_requests_are_counted_and_missed_deadlines_are_detected() {
    let mut admission = RetryAdmission { window: MIN_WINDOW, throttled: true, ..RetryAdmission::default() };
    admission.on_sent(at(500));
    let interval = Duration::from_nanos(100);
    for _ in 0..3 {
        assert_eq!(admission.decide(at(10), AttemptKind::Retry, Admission::Admitted), Admission::Queued);
        assert_eq!(admission.decide(at(20), AttemptKind::Retry, Admission::Queued), Admission::Queued);
    }
    assert_eq!(admission.queue_delay(interval), 3 * interval);
    assert!(
        admission.misses_deadline(at(20), interval, at(320))
            && !admission.misses_deadline(at(20), interval, at(321))
    );
    assert!(
        !admission.misses_deadline(at(500), interval, at(320)),
        "the interval has elapsed: the request may be sent"
    );
    assert_eq!(admission.on_attempt_ended(Outcome::ConnectFailed, at(500), at(500)), None);
    assert_eq!(admission.decide(at(500), AttemptKind::Retry, Admission::Queued), Admission::Admitted);
    admission.dequeue(Admission::Queued);
    assert_eq!(admission.queue_delay(interval), interval, "one of three is left");
}

use super::{Admission, Outcome, RetryAdmission, ThrottleChange, MIN_WINDOW};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The instant this many nanoseconds after the origin of the clock.
fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

/// After a start one retry goes at a time; fast set-ups widen the window in a few steps, and slow or failed ones
/// narrow it as fast.
#[test]
fn the_window_follows_how_fast_set_ups_succeed() {
    let mut admission = RetryAdmission::default();
    assert_eq!(admission.decide(at(0), true, false), Admission::Admitted);
    admission.on_sent(at(0));
    assert_eq!(admission.decide(at(1), true, false), Admission::Queued, "one is in flight");
    assert_eq!(
        admission.decide(at(1), false, false),
        Admission::Admitted,
        "a new client's first attempt never waits"
    );
    (0..6).for_each(|_| assert_eq!(admission.on_established(true), None));
    let mut was_queued = true;
    for _ in 0..11 {
        assert_eq!(admission.decide(at(2), true, was_queued), Admission::Admitted);
        was_queued = false;
        admission.on_sent(at(2));
    }
    assert_eq!(admission.decide(at(3), true, false), Admission::Queued, "eleven are in flight");
    for (sent_at, now) in [(2, 10), (10, 11), (11, 12), (12, 13)] {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, at(sent_at), at(now)), None);
        assert_eq!(admission.throttled_rate(), None);
    }
    // What was sent before that failure was known tells nothing new.
    assert_eq!(admission.on_attempt_ended(Outcome::Timeout, at(12), at(14)), None);
    assert_eq!(admission.throttled_rate(), None);
    assert_eq!(admission.on_attempt_ended(Outcome::Error, at(13), at(14)), Some(ThrottleChange::Started));
    (14..20).map(at).for_each(|time| {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, time, time), None, "reported once");
    });
    assert_eq!(admission.throttled_rate(), Some(0.5));
    assert_eq!(admission.on_established(true), None);
    assert_eq!(admission.on_established(true), Some(ThrottleChange::Ended));
    assert_eq!(admission.throttled_rate(), None);
}

#[test]
fn the_log_lines_name_the_state() {
    assert!(ThrottleChange::Started.to_string().contains("establishment fails"));
    assert_eq!(ThrottleChange::Ended.to_string(), "connection establishment has recovered, pacing ended");
}

/// Queued requests are counted once each, and one that cannot be sent before its deadline is found.
#[test]
fn queued_requests_are_counted_and_missed_deadlines_found() {
    let mut admission = RetryAdmission { window: MIN_WINDOW, throttled: true, ..RetryAdmission::default() };
    admission.on_sent(at(500));
    let interval = Duration::from_nanos(100);
    for _ in 0..3 {
        assert_eq!(admission.decide(at(10), true, false), Admission::Queued);
        assert_eq!(admission.decide(at(20), true, true), Admission::Queued);
    }
    assert_eq!(admission.queue_delay(interval), 3 * interval);
    assert!(
        admission.misses_deadline(at(20), interval, at(320))
            && !admission.misses_deadline(at(20), interval, at(321))
    );
    assert!(!admission.misses_deadline(at(500), interval, at(320)), "the interval is over: it may be sent");
    assert_eq!(admission.on_attempt_ended(Outcome::ConnectFailed, at(500), at(500)), None);
    assert_eq!(admission.decide(at(500), true, true), Admission::Admitted);
    admission.dequeue(true);
    assert_eq!(admission.queue_delay(interval), interval, "one of three is left");
}

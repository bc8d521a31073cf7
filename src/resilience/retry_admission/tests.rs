use super::{Admission, Outcome, RetryAdmission, ThrottleChange, MIN_WINDOW};

/// After a start one retry goes at a time; fast set-ups widen the window in a few steps, and slow or failed ones
/// narrow it as fast.
#[test]
fn the_window_follows_how_fast_set_ups_succeed() {
    let mut admission = RetryAdmission::default();
    assert_eq!(admission.decide(0, true, false), Admission::Admitted);
    admission.on_sent(0);
    assert_eq!(admission.decide(1, true, false), Admission::Queued, "one is in flight");
    assert_eq!(
        admission.decide(1, false, false),
        Admission::Admitted,
        "a new client's first attempt never waits"
    );
    (0..6).for_each(|_| assert_eq!(admission.on_established(true), None));
    let mut was_queued = true;
    for _ in 0..11 {
        assert_eq!(admission.decide(2, true, was_queued), Admission::Admitted);
        was_queued = false;
        admission.on_sent(2);
    }
    assert_eq!(admission.decide(3, true, false), Admission::Queued, "eleven are in flight");
    for (sent_at, now) in [(2, 10), (10, 11), (11, 12), (12, 13)] {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, sent_at, now), None);
        assert_eq!(admission.throttled_rate(), None);
    }
    // What was sent before that failure was known tells nothing new.
    assert_eq!(admission.on_attempt_ended(Outcome::Timeout, 12, 14), None);
    assert_eq!(admission.throttled_rate(), None);
    assert_eq!(admission.on_attempt_ended(Outcome::Error, 13, 14), Some(ThrottleChange::Started));
    (14..20).for_each(|at| {
        assert_eq!(admission.on_attempt_ended(Outcome::Timeout, at, at), None, "reported once");
    });
    assert_eq!(admission.throttled_rate(), Some(0.5));
    assert_eq!(admission.on_established(true), None);
    assert_eq!(admission.on_established(true), Some(ThrottleChange::Ended));
    assert_eq!(admission.throttled_rate(), None);
}

#[test]
fn the_log_lines_name_the_state() {
    assert!(ThrottleChange::Started.to_string().contains("set-ups fail"));
    assert_eq!(ThrottleChange::Ended.to_string(), "connection set-ups succeed again");
}

/// Queued requests are counted once each, and one that cannot be sent before its deadline is found.
#[test]
fn queued_requests_are_counted_and_missed_deadlines_found() {
    let mut admission = RetryAdmission { window: MIN_WINDOW, throttled: true, ..RetryAdmission::default() };
    admission.on_sent(500);
    for _ in 0..3 {
        assert_eq!(admission.decide(10, true, false), Admission::Queued);
        assert_eq!(admission.decide(20, true, true), Admission::Queued);
    }
    assert_eq!(admission.queue_delay(100), 300);
    assert!(admission.misses_deadline(20, 100, 320) && !admission.misses_deadline(20, 100, 321));
    assert!(!admission.misses_deadline(500, 100, 320), "the interval is over: it may be sent");
    assert_eq!(admission.on_attempt_ended(Outcome::ConnectFailed, 500, 500), None);
    assert_eq!(admission.decide(500, true, true), Admission::Admitted);
    admission.dequeue(true);
    assert_eq!(admission.queue_delay(100), 100, "one of three is left");
}

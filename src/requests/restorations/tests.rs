use super::{Restorations, RestoreInputs, LAST_ATTEMPT_TIME, MAX_CONNECT_TIMEOUT, UNSENT_BACKOFF_CAP};
use crate::model::{DedupScope, Effect, Outcome, RequestClass, RequestId, ServerId, Settings};
use crate::rules::RetryRefusal;
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const ID: RequestId = RequestId(1);
const SERVER: ServerId = ServerId(2);
const START: MonotonicTime = MonotonicTime::from_nanos(1_000_000_000);
const TIME: Duration = Duration::from_secs(40);
const DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEDUP_WINDOW: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: u32 = 3;

fn settings(effect: Effect) -> Settings {
    let class = RequestClass {
        effect,
        dedup_scope: DedupScope::All,
        dedup_window: DEDUP_WINDOW,
        objective: Duration::from_millis(300),
        hard_limit: Duration::from_millis(1_200),
        priority_weight: 1.0,
        message_latency_objective: None,
    };
    Settings {
        classes: vec![class],
        max_attempts: MAX_ATTEMPTS,
        dial_timeout: DIAL_TIMEOUT,
        ..Settings::default()
    }
}

fn inputs(now: MonotonicTime) -> RestoreInputs {
    RestoreInputs { now, deadline: START + TIME, class: 0 }
}

fn restorations(effect: Effect) -> Restorations {
    let mut restorations = Restorations::new(7, settings(effect));
    restorations.insert(ID);
    restorations
}

/// Makes an attempt whose line is sent, and returns what follows its end.
fn sent_attempt(
    restorations: &mut Restorations,
    now: MonotonicTime,
    outcome: Outcome,
) -> Result<Duration, RetryRefusal> {
    restorations.start_attempt(ID, inputs(now))?;
    restorations.on_sent(now, ID, SERVER);
    restorations.on_attempt_ended(ID, Some(SERVER), outcome, inputs(now))
}

#[rstest]
fn attempts_that_were_not_sent_are_repeated_until_the_deadline(
    #[values(Effect::ReadLike, Effect::IdempotencyKey, Effect::NonIdempotent)] effect: Effect,
    #[values(Outcome::ConnectFailed, Outcome::LocalShortage, Outcome::NotSent)] outcome: Outcome,
) {
    let mut restorations = restorations(effect);
    let mut now = START;
    let mut attempts = 0;
    let refusal = loop {
        if let Err(refusal) = restorations.start_attempt(ID, inputs(now)) {
            break refusal;
        }
        attempts += 1;
        match restorations.on_attempt_ended(ID, None, outcome, inputs(now)) {
            Ok(backoff) => {
                assert!(backoff <= UNSENT_BACKOFF_CAP, "{backoff:?}");
                now = now + backoff + Duration::from_millis(1);
            }
            Err(refusal) => break refusal,
        }
    };
    assert_eq!(refusal, RetryRefusal::DeadlinePassed);
    assert!(now >= START + TIME && attempts > MAX_ATTEMPTS, "{attempts} attempts until {now:?}");
}

#[test]
fn the_time_for_connecting_doubles_up_to_a_limit() {
    let mut restorations = restorations(Effect::ReadLike);
    let mut start = || restorations.start_attempt(ID, inputs(START)).expect("an attempt").connect;
    let timeouts: Vec<Duration> = (0..6).map(|_| start()).collect();
    let doubled = [1, 2, 4, 8, 16].map(|factor| factor * DIAL_TIMEOUT);
    assert_eq!(timeouts[..5], doubled);
    assert_eq!(timeouts[5], MAX_CONNECT_TIMEOUT);
}

#[rstest]
fn attempts_that_were_sent_are_limited_and_leave_time_for_the_next_one(
    #[values(Outcome::Rejected, Outcome::Reset, Outcome::Error, Outcome::Cancelled)] outcome: Outcome,
) {
    let mut restorations = restorations(Effect::ReadLike);
    let mut now = START;
    for _ in 1..MAX_ATTEMPTS {
        now = now + sent_attempt(&mut restorations, now, outcome).expect("another attempt");
    }
    assert!(now < START + TIME / 2, "the last attempt starts at {now:?}");
    let last = sent_attempt(&mut restorations, now, outcome);
    assert_eq!(last, Err(RetryRefusal::AttemptsUsed));
}

#[test]
fn a_session_that_may_have_run_is_not_sent_again_if_its_class_is_not_idempotent() {
    let rejected = sent_attempt(&mut restorations(Effect::NonIdempotent), START, Outcome::Rejected);
    assert!(rejected.is_ok(), "the server has not run it");
    let mut restorations = restorations(Effect::NonIdempotent);
    let reset = sent_attempt(&mut restorations, START, Outcome::Reset);
    assert_eq!(reset, Err(RetryRefusal::MayHaveRun));
    assert!(!restorations.may_reject(ID, 0));
}

#[test]
fn a_session_with_an_idempotency_key_is_sent_again_only_within_the_deduplication_window() {
    let mut restorations = restorations(Effect::IdempotencyKey);
    let backoff = sent_attempt(&mut restorations, START, Outcome::Reset).expect("another attempt");
    assert!(backoff < DEDUP_WINDOW - DIAL_TIMEOUT, "{backoff:?}");
    let send_by = restorations.send_by(ID, inputs(START));
    assert!(send_by < START + DEDUP_WINDOW);
    let late = restorations.start_attempt(ID, inputs(START + DEDUP_WINDOW));
    assert_eq!(late, Err(RetryRefusal::MayHaveRun));
}

#[rstest]
#[case(Effect::ReadLike, Duration::ZERO, TIME - LAST_ATTEMPT_TIME)]
#[case(Effect::ReadLike, TIME - LAST_ATTEMPT_TIME, LAST_ATTEMPT_TIME)]
#[case(Effect::IdempotencyKey, Duration::ZERO, TIME)]
#[case(Effect::NonIdempotent, Duration::ZERO, TIME)]
fn an_attempt_without_an_answer_leaves_time_for_one_more_if_that_is_harmless(
    #[case] effect: Effect,
    #[case] after: Duration,
    #[case] expected: Duration,
) {
    let started = restorations(effect).start_attempt(ID, inputs(START + after)).expect("an attempt");
    assert_eq!(started.answer, expected);
}

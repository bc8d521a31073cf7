use super::{deduplicates, AttemptHistory, PossibleRun};
use crate::model::{DedupScope, Effect, Location, Outcome, RequestClass, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const DIAL_TIMEOUT: Duration = Duration::from_nanos(10);

/// The instant this many nanoseconds after the origin of the clock.
fn at(nanos: u64) -> MonotonicTime {
    MonotonicTime::from_nanos(nanos)
}

fn class(effect: Effect, dedup_scope: DedupScope) -> RequestClass {
    RequestClass {
        objective: Duration::from_nanos(1),
        hard_limit: Duration::from_nanos(1),
        effect,
        dedup_scope,
        dedup_window: Duration::from_nanos(50),
        priority_weight: 1.0,
        message_latency_objective: None,
    }
}

fn history(outcome: Outcome) -> AttemptHistory {
    let mut history = AttemptHistory::default();
    history.on_sent(ServerId(0), at(100));
    history.on_ended(ServerId(0), outcome);
    history
}

#[rstest::rstest]
#[case(Effect::ReadLike, Outcome::Timeout, 1_000, true)]
#[case(Effect::NonIdempotent, Outcome::ConnectFailed, 1_000, true)]
#[case(Effect::NonIdempotent, Outcome::Timeout, 100, false)]
#[case(Effect::IdempotencyKey, Outcome::Timeout, 139, true)]
#[case(Effect::IdempotencyKey, Outcome::Timeout, 140, false)]
fn a_retry_is_safe_while_servers_discard_it(
    #[case] effect: Effect,
    #[case] outcome: Outcome,
    #[case] now: u64,
    #[case] is_safe: bool,
) {
    let class = class(effect, DedupScope::All);
    assert_eq!(history(outcome).may_retry(&class, at(now), DIAL_TIMEOUT), is_safe);
}

#[rstest::rstest]
#[case(Effect::ReadLike, DedupScope::Cell, Outcome::Reset, true)]
#[case(Effect::IdempotencyKey, DedupScope::All, Outcome::Reset, true)]
#[case(Effect::IdempotencyKey, DedupScope::Zone, Outcome::Reset, false)]
#[case(Effect::IdempotencyKey, DedupScope::Zone, Outcome::NotSent, true)]
#[case(Effect::NonIdempotent, DedupScope::All, Outcome::Reset, false)]
fn a_rejection_requires_that_any_server_may_take_the_retry(
    #[case] effect: Effect,
    #[case] dedup_scope: DedupScope,
    #[case] outcome: Outcome,
    #[case] is_safe: bool,
) {
    assert_eq!(history(outcome).may_reject(&class(effect, dedup_scope)), is_safe);
}

#[rstest::rstest]
#[case(DedupScope::All, 1, 1, true)]
#[case(DedupScope::Zone, 0, 1, true)]
#[case(DedupScope::Zone, 1, 0, false)]
#[case(DedupScope::Cell, 0, 0, true)]
#[case(DedupScope::Cell, 0, 1, false)]
#[case(DedupScope::Cell, 1, 0, false)]
fn retries_stay_in_the_dedup_scope(
    #[case] dedup_scope: DedupScope,
    #[case] zone: u32,
    #[case] cell: u32,
    #[case] allowed: bool,
) {
    let first = Location { zone: 0, cell: 0 };
    let location = Location { zone, cell };
    assert_eq!(deduplicates(&class(Effect::IdempotencyKey, dedup_scope), first, location), allowed);
    assert!(deduplicates(&class(Effect::ReadLike, dedup_scope), first, location));
}

#[test]
fn the_first_possible_run_is_kept_and_attempts_are_counted() {
    let mut history = history(Outcome::ConnectFailed);
    assert_eq!((history.count(), history.first_possible_run()), (1, None));
    for (server, sent_at) in [(ServerId(1), 200), (ServerId(2), 300)] {
        history.on_sent(server, at(sent_at));
        history.on_ended(server, Outcome::Timeout);
    }
    let first = PossibleRun { server: ServerId(1), sent_at: at(200) };
    assert_eq!((history.count(), history.first_possible_run()), (3, Some(first)));
    assert!(history.has_tried(ServerId(0)) && !history.has_tried(ServerId(3)));
    assert_eq!(history.last_sent_at(), at(300));
}

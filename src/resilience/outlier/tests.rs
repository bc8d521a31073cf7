use super::{uniform_duration_up_to, OutlierState, EJECTION_BASE, EJECTION_CAP};
use crate::model::{ListKind, Outcome};
use sparbank_time::MonotonicTime;
use std::time::Duration;

const RANDOM_NUMBERS: [u64; 3] = [0, u64::MAX / 2, u64::MAX];

#[test]
fn an_unconfirmed_endpoint_gets_at_most_two_attempts_within_any_ejection_cap() {
    for (first, second) in RANDOM_NUMBERS.iter().flat_map(|a| RANDOM_NUMBERS.iter().map(move |b| (*a, *b))) {
        let mut outlier = OutlierState::default();
        outlier.on_listed(ListKind::Saved);
        assert!(outlier.admits_another(0) && !outlier.admits_another(1), "one at a time");
        let sent_at = MonotonicTime::from_nanos(7);
        outlier.on_failure(sent_at, first, Outcome::ConnectFailed);
        let retried_at = sent_at + uniform_duration_up_to(first, EJECTION_CAP);
        assert!(!outlier.is_ejected(retried_at));
        outlier.on_failure(retried_at, second, Outcome::ConnectFailed);
        assert!(
            outlier.is_ejected(sent_at + EJECTION_CAP - Duration::from_nanos(1)),
            "no third attempt, with random numbers {first} and {second}"
        );
        outlier.confirm();
        assert!(!outlier.is_ejected(sent_at) && outlier.admits_another(9), "a newer list contains it");
    }
}

#[test]
fn an_endpoint_that_answers_is_confirmed() {
    let mut outlier = OutlierState::default();
    outlier.on_listed(ListKind::Saved);
    outlier.on_failure(MonotonicTime::ZERO, u64::MAX, Outcome::Error);
    assert!(!outlier.is_unconfirmed() && !outlier.is_ejected(MonotonicTime::ZERO + 2 * EJECTION_BASE));
    outlier.on_listed(ListKind::Saved);
    outlier.on_success();
    assert!(
        !outlier.is_ejected(MonotonicTime::ZERO) && outlier.admits_another(5),
        "after a success it gets several attempts at a time"
    );
}

#[test]
fn a_restart_ends_the_ejection_and_a_list_alone_does_not() {
    let mut outlier = OutlierState::default();
    outlier.on_failure(MonotonicTime::ZERO, u64::MAX, Outcome::ConnectFailed);
    outlier.on_listed(ListKind::Full);
    assert!(outlier.is_ejected(MonotonicTime::ZERO + EJECTION_BASE));
    outlier.reset();
    outlier.on_listed(ListKind::Full);
    assert!(!outlier.is_ejected(MonotonicTime::ZERO));
}

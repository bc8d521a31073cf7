use super::{full_jitter_limit, request_backoff_limit};
use crate::model::{DedupScope, Effect, RequestClass};
use std::time::Duration;

const MAX: Duration = Duration::from_nanos(u64::MAX);

#[test]
fn the_limit_doubles_up_to_the_cap() {
    let (base, cap) = (Duration::from_nanos(10), Duration::from_nanos(100));
    let limits: Vec<Duration> = (0..5).map(|attempt| full_jitter_limit(base, cap, attempt)).collect();
    assert_eq!(limits, [10, 20, 40, 80, 100].map(Duration::from_nanos));
}

#[test]
fn large_exponents_and_bases_saturate() {
    assert_eq!(full_jitter_limit(MAX, MAX, u32::MAX), MAX);
    assert_eq!(full_jitter_limit(Duration::from_nanos(1), MAX, u32::MAX), Duration::from_nanos(1 << 32));
}

#[rstest::rstest]
#[case(0, 1, 200)]
#[case(0, 9, 1_000)]
#[case(1_000, 1, 1_000)]
#[case(2_000, 1, 2_000)]
#[case(9_000, 1, 3_000)]
fn the_limit_follows_the_class_and_the_setup_interval(
    #[case] setup_interval: u64,
    #[case] backoffs: u32,
    #[case] limit: u64,
) {
    let class = RequestClass {
        objective: Duration::from_nanos(400),
        hard_limit: Duration::from_nanos(4_000),
        effect: Effect::ReadLike,
        dedup_scope: DedupScope::All,
        dedup_window: Duration::ZERO,
        priority_weight: 1.0,
        message_latency_objective: None,
    };
    let setup_interval = Duration::from_nanos(setup_interval);
    assert_eq!(request_backoff_limit(&class, setup_interval, backoffs), Duration::from_nanos(limit));
}

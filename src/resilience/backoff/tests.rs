use super::{full_jitter_limit, request_backoff_limit};
use crate::model::{DedupScope, Effect, RequestClass};

#[test]
fn the_limit_doubles_up_to_the_cap() {
    let limits: Vec<u64> = (0..5).map(|attempt| full_jitter_limit(10, 100, attempt)).collect();
    assert_eq!(limits, [10, 20, 40, 80, 100]);
}

#[test]
fn large_exponents_and_bases_saturate() {
    assert_eq!(full_jitter_limit(u64::MAX, u64::MAX, u32::MAX), u64::MAX);
    assert_eq!(full_jitter_limit(1, u64::MAX, u32::MAX), 1 << 32);
}

#[rstest::rstest]
#[case(0, 1, 200)]
#[case(0, 9, 1_000)]
#[case(1_000, 1, 1_000)]
#[case(2_000, 1, 2_000)]
#[case(9_000, 1, 3_000)]
fn a_request_backs_off_by_its_class_and_by_the_pacing(
    #[case] setup_interval: u64,
    #[case] backoffs: u32,
    #[case] limit: u64,
) {
    let class = RequestClass {
        objective: 400,
        hard_limit: 4_000,
        effect: Effect::ReadLike,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        priority_weight: 1.0,
        message_latency_objective: None,
    };
    assert_eq!(request_backoff_limit(&class, setup_interval, backoffs), limit);
}

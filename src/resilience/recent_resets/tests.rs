use super::RecentResets;
use sparbank_time::MonotonicTime;
use std::time::Duration;

const START: MonotonicTime = MonotonicTime::ZERO;

#[test]
fn resets_add_up_and_decay() {
    let ten_seconds_later = START + Duration::from_secs(10);
    let mut resets = RecentResets::default();
    resets.record(START);
    resets.record(START);
    assert_eq!(resets.count(START), 2.0);
    let later = resets.count(ten_seconds_later);
    assert!((later - 2.0 / std::f64::consts::E).abs() < 1e-9, "{later}");
    resets.record(ten_seconds_later);
    assert_eq!(resets.count(ten_seconds_later), later + 1.0);
    resets.clear();
    assert_eq!(resets.count(ten_seconds_later), 0.0);
}

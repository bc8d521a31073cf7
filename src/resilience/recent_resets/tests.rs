use super::RecentResets;

#[test]
fn resets_add_up_and_decay() {
    let mut resets = RecentResets::default();
    resets.record(0);
    resets.record(0);
    assert_eq!(resets.count(0), 2.0);
    let later = resets.count(10_000_000_000);
    assert!((later - 2.0 / std::f64::consts::E).abs() < 1e-9, "{later}");
    resets.record(10_000_000_000);
    assert_eq!(resets.count(10_000_000_000), later + 1.0);
    resets.clear();
    assert_eq!(resets.count(10_000_000_000), 0.0);
}

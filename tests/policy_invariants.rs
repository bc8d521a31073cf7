//! The decision module stays short enough to be read in one go.

#[test]
fn module_keeps_its_size_and_width() {
    let text = include_str!("../src/policy/balancer.rs");
    assert!(text.lines().filter(|line| !line.trim().is_empty()).count() <= 630);
    assert!(text.lines().all(|line| line.chars().count() <= 110));
}

//! Wall-clock times before, in and after steps.

use super::*;
use rstest::rstest;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3_600 * SECOND;
/// The node's clock at the first look, where the wall clock shows the same.
const START: Nanos = 100 * HOUR;

#[rstest]
#[case::long_ago(START - 5 * HOUR, START - 5 * HOUR)]
#[case::lately(START + 5 * SECOND, START + 5 * SECOND)]
#[case::ahead(START + 20 * SECOND, START + 10 * SECOND)]
fn without_a_step_both_clocks_are_one(#[case] wall: Nanos, #[case] expected: Nanos) {
    let mut clock = WallClock::new(START, START);
    clock.observe(START + 10 * SECOND, START + 10 * SECOND + 1_000_000);
    assert_eq!(clock.to_node_time(wall, START + 10 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(START + 4 * SECOND, START + 4 * SECOND)]
#[case::stepped_over(START + HOUR / 2, START + 10 * SECOND)]
#[case::after_the_step(START + HOUR + 12 * SECOND, START + 12 * SECOND)]
#[case::ahead(START + 2 * HOUR, START + 20 * SECOND)]
fn a_step_forward_leaves_a_hole(#[case] wall: Nanos, #[case] expected: Nanos) {
    let mut clock = WallClock::new(START, START);
    clock.observe(START + 10 * SECOND, START + HOUR + 10 * SECOND);
    assert_eq!(clock.to_node_time(wall, START + 20 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(START + 4 * SECOND, START + 4 * SECOND)]
#[case::after_the_step(START - HOUR + 12 * SECOND, START + 12 * SECOND)]
#[case::ambiguous_before_the_first_look(START - HOUR + 15 * SECOND, START + 15 * SECOND)]
#[case::long_ago(START - 2 * HOUR, START - 2 * HOUR)]
fn after_a_step_back_the_later_of_two_times_counts(#[case] wall: Nanos, #[case] expected: Nanos) {
    let mut clock = WallClock::new(START, START);
    clock.observe(START + 10 * SECOND, START - HOUR + 10 * SECOND);
    assert_eq!(clock.to_node_time(wall, START + 20 * SECOND), expected);
}

#[test]
fn a_node_whose_clock_is_another_than_the_wall_clock_and_many_steps() {
    let mut clock = WallClock::new(START, START + HOUR);
    assert_eq!(clock.to_node_time(START + HOUR - SECOND, START), START - SECOND);
    for step in 1..=100 {
        clock.observe(START + step * SECOND, START + step * HOUR);
    }
    assert_eq!(clock.stretches.len(), MAX_STRETCHES);
    assert_eq!(clock.to_node_time(START + 100 * HOUR, START + 100 * SECOND), START + 100 * SECOND);
}

//! Wall-clock times before, in and after steps.

use super::*;
use rstest::rstest;
use sparbank_time::{MonotonicTime, WallTime};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
/// The node's clock at the first look, where the wall clock shows the same.
const START: MonotonicTime = MonotonicTime::from_nanos(360_000_000_000_000);

/// The wall-clock time whose number is that of this instant of the node's clock.
fn wall(time: MonotonicTime) -> WallTime {
    WallTime::from_unix_nanos(time.as_nanos())
}

#[rstest]
#[case::long_ago(wall(START - 5 * HOUR), START - 5 * HOUR)]
#[case::lately(wall(START + 5 * SECOND), START + 5 * SECOND)]
#[case::ahead(wall(START + 20 * SECOND), START + 10 * SECOND)]
fn without_a_step_both_clocks_are_one(#[case] wall_time: WallTime, #[case] expected: MonotonicTime) {
    let mut clock = WallClock::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START + 10 * SECOND + Duration::from_millis(1)));
    assert_eq!(clock.to_monotonic(wall_time, START + 10 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(wall(START + 4 * SECOND), START + 4 * SECOND)]
#[case::stepped_over(wall(START + HOUR / 2), START + 10 * SECOND)]
#[case::after_the_step(wall(START + HOUR + 12 * SECOND), START + 12 * SECOND)]
#[case::ahead(wall(START + 2 * HOUR), START + 20 * SECOND)]
fn a_step_forward_leaves_a_hole(#[case] wall_time: WallTime, #[case] expected: MonotonicTime) {
    let mut clock = WallClock::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START + HOUR + 10 * SECOND));
    assert_eq!(clock.to_monotonic(wall_time, START + 20 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(wall(START + 4 * SECOND), START + 4 * SECOND)]
#[case::after_the_step(wall(START - HOUR + 12 * SECOND), START + 12 * SECOND)]
#[case::ambiguous_before_the_first_look(wall(START - HOUR + 15 * SECOND), START + 15 * SECOND)]
#[case::long_ago(wall(START - 2 * HOUR), START - 2 * HOUR)]
fn after_a_step_back_the_later_of_two_times_counts(
    #[case] wall_time: WallTime,
    #[case] expected: MonotonicTime,
) {
    let mut clock = WallClock::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START - HOUR + 10 * SECOND));
    assert_eq!(clock.to_monotonic(wall_time, START + 20 * SECOND), expected);
}

#[test]
fn a_node_whose_clock_is_another_than_the_wall_clock_and_many_steps() {
    let mut clock = WallClock::new(START, wall(START + HOUR));
    assert_eq!(clock.to_monotonic(wall(START + HOUR - SECOND), START), START - SECOND);
    for step in 1..=100 {
        clock.observe(START + step * SECOND, wall(START + step * HOUR));
    }
    assert_eq!(clock.segments.len(), MAX_SEGMENTS);
    assert_eq!(clock.to_monotonic(wall(START + 100 * HOUR), START + 100 * SECOND), START + 100 * SECOND);
}

//! Unit tests of the conversion of wall-clock times before, during and after clock steps.

use super::*;
use rstest::rstest;
use sparbank_time::{MonotonicTime, WallTime};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3_600);
/// The first observation: the time of the node's clock, and in most tests of the wall clock, too.
const START: MonotonicTime = MonotonicTime::from_nanos(360_000_000_000_000);

/// The wall-clock time with the same number of nanoseconds as this time of the node's clock.
fn wall(time: MonotonicTime) -> WallTime {
    WallTime::from_unix_nanos(time.as_nanos())
}

#[rstest]
#[case::long_ago(wall(START - 5 * HOUR), START - 5 * HOUR)]
#[case::recent(wall(START + 5 * SECOND), START + 5 * SECOND)]
#[case::future(wall(START + 20 * SECOND), START + 10 * SECOND)]
fn without_a_step_the_offset_stays_the_same(#[case] wall_time: WallTime, #[case] expected: MonotonicTime) {
    let mut clock = WallClockOffsets::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START + 10 * SECOND + Duration::from_millis(1)));
    assert_eq!(clock.to_monotonic(wall_time, START + 10 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(wall(START + 4 * SECOND), START + 4 * SECOND)]
#[case::stepped_over(wall(START + HOUR / 2), START + 10 * SECOND)]
#[case::after_the_step(wall(START + HOUR + 12 * SECOND), START + 12 * SECOND)]
#[case::future(wall(START + 2 * HOUR), START + 20 * SECOND)]
fn a_time_skipped_by_a_step_forward_is_the_time_of_the_step(
    #[case] wall_time: WallTime,
    #[case] expected: MonotonicTime,
) {
    let mut clock = WallClockOffsets::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START + HOUR + 10 * SECOND));
    assert_eq!(clock.to_monotonic(wall_time, START + 20 * SECOND), expected);
}

#[rstest]
#[case::before_the_step(wall(START + 4 * SECOND), START + 4 * SECOND)]
#[case::after_the_step(wall(START - HOUR + 12 * SECOND), START + 12 * SECOND)]
#[case::ambiguous_before_the_first_observation(wall(START - HOUR + 15 * SECOND), START + 15 * SECOND)]
#[case::long_ago(wall(START - 2 * HOUR), START - 2 * HOUR)]
fn after_a_step_back_an_ambiguous_time_is_the_later_one(
    #[case] wall_time: WallTime,
    #[case] expected: MonotonicTime,
) {
    let mut clock = WallClockOffsets::new(START, wall(START));
    clock.observe(START + 10 * SECOND, wall(START - HOUR + 10 * SECOND));
    assert_eq!(clock.to_monotonic(wall_time, START + 20 * SECOND), expected);
}

#[test]
fn an_initial_offset_is_applied_and_the_number_of_segments_is_limited() {
    let mut clock = WallClockOffsets::new(START, wall(START + HOUR));
    assert_eq!(clock.to_monotonic(wall(START + HOUR - SECOND), START), START - SECOND);
    for step in 1..=100 {
        clock.observe(START + step * SECOND, wall(START + step * HOUR));
    }
    assert_eq!(clock.segments.len(), MAX_SEGMENTS);
    assert_eq!(clock.to_monotonic(wall(START + 100 * HOUR), START + 100 * SECOND), START + 100 * SECOND);
}

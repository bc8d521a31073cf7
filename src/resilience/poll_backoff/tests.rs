use super::{max_poll_delay, MAX_POLL_DELAY};
use crate::model::{Discovery, Settings};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

#[rstest::rstest]
#[case(Discovery::Pushed, 0, None)]
#[case(Discovery::Polled, 0, Some(SECOND))]
#[case(Discovery::Polled, 1, Some(Duration::from_secs(2)))]
#[case(Discovery::Polled, 9, Some(MAX_POLL_DELAY))]
#[case(Discovery::LocalAgent, 0, Some(Duration::from_millis(10)))]
#[case(Discovery::LocalAgent, 9, Some(Duration::from_millis(200)))]
fn the_delay_depends_on_the_kind_of_discovery(
    #[case] discovery: Discovery,
    #[case] failed_polls: u32,
    #[case] limit: Option<Duration>,
) {
    let settings = Settings { discovery, poll_within: 16 * SECOND, ..Settings::default() };
    assert_eq!(max_poll_delay(&settings, failed_polls), limit);
}

/// An unresponsive watch is detected 4.2 s after its last byte, at the next tick (0.2 s) of a process that may be
/// stalled (0.15 s). The first poll after that must be answered within 6 s of the last byte, for any `poll_within`.
#[rstest::rstest]
fn the_first_poll_after_an_unresponsive_watch_is_answered_in_time(
    #[values(1, 16, 60, 600)] poll_within_seconds: u64,
) {
    let poll_within = Duration::from_secs(poll_within_seconds);
    let settings = Settings { discovery: Discovery::Polled, poll_within, ..Settings::default() };
    let detected_after = SECOND * 455 / 100;
    let answer_time = SECOND / 10;
    let delay = max_poll_delay(&settings, 0).expect("a polled discovery has a delay");
    assert!(detected_after + delay + answer_time <= 6 * SECOND, "{delay:?}");
}

use super::{max_poll_delay, MAX_POLL_DELAY};
use crate::vocabulary::{Discovery, Nanos, Settings};

const SECOND: Nanos = 1_000_000_000;

#[rstest::rstest]
#[case(Discovery::Pushed, 0, None)]
#[case(Discovery::Polled, 0, Some(SECOND))]
#[case(Discovery::Polled, 1, Some(2 * SECOND))]
#[case(Discovery::Polled, 9, Some(MAX_POLL_DELAY))]
#[case(Discovery::LocalAgent, 0, Some(SECOND / 100))]
#[case(Discovery::LocalAgent, 9, Some(SECOND / 5))]
fn the_delay_follows_the_way_of_discovery(
    #[case] discovery: Discovery,
    #[case] failed_polls: u32,
    #[case] limit: Option<Nanos>,
) {
    let settings = Settings { discovery, poll_within: 16 * SECOND, ..Settings::default() };
    assert_eq!(max_poll_delay(&settings, failed_polls), limit);
}

//! When a node polls discovery again after a poll that failed: the limit of its Full Jitter delay.

use super::backoff::full_jitter_limit;
use crate::model::{Discovery, Settings};
use std::time::Duration;

/// A node has to know of a change within 6 s of the time at which discovery knew it and could be reached. A poll that
/// times out after 2 s, this delay and the answer to the next poll fit into that.
const MAX_POLL_DELAY: Duration = Duration::from_millis(2_500);
/// The same for the first poll after a watch that was open. A silent watch is detected after 4.2 s, at the next tick
/// (0.2 s) of a process that may be stalled (0.15 s); this delay and the answer to the poll fit into the rest of 6 s.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_millis(1_250);
/// Polls of this machine's own agent are cheap: the delay bounds the rate at which an agent that has failed is polled.
const AGENT_BASE_DELAY: Duration = Duration::from_millis(10);
const AGENT_MAX_DELAY: Duration = Duration::from_millis(200);
/// The first delay is [`Settings::poll_within`] divided by this.
const BASE_DELAY_DIVISOR: u32 = 16;

/// The longest delay before the next poll, after this many polls in a row that failed. `None` where changes are
/// pushed and polls are not needed.
pub fn max_poll_delay(settings: &Settings, failed_polls: u32) -> Option<Duration> {
    let (base, cap) = match settings.discovery {
        Discovery::Pushed => return None,
        Discovery::LocalAgent => (AGENT_BASE_DELAY, AGENT_MAX_DELAY),
        Discovery::Polled => {
            let base = settings.poll_within / BASE_DELAY_DIVISOR;
            (base.min(MAX_FIRST_POLL_DELAY), settings.poll_within.min(MAX_POLL_DELAY))
        }
    };
    Some(full_jitter_limit(base, cap, failed_polls))
}

#[cfg(test)]
mod tests;

//! The upper limit of the Full Jitter delay before a node polls discovery again after a failure.

use super::backoff::full_jitter_limit;
use crate::model::{Discovery, Settings};
use std::time::Duration;

/// The upper limit of the delay. A node must receive a change within 6 s of the time at which discovery has it and is
/// reachable. A poll that times out after 2 s, this delay and the answer to the next poll fit into these 6 s.
const MAX_POLL_DELAY: Duration = Duration::from_millis(2_500);
/// The upper limit of the delay of the first poll after a watch has ended. An unresponsive watch is detected after
/// 4.2 s, at the next tick (0.2 s) of a process that may be stalled (0.15 s); this delay and the answer to the poll fit
/// into the rest of the 6 s.
const MAX_FIRST_POLL_DELAY: Duration = Duration::from_millis(1_250);
/// The base of the delay for an agent on this machine. Polls of it are cheap; the delay only limits the rate at which a
/// failed agent is polled.
const AGENT_BASE_DELAY: Duration = Duration::from_millis(10);
/// The cap of the delay for an agent on this machine.
const AGENT_MAX_DELAY: Duration = Duration::from_millis(200);
/// The base of the delay is [`Settings::poll_within`] divided by this.
const BASE_DELAY_DIVISOR: u32 = 16;

/// Returns the longest delay before the next poll, given the number of consecutive polls that have failed. `None` if
/// changes are pushed, so that no polls are needed.
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

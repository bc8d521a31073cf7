//! The subscription to the endpoint list: tracks whether it is established and schedules polls of discovery.

use super::poll_backoff::max_poll_delay;
use crate::model::{ListKind, Settings};
use std::time::Duration;

/// Poll timers use tokens above all request ids, which are below 2^62.
const FIRST_POLL_TOKEN: u64 = 1 << 62;

/// The state of the subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSubscription {
    subscribed: bool,
    /// Number of polls since discovery last sent a list.
    polls_since_list: u32,
    /// The token of the most recently scheduled poll; timers with other tokens are ignored.
    timer_token: u64,
}

/// A poll to schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledPoll {
    /// The token of the poll's timer.
    pub token: u64,
    /// The upper limit of the poll's Full Jitter delay.
    pub max_delay: Duration,
}

impl Default for EndpointSubscription {
    fn default() -> EndpointSubscription {
        EndpointSubscription { subscribed: false, polls_since_list: 0, timer_token: FIRST_POLL_TOKEN }
    }
}

impl EndpointSubscription {
    /// Whether discovery has to be polled when the timer with this token elapses.
    pub fn is_poll_due(&self, token: u64) -> bool {
        token == self.timer_token && !self.subscribed
    }

    /// Records a received list or a failed poll. Returns true if an established subscription was lost.
    pub fn on_list(&mut self, kind: ListKind) -> bool {
        match kind {
            ListKind::Failed => std::mem::take(&mut self.subscribed),
            ListKind::Saved => false,
            ListKind::Full | ListKind::Incremental => {
                self.subscribed = true;
                self.polls_since_list = 0;
                false
            }
        }
    }

    /// Schedules the poll that is needed after a list of this kind, if any. It replaces a poll scheduled earlier.
    pub fn schedule_poll(&mut self, kind: ListKind, settings: &Settings) -> Option<ScheduledPoll> {
        if matches!(kind, ListKind::Full | ListKind::Incremental) {
            return None;
        }
        let max_delay = max_poll_delay(settings, self.polls_since_list)?;
        self.timer_token += 1;
        self.polls_since_list += 1;
        Some(ScheduledPoll { token: self.timer_token, max_delay })
    }
}

#[cfg(test)]
mod tests;

//! The subscription to the endpoint list: whether it is established, and when discovery is polled again.

use super::poll_backoff::max_poll_delay;
use crate::model::{ListKind, Settings};
use std::time::Duration;

/// Poll timers have tokens above all request ids.
const FIRST_POLL_TOKEN: u64 = 1 << 62;

/// The state of the subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSubscription {
    subscribed: bool,
    /// Polls since the last list from discovery.
    polls: u32,
    /// The token of the last poll timer; timers with earlier ones are ignored.
    timer: u64,
}

/// A poll to schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledPoll {
    /// The token of its timer.
    pub token: u64,
    /// The limit of its Full Jitter delay.
    pub max_delay: Duration,
}

impl Default for EndpointSubscription {
    fn default() -> EndpointSubscription {
        EndpointSubscription { subscribed: false, polls: 0, timer: FIRST_POLL_TOKEN }
    }
}

impl EndpointSubscription {
    /// Whether this timer says that discovery is to be polled.
    pub fn is_poll_due(&self, token: u64) -> bool {
        token == self.timer && !self.subscribed
    }

    /// A list has arrived, or a poll has failed. Returns whether an established subscription is lost.
    pub fn on_list(&mut self, kind: ListKind) -> bool {
        match kind {
            ListKind::Failed => std::mem::take(&mut self.subscribed),
            ListKind::Saved => false,
            ListKind::Full | ListKind::Incremental => {
                self.subscribed = true;
                self.polls = 0;
                false
            }
        }
    }

    /// The next poll after a list of this kind, if one is needed. It replaces one that is scheduled already.
    pub fn schedule_poll(&mut self, kind: ListKind, settings: &Settings) -> Option<ScheduledPoll> {
        if matches!(kind, ListKind::Full | ListKind::Incremental) {
            return None;
        }
        let max_delay = max_poll_delay(settings, self.polls)?;
        self.timer += 1;
        self.polls += 1;
        Some(ScheduledPoll { token: self.timer, max_delay })
    }
}

#[cfg(test)]
mod tests;

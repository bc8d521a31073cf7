//! Limits how often a warning is logged whose cause may recur many times a second.

use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The shortest interval between two warnings of one kind.
const WARNING_INTERVAL: Duration = Duration::from_secs(1);

/// When a warning of one kind was last logged.
#[derive(Debug, Default)]
pub struct LogThrottle {
    logged_at: Option<MonotonicTime>,
}

impl LogThrottle {
    /// Whether the warning may be logged now. If so, the next one may follow after [`WARNING_INTERVAL`].
    pub fn may_log(&mut self, now: MonotonicTime) -> bool {
        if self.logged_at.is_some_and(|at| now < at + WARNING_INTERVAL) {
            return false;
        }
        self.logged_at = Some(now);
        true
    }
}

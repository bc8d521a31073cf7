//! An exponentially decaying count of the established connections that a server has reset.

use serde::{Deserialize, Serialize};
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;

/// Time constant of the decay.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// A decaying count of resets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RecentResets {
    /// The count as of `updated_at`.
    #[serde(rename = "broken")]
    count: f64,
    #[serde(rename = "broken_at")]
    updated_at: MonotonicTime,
}

impl RecentResets {
    /// The count at `now`.
    pub fn count(&self, now: MonotonicTime) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * (-age.as_nanos_f64() / DECAY_TIME.as_nanos_f64()).exp()
    }

    /// Records that the server has reset a connection.
    pub fn record(&mut self, now: MonotonicTime) {
        self.count = self.count(now) + 1.0;
        self.updated_at = now;
    }

    /// Clears the count, because the server's process has restarted.
    pub fn clear(&mut self) {
        self.count = 0.0;
    }
}

#[cfg(test)]
mod tests;

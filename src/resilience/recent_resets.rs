//! How many established connections a server has reset lately. The count decays exponentially.

use crate::model::Nanos;
use serde::{Deserialize, Serialize};

/// Time constant of the decay, in nanoseconds.
const DECAY_TIME: f64 = 10e9;

/// A count of resets, and when it was last brought up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct RecentResets {
    /// The count as of `updated_at`.
    #[serde(rename = "broken")]
    count: f64,
    #[serde(rename = "broken_at")]
    updated_at: Nanos,
}

impl RecentResets {
    /// The decayed count.
    pub fn count(&self, now: Nanos) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / DECAY_TIME).exp()
    }

    /// The server reset a connection.
    pub fn record(&mut self, now: Nanos) {
        self.count = self.count(now) + 1.0;
        self.updated_at = now;
    }

    /// The server's process has restarted.
    pub fn clear(&mut self) {
        self.count = 0.0;
    }
}

#[cfg(test)]
mod tests;

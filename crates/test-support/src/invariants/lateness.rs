//! Measures how late the thread of a test run is.

use std::time::{Duration, Instant};

/// How long a late tick counts towards the lateness: events that the thread reads in this time may have occurred
/// earlier.
const LATENESS_RETENTION: Duration = Duration::from_secs(3);

/// A tick that came later than its interval.
#[derive(Debug)]
struct LateTick {
    at: Instant,
    lateness: Duration,
}

/// Measures how late a thread is by its regular ticks.
#[derive(Debug)]
pub(super) struct LatenessMeter {
    min_lateness: Duration,
    last_tick: Instant,
    late_ticks: Vec<LateTick>,
}

impl LatenessMeter {
    /// Creates a meter that ignores ticks that are late by at most `min_lateness`.
    pub(super) fn new(min_lateness: Duration) -> LatenessMeter {
        LatenessMeter { min_lateness, last_tick: Instant::now(), late_ticks: Vec::new() }
    }

    /// Records a tick; called once per interval.
    pub(super) fn tick(&mut self, interval: Duration) {
        let lateness = self.last_tick.elapsed().saturating_sub(interval);
        self.last_tick = Instant::now();
        if lateness > self.min_lateness {
            self.late_ticks.push(LateTick { at: self.last_tick, lateness });
        }
    }

    /// The greatest recent lateness, plus the time since the last tick.
    pub(super) fn current(&self) -> Duration {
        let recent = self.late_ticks.iter().rev().take_while(|tick| tick.at.elapsed() < LATENESS_RETENTION);
        recent.map(|tick| tick.lateness).max().unwrap_or_default() + self.last_tick.elapsed()
    }

    /// Discards the recorded late ticks.
    #[cfg(test)]
    pub(super) fn reset(&mut self) {
        self.late_ticks.clear();
    }
}

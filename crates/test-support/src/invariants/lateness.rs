//! How late the thread of a run is.

use std::time::{Duration, Instant};

/// How long a lateness counts: what the thread reads meanwhile may be older than it seems.
const LATENESS_LASTS: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct LateTick {
    at: Instant,
    lateness: Duration,
}

/// Measures by ticks how late a thread is.
#[derive(Debug)]
pub(super) struct LatenessMeter {
    min_lateness: Duration,
    last_tick: Instant,
    late_ticks: Vec<LateTick>,
}

impl LatenessMeter {
    /// One that ignores a lateness up to this.
    pub(super) fn new(min_lateness: Duration) -> LatenessMeter {
        LatenessMeter { min_lateness, last_tick: Instant::now(), late_ticks: Vec::new() }
    }

    /// Called at this interval.
    pub(super) fn tick(&mut self, interval: Duration) {
        let lateness = self.last_tick.elapsed().saturating_sub(interval);
        self.last_tick = Instant::now();
        if lateness > self.min_lateness {
            self.late_ticks.push(LateTick { at: self.last_tick, lateness });
        }
    }

    /// How late the thread has been of late.
    pub(super) fn current(&self) -> Duration {
        let recent = self.late_ticks.iter().rev().take_while(|tick| tick.at.elapsed() < LATENESS_LASTS);
        recent.map(|tick| tick.lateness).max().unwrap_or_default() + self.last_tick.elapsed()
    }

    /// Forgets how late the thread was.
    #[cfg(test)]
    pub(super) fn reset(&mut self) {
        self.late_ticks.clear();
    }
}

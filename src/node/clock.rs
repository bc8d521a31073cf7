//! The node's clock.

use sparbank_time::{DurationExt, MonotonicTime, WallTime};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. Its origin is the Unix epoch as the wall clock had it when the process, or the first of its
/// predecessors, started; later steps of the wall clock do not change it.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    /// What the clock showed at `started`.
    started_at: MonotonicTime,
}

impl Clock {
    pub(super) fn new() -> Clock {
        // The one moment at which the two clocks agree: the wall clock sets the origin.
        let started_at = MonotonicTime::from_nanos(Clock::wall().as_unix_nanos());
        Clock { started: Instant::now(), started_at }
    }

    /// A clock that continues the clock of another process, which shows `now`.
    pub(super) fn continuing(now: MonotonicTime) -> Clock {
        Clock { started: Instant::now(), started_at: now }
    }

    /// The wall clock, which may step at any time.
    pub(super) fn wall() -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_unix_nanos(since_epoch.map_or(0, |duration| duration.as_nanos_u64()))
    }

    /// The present time.
    pub(super) fn now(&self) -> MonotonicTime {
        self.started_at + self.started.elapsed()
    }
}

//! The node's clock.

use sparbank_time::{DurationExt, MonotonicTime, WallTime};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock. It is set from the wall clock when the process, or the first of its predecessors, starts; later
/// steps of the wall clock do not affect it.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    /// The clock's time at `started`.
    started_at: MonotonicTime,
}

impl Clock {
    /// A clock that is set from the wall clock.
    pub(super) fn new() -> Clock {
        let started_at = MonotonicTime::from_nanos(Clock::wall().as_unix_nanos());
        Clock { started: Instant::now(), started_at }
    }

    /// A clock that continues from `now`, the time of another process's clock.
    pub(super) fn continuing(now: MonotonicTime) -> Clock {
        Clock { started: Instant::now(), started_at: now }
    }

    /// The wall-clock time. The wall clock may step at any time.
    pub(super) fn wall() -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_unix_nanos(since_epoch.map_or(0, |duration| duration.as_nanos_u64()))
    }

    /// The clock's time, which never decreases.
    pub(super) fn now(&self) -> MonotonicTime {
        self.started_at + self.started.elapsed()
    }
}

//! The node's clock.

use crate::model::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start of the process, and monotonic from there on.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    started_unix: Nanos,
}

impl Clock {
    pub(super) fn new() -> Clock {
        Clock { started: Instant::now(), started_unix: Clock::wall() }
    }

    /// A clock that goes on from a time that another process's clock shows now.
    pub(super) fn continuing(now: Nanos) -> Clock {
        Clock { started: Instant::now(), started_unix: now }
    }

    /// The wall clock, which may step: Unix time in nanoseconds.
    pub(super) fn wall() -> Nanos {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |duration| duration.as_nanos() as Nanos)
    }

    /// Nanoseconds since the Unix epoch, by the wall clock at the start and without its steps since.
    pub(super) fn now(&self) -> Nanos {
        self.started_unix + self.started.elapsed().as_nanos() as Nanos
    }
}

//! The node's clock.

use crate::vocabulary::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Unix time at the start of the process, and monotonic from there on.
pub(super) struct Clock {
    started: Instant,
    started_unix: Nanos,
}

impl Clock {
    pub(super) fn new() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_unix = since_epoch.map_or(0, |duration| duration.as_nanos() as Nanos);
        Clock { started: Instant::now(), started_unix }
    }

    /// Nanoseconds since the Unix epoch.
    pub(super) fn now(&self) -> Nanos {
        self.started_unix + self.started.elapsed().as_nanos() as Nanos
    }
}

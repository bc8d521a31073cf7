//! Instants of a monotonic clock.

use crate::DurationExt;
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// An instant of a clock that never steps, in nanoseconds since the clock's origin. Serialized as that number.
///
/// Sums and differences saturate at the origin and at [`MonotonicTime::MAX`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The origin of the clock.
    pub const ZERO: MonotonicTime = MonotonicTime(0);
    /// The latest instant that can be represented, later than any deadline.
    pub const MAX: MonotonicTime = MonotonicTime(u64::MAX);

    /// The instant this many nanoseconds after the origin.
    #[inline]
    pub const fn from_nanos(nanos: u64) -> MonotonicTime {
        MonotonicTime(nanos)
    }

    /// Nanoseconds since the origin.
    #[inline]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to this instant; zero if `earlier` is the later of the two.
    #[inline]
    pub const fn saturating_duration_since(self, earlier: MonotonicTime) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    #[inline]
    fn add(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_add(duration.as_nanos_u64()))
    }
}

impl AddAssign<Duration> for MonotonicTime {
    #[inline]
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for MonotonicTime {
    type Output = MonotonicTime;

    #[inline]
    fn sub(self, duration: Duration) -> MonotonicTime {
        MonotonicTime(self.0.saturating_sub(duration.as_nanos_u64()))
    }
}

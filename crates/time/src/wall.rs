//! Instants of a wall clock.

use serde::{Deserialize, Serialize};

/// An instant of a wall clock, in nanoseconds since the Unix epoch. Serialized as that number.
///
/// A wall clock may step, so this type has no arithmetic. Deadlines and intervals are computed with
/// [`MonotonicTime`](crate::MonotonicTime).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// The instant this many nanoseconds after the Unix epoch.
    #[inline]
    pub const fn from_unix_nanos(nanos: u64) -> WallTime {
        WallTime(nanos)
    }

    /// Nanoseconds since the Unix epoch.
    #[inline]
    pub const fn as_unix_nanos(self) -> u64 {
        self.0
    }
}

//! Instants as values, for code that reads no clock itself.
//!
//! State machines without I/O are passed the time of each event. `std::time::Instant` cannot be made from a number, so
//! tests and other processes could not provide one. This crate has an instant of each clock that a node uses:
//!
//! - [`MonotonicTime`] is an instant of the node's own clock, which never steps. Deadlines, windows and intervals are
//!   computed from these alone.
//! - [`WallTime`] is an instant of a wall clock, which may step at any time. It can be compared with other wall-clock
//!   times, and nothing else: there is no arithmetic between the two types.
//!
//! A span of time is a [`std::time::Duration`]; [`DurationExt`] has its conversions to plain numbers, and [`serde_nanos`]
//! its form in stored data.
//!
//! ```
//! use sparbank_time::MonotonicTime;
//! use std::time::Duration;
//!
//! let started_at = MonotonicTime::from_nanos(5_000_000_000);
//! let deadline = started_at + Duration::from_millis(250);
//! assert_eq!(deadline.saturating_duration_since(started_at), Duration::from_millis(250));
//! assert_eq!(started_at.saturating_duration_since(deadline), Duration::ZERO);
//! ```

mod duration;
mod monotonic;
pub mod serde_nanos;
#[cfg(test)]
mod tests;
mod wall;

pub use duration::DurationExt;
pub use monotonic::MonotonicTime;
pub use wall::WallTime;

//! Instants as plain values, for code that does not read a clock itself.
//!
//! State machines without I/O are passed the time of each event. `std::time::Instant` cannot be constructed from a
//! number, so neither a test nor another process could provide one. This crate has one type for each clock of a node:
//!
//! - [`MonotonicTime`] is an instant of the node's own clock, which never steps. Deadlines, windows and intervals are
//!   computed from this type only.
//! - [`WallTime`] is an instant of a wall clock, which may step at any time. It can only be compared with other
//!   wall-clock times; there is no arithmetic on it, nor between the two types.
//!
//! Durations are of type [`std::time::Duration`]. [`DurationExt`] converts them to plain numbers, and [`serde_nanos`]
//! serializes them.
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

//! Conversion of wall-clock times of other machines to this node's clock, which never steps.
//!
//! The node's clock is monotonic. The wall clock, on which discovery reports when a server started, may step at any time;
//! between two steps the two differ by a constant. Each such segment is recorded, and a wall-clock time is converted in
//! the segment that contains it:
//!
//! - Several segments contain it (the clock stepped back, and the same times occurred twice): the latest one counts.
//! - None contains it (the clock stepped forward over it): the result is the moment of the step.
//! - It lies in the future: the result is the present time.
//!
//! In doubt the result is too late rather than too early, since a server that started later is sent less.
//!
//! This is the one place where an instant of the wall clock becomes one of the node's clock. Both are numbers of
//! nanoseconds; the computation uses their signed difference.

use sparbank_time::{MonotonicTime, WallTime};
use std::time::Duration;

/// A smaller difference is no step: the two clocks are not read at the same instant.
const MIN_STEP: Duration = Duration::from_millis(50);
const NANOS_PER_MILLISECOND: i128 = 1_000_000;
/// Segments that are recorded; older ones are dropped.
const MAX_SEGMENTS: usize = 32;

/// A time between two steps of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    /// When it began, on the node's clock.
    from: MonotonicTime,
    /// How far the wall clock is ahead of the node's clock, in nanoseconds; negative where it is behind.
    ahead_nanos: i128,
}

impl Segment {
    /// The wall clock, in Unix nanoseconds, at an instant of the node's clock.
    fn to_wall_nanos(self, node_time: MonotonicTime) -> i128 {
        i128::from(node_time.as_nanos()) + self.ahead_nanos
    }
}

/// The steps of the wall clock, relative to the node's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WallClock {
    /// The oldest first; never empty.
    segments: Vec<Segment>,
}

impl WallClock {
    /// Both clocks as they are now.
    pub fn new(now: MonotonicTime, wall: WallTime) -> WallClock {
        WallClock { segments: vec![Segment { from: now, ahead_nanos: difference_nanos(wall, now) }] }
    }

    /// Detects a step since the last call; `now` and `wall` are both clocks as they are now.
    pub fn observe(&mut self, now: MonotonicTime, wall: WallTime) {
        let ahead_nanos = difference_nanos(wall, now);
        let step_nanos = ahead_nanos - self.latest().ahead_nanos;
        if step_nanos.unsigned_abs() < MIN_STEP.as_nanos() {
            return;
        }
        tracing::warn!(step_ms = step_nanos / NANOS_PER_MILLISECOND, "wall clock stepped");
        if self.segments.len() == MAX_SEGMENTS {
            self.segments.remove(0);
        }
        self.segments.push(Segment { from: now, ahead_nanos });
    }

    fn latest(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// Converts a wall-clock time of the past to the node's clock, which shows `now`.
    pub fn to_monotonic(&self, wall: WallTime, now: MonotonicTime) -> MonotonicTime {
        let wall = i128::from(wall.as_unix_nanos());
        let mut end = now;
        for (index, segment) in self.segments.iter().enumerate().rev() {
            let is_after_start = index == 0 || wall >= segment.to_wall_nanos(segment.from);
            if is_after_start && wall <= segment.to_wall_nanos(end) {
                let nanos = u64::try_from(wall - segment.ahead_nanos).unwrap_or(0);
                return MonotonicTime::from_nanos(nanos);
            }
            end = segment.from;
        }
        // It was stepped over, or lies in the future.
        let later = self.segments.iter().rev().find(|segment| segment.to_wall_nanos(segment.from) > wall);
        later.map_or(now, |segment| segment.from)
    }
}

fn difference_nanos(wall: WallTime, now: MonotonicTime) -> i128 {
    i128::from(wall.as_unix_nanos()) - i128::from(now.as_nanos())
}

#[cfg(test)]
mod tests;

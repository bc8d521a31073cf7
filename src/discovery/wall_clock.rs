//! Conversion of wall-clock times that other machines report to this node's monotonic clock.
//!
//! Discovery reports server start times as wall-clock times. The wall clock may step at any time; between two steps its
//! offset from the node's clock is constant. Each such interval is recorded as a segment, and a wall-clock time is
//! converted with the offset of the segment that contains it:
//!
//! - If several segments contain it (the clock stepped back, so the same times occurred twice), the latest one is used.
//! - If no segment contains it (the clock stepped forward over it), the result is the time of the step.
//! - If it lies in the future, the result is the current time.
//!
//! When the result is uncertain, it is too late rather than too early, since a server that started later is sent fewer
//! requests.
//!
//! No other module converts wall-clock times to the node's clock. Both are numbers of nanoseconds; the offset is their
//! signed difference.

use sparbank_time::{MonotonicTime, WallTime};
use std::time::Duration;

/// A smaller change of the offset is not a step: the two clocks are not read at the same instant.
const MIN_STEP: Duration = Duration::from_millis(50);
const NANOS_PER_MILLISECOND: i128 = 1_000_000;
/// Maximum number of recorded segments; the oldest one is dropped beyond that.
const MAX_SEGMENTS: usize = 32;

/// An interval between two steps of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Segment {
    /// Start of the interval, on the node's clock.
    start: MonotonicTime,
    /// The offset of the wall clock from the node's clock, in nanoseconds; negative if the wall clock is behind.
    offset_nanos: i128,
}

impl Segment {
    /// Converts a time of the node's clock to the wall clock, in Unix nanoseconds.
    fn to_wall_nanos(self, node_time: MonotonicTime) -> i128 {
        i128::from(node_time.as_nanos()) + self.offset_nanos
    }
}

/// The recorded offsets of the wall clock from the node's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WallClockOffsets {
    /// Oldest first; never empty.
    segments: Vec<Segment>,
}

impl WallClockOffsets {
    /// Starts recording; `now` and `wall` are the current times of both clocks.
    pub fn new(now: MonotonicTime, wall: WallTime) -> WallClockOffsets {
        WallClockOffsets { segments: vec![Segment { start: now, offset_nanos: offset_nanos(wall, now) }] }
    }

    /// Detects a step since the last call; `now` and `wall` are the current times of both clocks.
    pub fn observe(&mut self, now: MonotonicTime, wall: WallTime) {
        let offset_nanos = offset_nanos(wall, now);
        let step_nanos = offset_nanos - self.latest().offset_nanos;
        if step_nanos.unsigned_abs() < MIN_STEP.as_nanos() {
            return;
        }
        tracing::warn!(step_ms = step_nanos / NANOS_PER_MILLISECOND, "wall clock stepped");
        if self.segments.len() == MAX_SEGMENTS {
            self.segments.remove(0);
        }
        self.segments.push(Segment { start: now, offset_nanos });
    }

    fn latest(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// Converts a past wall-clock time to the node's clock; `now` is the current time of the node's clock.
    pub fn to_monotonic(&self, wall: WallTime, now: MonotonicTime) -> MonotonicTime {
        let wall = i128::from(wall.as_unix_nanos());
        let mut end = now;
        for (index, segment) in self.segments.iter().enumerate().rev() {
            let is_after_start = index == 0 || wall >= segment.to_wall_nanos(segment.start);
            if is_after_start && wall <= segment.to_wall_nanos(end) {
                let nanos = u64::try_from(wall - segment.offset_nanos).unwrap_or(0);
                return MonotonicTime::from_nanos(nanos);
            }
            end = segment.start;
        }
        // The wall clock stepped over this time, or it lies in the future.
        let later = self.segments.iter().rev().find(|segment| segment.to_wall_nanos(segment.start) > wall);
        later.map_or(now, |segment| segment.start)
    }
}

fn offset_nanos(wall: WallTime, now: MonotonicTime) -> i128 {
    i128::from(wall.as_unix_nanos()) - i128::from(now.as_nanos())
}

#[cfg(test)]
mod tests;

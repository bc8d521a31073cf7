//! Wall-clock times of other machines on this node's clock, which never steps.
//!
//! The node's clock is monotonic; the wall clock, by which discovery says when a server started, may step forward or back
//! at any time. Between two steps the two differ by a constant: each such stretch is kept, and a wall-clock time is
//! looked up in the stretch that it falls into. Where it falls into several (the clock went back and the hour came
//! twice) the latest counts, where into none (the clock went forward past it) the moment of the step, and where it lies
//! ahead, now: a server is rather taken for younger than for older, since a young one gets less.
//!
//! This is the one place where an instant of the wall clock becomes one of the node's clock. Both are numbers of
//! nanoseconds, and their signed difference is what is computed with.

use sparbank_time::{MonotonicTime, WallTime};
use std::time::Duration;

/// A difference of less than this is no step: two clocks are never read at the same instant.
const MIN_STEP: Duration = Duration::from_millis(50);
const NANOS_PER_MILLISECOND: i128 = 1_000_000;
/// Stretches that are kept; the oldest are forgotten.
const MAX_STRETCHES: usize = 32;

/// A time between two steps of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stretch {
    /// When it began, on the node's clock.
    from: MonotonicTime,
    /// What the wall clock is ahead of the node's, in nanoseconds; negative where it is behind.
    ahead_nanos: i128,
}

impl Stretch {
    fn to_wall(self, node_time: MonotonicTime) -> i128 {
        i128::from(node_time.as_nanos()) + self.ahead_nanos
    }
}

/// How the wall clock has stepped under the node's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WallClock {
    /// The oldest first; never empty.
    stretches: Vec<Stretch>,
}

impl WallClock {
    /// Both clocks as they are now.
    pub fn new(now: MonotonicTime, wall: WallTime) -> WallClock {
        WallClock { stretches: vec![Stretch { from: now, ahead_nanos: difference_nanos(wall, now) }] }
    }

    /// Both clocks as they are now: notices a step since the last look.
    pub fn observe(&mut self, now: MonotonicTime, wall: WallTime) {
        let ahead_nanos = difference_nanos(wall, now);
        let step_nanos = ahead_nanos - self.latest().ahead_nanos;
        if step_nanos.unsigned_abs() < MIN_STEP.as_nanos() {
            return;
        }
        tracing::warn!(step_ms = step_nanos / NANOS_PER_MILLISECOND, "wall clock stepped");
        if self.stretches.len() == MAX_STRETCHES {
            self.stretches.remove(0);
        }
        self.stretches.push(Stretch { from: now, ahead_nanos });
    }

    fn latest(&self) -> Stretch {
        self.stretches[self.stretches.len() - 1]
    }

    /// A wall-clock time of the past on the node's clock, which shows `now`.
    pub fn to_node_time(&self, wall: WallTime, now: MonotonicTime) -> MonotonicTime {
        let wall = i128::from(wall.as_unix_nanos());
        let mut end = now;
        for (index, stretch) in self.stretches.iter().enumerate().rev() {
            let is_after_start = index == 0 || wall >= stretch.to_wall(stretch.from);
            if is_after_start && wall <= stretch.to_wall(end) {
                let nanos = u64::try_from(wall - stretch.ahead_nanos).unwrap_or(0);
                return MonotonicTime::from_nanos(nanos);
            }
            end = stretch.from;
        }
        // It was stepped over, or lies ahead.
        let later = self.stretches.iter().rev().find(|stretch| stretch.to_wall(stretch.from) > wall);
        later.map_or(now, |stretch| stretch.from)
    }
}

fn difference_nanos(wall: WallTime, now: MonotonicTime) -> i128 {
    i128::from(wall.as_unix_nanos()) - i128::from(now.as_nanos())
}

#[cfg(test)]
mod tests;

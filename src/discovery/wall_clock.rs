//! Wall-clock times of other machines on this node's clock, which never steps.
//!
//! The node's clock is monotonic; the wall clock, by which discovery says when a server started, may step forward or back
//! at any time. Between two steps the two differ by a constant: each such stretch is kept, and a wall-clock time is
//! looked up in the stretch that it falls into. Where it falls into several (the clock went back and the hour came
//! twice) the latest counts, where into none (the clock went forward past it) the moment of the step, and where it lies
//! ahead, now: a server is rather taken for younger than for older, since a young one gets less.

use crate::model::Nanos;

/// A difference of less than this is no step: two clocks are never read at the same instant.
const MIN_STEP: i128 = 50_000_000;
/// Stretches that are kept; the oldest are forgotten.
const MAX_STRETCHES: usize = 32;

/// A time between two steps of the wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stretch {
    /// When it began, on the node's clock.
    from: Nanos,
    /// What the wall clock is ahead of the node's.
    ahead: i128,
}

impl Stretch {
    fn to_wall(self, node_time: Nanos) -> i128 {
        i128::from(node_time) + self.ahead
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
    pub fn new(now: Nanos, wall: Nanos) -> WallClock {
        WallClock { stretches: vec![Stretch { from: now, ahead: difference(wall, now) }] }
    }

    /// Both clocks as they are now: notices a step since the last look.
    pub fn observe(&mut self, now: Nanos, wall: Nanos) {
        let ahead = difference(wall, now);
        let latest = self.latest();
        if (ahead - latest.ahead).abs() < MIN_STEP {
            return;
        }
        let ms = (ahead - latest.ahead) / 1_000_000;
        crate::log::line(format_args!("wall-clock-stepped ms={ms}"));
        if self.stretches.len() == MAX_STRETCHES {
            self.stretches.remove(0);
        }
        self.stretches.push(Stretch { from: now, ahead });
    }

    fn latest(&self) -> Stretch {
        self.stretches[self.stretches.len() - 1]
    }

    /// A wall-clock time of the past on the node's clock, which shows `now`.
    pub fn to_node_time(&self, wall: Nanos, now: Nanos) -> Nanos {
        let wall = i128::from(wall);
        let mut end = now;
        for (index, stretch) in self.stretches.iter().enumerate().rev() {
            let is_after_start = index == 0 || wall >= stretch.to_wall(stretch.from);
            if is_after_start && wall <= stretch.to_wall(end) {
                return Nanos::try_from(wall - stretch.ahead).unwrap_or(0);
            }
            end = stretch.from;
        }
        // It was stepped over, or lies ahead.
        let later = self.stretches.iter().rev().find(|stretch| stretch.to_wall(stretch.from) > wall);
        later.map_or(now, |stretch| stretch.from)
    }
}

fn difference(wall: Nanos, now: Nanos) -> i128 {
    i128::from(wall) - i128::from(now)
}

#[cfg(test)]
mod tests;

//! Timers: coarse ticks on a wheel.

use crate::vocabulary::Nanos;

/// A tick.
pub const TICK: Nanos = 5_000_000;
const SLOTS: usize = 1024;

/// Holds what is due when. Nothing is withdrawn: who set a timer ignores one that no longer matters.
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    /// All ticks up to this one have been given out.
    done: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    pub fn new(now: Nanos) -> TimerWheel<T> {
        TimerWheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), done: now / TICK, len: 0 }
    }

    /// Puts something on the wheel for the first tick at or after this time.
    pub fn schedule(&mut self, when: Nanos, what: T) {
        let tick = when.div_ceil(TICK).max(self.done + 1);
        self.slots[tick as usize % SLOTS].push((tick, what));
        self.len += 1;
    }

    /// What is due by now, in order.
    pub fn take_expired(&mut self, now: Nanos) -> Vec<T> {
        let (target, mut out) = (now / TICK, Vec::new());
        while self.done < target {
            self.done += 1;
            if self.len == 0 {
                self.done = target;
                break;
            }
            let tick = self.done;
            let slot = &mut self.slots[tick as usize % SLOTS];
            let before = out.len();
            for (when, what) in std::mem::take(slot) {
                if when <= tick {
                    out.push(what);
                } else {
                    slot.push((when, what));
                }
            }
            self.len -= out.len() - before;
        }
        out
    }

    /// How long the loop may sleep.
    pub fn time_until_next(&self, now: Nanos) -> Nanos {
        let ahead = (1..=SLOTS as u64)
            .find(|ahead| !self.slots[(self.done + ahead) as usize % SLOTS].is_empty())
            .unwrap_or(SLOTS as u64);
        ((self.done + ahead) * TICK).saturating_sub(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nothing_comes_early_and_a_far_timer_waits_its_rounds() {
        let mut wheel = TimerWheel::new(7);
        let far = TICK * (SLOTS as u64 + 3);
        wheel.schedule(far, "far");
        wheel.schedule(TICK * 3 + 1, "near");
        assert!(wheel.take_expired(TICK * 4 - 1).is_empty());
        assert_eq!(wheel.take_expired(TICK * 4), ["near"]);
        assert!(wheel.take_expired(far - 1).is_empty());
        assert_eq!(wheel.take_expired(far), ["far"]);
    }
}

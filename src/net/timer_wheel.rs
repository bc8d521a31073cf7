//! A timer wheel with coarse ticks.
//!
//! The event loop owns one wheel and takes the expired items in each iteration. Timers cannot be cancelled:
//! the caller ignores an item that is no longer relevant when it expires. This makes scheduling a
//! constant-time operation, and a timer needs no memory other than its entry.

use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Resolution of the wheel. A timer expires at most this much late, and never early.
const TICK: Duration = Duration::from_millis(5);
const TICK_NANOS: u64 = TICK.as_nanos() as u64;
/// Number of slots. A timer that is more than one revolution ahead stays in its slot for several revolutions.
const SLOT_COUNT: usize = 1024;

struct Timer<T> {
    expires_at_tick: u64,
    item: T,
}

/// A queue of items that expire at given times.
pub struct TimerWheel<T> {
    slots: Vec<Vec<Timer<T>>>,
    /// All timers up to and including this tick have been taken.
    current_tick: u64,
    timer_count: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel.
    pub fn new(now: MonotonicTime) -> TimerWheel<T> {
        let slots = (0..SLOT_COUNT).map(|_| Vec::new()).collect();
        TimerWheel { slots, current_tick: now.as_nanos() / TICK_NANOS, timer_count: 0 }
    }

    /// Schedules an item for the first tick at or after `expires_at`, but no earlier than the next tick.
    pub fn schedule(&mut self, expires_at: MonotonicTime, item: T) {
        let expires_at_tick = expires_at.as_nanos().div_ceil(TICK_NANOS).max(self.current_tick + 1);
        self.slots[slot_index(expires_at_tick)].push(Timer { expires_at_tick, item });
        self.timer_count += 1;
    }

    /// Takes all items that have expired, ordered by tick and, within a tick, by order of scheduling.
    pub fn take_expired(&mut self, now: MonotonicTime) -> Vec<T> {
        let target_tick = now.as_nanos() / TICK_NANOS;
        let mut expired = Vec::new();
        while self.current_tick < target_tick {
            if self.timer_count == 0 {
                self.current_tick = target_tick;
                break;
            }
            self.current_tick += 1;
            self.expire_current_tick(&mut expired);
        }
        expired
    }

    fn expire_current_tick(&mut self, expired: &mut Vec<T>) {
        let slot = &mut self.slots[slot_index(self.current_tick)];
        for timer in std::mem::take(slot) {
            if timer.expires_at_tick <= self.current_tick {
                expired.push(timer.item);
                self.timer_count -= 1;
            } else {
                slot.push(timer);
            }
        }
    }

    /// Returns how long the event loop may sleep: until the next tick whose slot holds a timer, and at most for one
    /// revolution.
    pub fn time_until_next(&self, now: MonotonicTime) -> Duration {
        let ticks_ahead = (1..=SLOT_COUNT as u64)
            .find(|ahead| !self.slots[slot_index(self.current_tick + ahead)].is_empty())
            .unwrap_or(SLOT_COUNT as u64);
        let next = MonotonicTime::from_nanos((self.current_tick + ticks_ahead) * TICK_NANOS);
        next.saturating_duration_since(now)
    }
}

fn slot_index(tick: u64) -> usize {
    tick as usize % SLOT_COUNT
}

#[cfg(test)]
mod tests;

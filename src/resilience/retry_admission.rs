//! The turn of those that come again: returning clients, clients' repeats and attempts after one that failed.
//!
//! A new client's first attempt never waits here. The others share a window, which quick set-ups open and late
//! or failed ones close: what is out at once is bounded, so a node that knows nothing yet, as after a restart,
//! begins with one. While set-ups fall short of the node's part they also keep a gap, and whoever would wait
//! longer for it than it can is told so at once. No clock, no random numbers, no I/O.

use crate::vocabulary::Nanos;

/// What a quick set-up adds to the window: doubled by two in a row.
const EASES: f64 = 1.5;
/// What a late set-up leaves of it, and what a failed one does: one may be its server's doing alone.
const LATE: f64 = 0.7;
const FAILED: f64 = 0.5;
/// The widest window: what a node has out at once when all is well; the next late set-up halves it.
const WIDEST: f64 = 64.0;
/// Below this the gap is kept, by as much less of the node's part; two failures after a start bring it there.
const SHORT: f64 = 0.5;
/// It closes no further: half the node's part always goes.
const NARROWEST: f64 = 0.25;

/// The window, and who is out and who waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Returns {
    width: f64,
    out: u32,
    waiting: u32,
    next: Nanos,
    /// When an attempt last failed: what was sent before that and fails tells nothing new.
    failed_at: Nanos,
    /// What was said last: that the gap is kept.
    short: bool,
}

impl Default for Returns {
    fn default() -> Returns {
        Returns { width: 1.0, out: 0, waiting: 0, next: 0, failed_at: 0, short: false }
    }
}

impl Returns {
    /// Whether one that comes again has to wait now. `waits` says whether it did, and is brought up to date.
    pub fn wait(&mut self, now: Nanos, comes_again: bool, waits: &mut bool) -> bool {
        let full = self.out >= self.width.max(1.0) as u32 || (self.short && now < self.next);
        self.leave(std::mem::replace(waits, comes_again && full));
        self.waiting += u32::from(*waits);
        *waits
    }

    /// Whether one that waits had better be told to come later: its turn comes after it can wait no more.
    pub fn too_late(&self, now: Nanos, gap: Nanos, deadline: Nanos) -> bool {
        self.short && now < self.next && now.saturating_add(self.turn(gap)) >= deadline
    }

    /// How long all that wait now will have taken, nanoseconds.
    pub fn turn(&self, gap: Nanos) -> Nanos {
        gap.saturating_mul(u64::from(self.waiting))
    }

    /// One goes without having been sent; `waits` says whether it waited here.
    pub fn leave(&mut self, waits: bool) {
        self.waiting = self.waiting.saturating_sub(u32::from(waits));
    }

    /// An attempt is out; the next of those that come again goes no sooner than this.
    pub fn sent(&mut self, next: Nanos) {
        self.out += 1;
        self.next = next;
    }

    /// A set-up stood, quickly or late. Gives what the people on call should read, if anything.
    pub fn stood(&mut self, quick: bool) -> Option<&'static str> {
        self.out = self.out.saturating_sub(1);
        let by = if quick { EASES } else { LATE };
        self.width = (self.width * by).clamp(NARROWEST, WIDEST);
        self.news()
    }

    /// An attempt is over before it stood; where it failed in a way that what all share may have caused, it was
    /// sent then.
    pub fn over(&mut self, failed: Option<Nanos>, now: Nanos) -> Option<&'static str> {
        self.out = self.out.saturating_sub(1);
        if failed.is_some_and(|sent| sent >= self.failed_at) {
            self.failed_at = now;
            self.width = (self.width * FAILED).max(NARROWEST);
        }
        self.news()
    }

    fn news(&mut self) -> Option<&'static str> {
        let was = std::mem::replace(&mut self.short, self.width < SHORT);
        match (was, self.short) {
            (false, true) => Some("set-ups fall short: who comes again waits for the relay's part"),
            (true, false) => Some("set-ups stand again"),
            _ => None,
        }
    }

    /// The part of the node's part that goes, where set-ups fall short.
    pub fn part(&self) -> Option<f64> {
        self.short.then_some(self.width / SHORT)
    }
}

/// A Full Jitter sleep's bound: min(cap, base * 2^attempt).
pub fn backoff(base: Nanos, cap: Nanos, attempt: u32) -> Nanos {
    base.saturating_mul(1 << attempt.min(32)).min(cap)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// After a start one goes at a time; what stands quickly opens the window in a few steps, and what comes
    /// late or fails closes it as fast.
    #[test]
    fn the_window_follows_how_quickly_setups_stand() {
        let (mut returns, mut waits) = (Returns::default(), false);
        assert!(!returns.wait(0, true, &mut waits));
        returns.sent(0);
        assert!(returns.wait(1, true, &mut waits), "one is out");
        let mut new = false;
        assert!(!returns.wait(1, false, &mut new), "a new client's first attempt never waits");
        (0..6).for_each(|_| assert_eq!(returns.stood(true), None));
        for _ in 0..11 {
            assert!(!returns.wait(2, true, &mut waits));
            returns.sent(2);
        }
        assert!(returns.wait(3, true, &mut waits), "eleven are out");
        for (sent, now) in [(2, 10), (10, 11), (11, 12), (12, 13)] {
            assert_eq!((returns.over(Some(sent), now), returns.part()), (None, None));
        }
        // What was sent before that failure was known tells nothing new.
        assert_eq!((returns.over(Some(12), 14), returns.part()), (None, None));
        assert!(returns.over(Some(13), 14).is_some_and(|words| words.contains("fall short")));
        (14..20).for_each(|at| assert_eq!(returns.over(Some(at), at), None, "said once"));
        assert_eq!(returns.part(), Some(0.5));
        assert_eq!(returns.stood(true), None);
        assert_eq!(returns.stood(true), Some("set-ups stand again"));
        assert_eq!(returns.part(), None);
    }

    /// Those that wait are counted once each, and whoever can't wait for its turn is told.
    #[test]
    fn who_waits_is_counted_and_whoever_cannot_is_told() {
        let mut returns = Returns { width: NARROWEST, short: true, ..Returns::default() };
        returns.sent(500);
        let mut waits = [false; 3];
        for waits in &mut waits {
            assert!(returns.wait(10, true, waits) && returns.wait(20, true, waits));
        }
        assert_eq!(returns.turn(100), 300);
        assert!(returns.too_late(20, 100, 320) && !returns.too_late(20, 100, 321));
        assert!(!returns.too_late(500, 100, 320), "the gap is over: it is its turn");
        assert_eq!(returns.over(None, 500), None);
        assert!(!returns.wait(500, true, &mut waits[0]));
        returns.leave(waits[1]);
        assert_eq!((returns.turn(100), waits), (100, [false, true, true]));
    }
}

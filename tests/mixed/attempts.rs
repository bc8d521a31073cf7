//! Records the attempts as the servers observe them, and counts the rules that they violate.

use crate::items::is_non_idempotent;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Tolerance for events that threads record in another order than they happened in.
const REORDERING_SLACK: Duration = Duration::from_millis(150);
/// A draining server may get new attempts for this long after the node was notified of the drain.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

struct Attempt {
    started_at: Instant,
    ended_at: Option<Instant>,
    has_run: bool,
}

#[derive(Default)]
struct Attempts {
    /// The attempts of each item, in the order in which they began.
    attempts: HashMap<u64, Vec<Attempt>>,
    /// Number of attempts that began at a server too long after its drain was announced.
    after_drain: u64,
}

#[derive(Clone, Copy)]
pub struct AttemptId {
    pub item: u64,
    /// Index among the attempts of the item.
    index: usize,
}

/// The number of violations of each rule.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Attempts that began before the previous attempt of the same item had ended.
    overlapping_attempts: usize,
    /// Non-idempotent items that ran more than once.
    run_twice: usize,
    /// Attempts that began at a server too long after its drain was announced.
    after_drain: u64,
}

/// The attempts of all items, as the servers observe them.
#[derive(Default)]
pub struct AttemptLog(Mutex<Attempts>);

impl AttemptLog {
    fn lock(&self) -> MutexGuard<'_, Attempts> {
        self.0.lock().expect("no thread panicked")
    }

    /// Records the start of an attempt at a server, and since when the server drains, if it does.
    pub fn begin(&self, item: u64, draining_since: Option<Instant>) -> AttemptId {
        let started_at = Instant::now();
        let mut log = self.lock();
        if draining_since.is_some_and(|since| started_at > since + DRAIN_GRACE + REORDERING_SLACK) {
            log.after_drain += 1;
        }
        let attempts = log.attempts.entry(item).or_default();
        attempts.push(Attempt { started_at, ended_at: None, has_run: false });
        AttemptId { item, index: attempts.len() - 1 }
    }

    /// Records that an attempt has run.
    pub fn end_served(&self, id: AttemptId) {
        self.end(id, |attempt| attempt.has_run = true);
    }

    /// Records that an attempt ended without having run.
    pub fn end_unserved(&self, id: AttemptId) {
        self.end(id, |_| {});
    }

    fn end(&self, id: AttemptId, update: impl FnOnce(&mut Attempt)) {
        let mut log = self.lock();
        if let Some(attempt) = log.attempts.get_mut(&id.item).and_then(|attempts| attempts.get_mut(id.index))
        {
            attempt.ended_at.get_or_insert(Instant::now());
            update(attempt);
        }
    }

    /// The violations so far.
    pub fn violations(&self) -> Violations {
        let log = self.lock();
        let mut violations = Violations { after_drain: log.after_drain, ..Violations::default() };
        for (item, attempts) in &log.attempts {
            let overlaps = |pair: &[Attempt]| {
                pair[0].ended_at.is_none_or(|ended_at| ended_at > pair[1].started_at + REORDERING_SLACK)
            };
            violations.overlapping_attempts += attempts.windows(2).filter(|pair| overlaps(pair)).count();
            let runs = attempts.iter().filter(|attempt| attempt.has_run).count();
            violations.run_twice += usize::from(is_non_idempotent(*item) && runs > 1);
        }
        violations
    }
}

//! The attempts at all servers, as the servers saw them, and the rules that they broke.

use crate::items::must_run_once;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One thread may notice something this much later than another one.
const REORDERING_SLACK: Duration = Duration::from_millis(150);
/// A server may get something new this long after the node was notified that it drains.
const DRAIN_GRACE: Duration = Duration::from_millis(250);

struct Attempt {
    started_at: Instant,
    ended_at: Option<Instant>,
    has_run: bool,
}

#[derive(Default)]
struct Attempts {
    /// By item.
    attempts: HashMap<u64, Vec<Attempt>>,
    after_drain: u64,
}

/// Identifies an attempt.
#[derive(Clone, Copy)]
pub struct AttemptId {
    pub item: u64,
    /// Which of the item's attempts it is.
    index: usize,
}

/// The rules that were broken, with the number of times.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Breaches {
    /// Attempts that overlapped with the one before.
    overlapping_attempts: usize,
    /// Items that ran twice and must not.
    run_twice: usize,
    /// Attempts at a server whose drain the node knew for long enough.
    after_drain: u64,
}

/// What happened to each item, as the servers saw it.
#[derive(Default)]
pub struct AttemptLog(Mutex<Attempts>);

impl AttemptLog {
    fn lock(&self) -> MutexGuard<'_, Attempts> {
        self.0.lock().expect("no thread failed")
    }

    /// An attempt begins, at a server that drains since this time.
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

    /// An attempt has run.
    pub fn end_served(&self, id: AttemptId) {
        self.end(id, |attempt| attempt.has_run = true);
    }

    /// An attempt ended without having run.
    pub fn end_unserved(&self, id: AttemptId) {
        self.end(id, |_| {});
    }

    fn end(&self, id: AttemptId, update: impl FnOnce(&mut Attempt)) {
        let mut log = self.lock();
        if let Some(attempt) = log.attempts.get_mut(&id.item).and_then(|all| all.get_mut(id.index)) {
            attempt.ended_at.get_or_insert(Instant::now());
            update(attempt);
        }
    }

    /// The rules that were broken so far.
    pub fn breaches(&self) -> Breaches {
        let log = self.lock();
        let mut breaches = Breaches { after_drain: log.after_drain, ..Breaches::default() };
        for (item, attempts) in &log.attempts {
            let overlap = |pair: &[Attempt]| {
                pair[0].ended_at.is_none_or(|ended_at| ended_at > pair[1].started_at + REORDERING_SLACK)
            };
            breaches.overlapping_attempts += attempts.windows(2).filter(|pair| overlap(pair)).count();
            let runs = attempts.iter().filter(|attempt| attempt.has_run).count();
            breaches.run_twice += usize::from(must_run_once(*item) && runs > 1);
        }
        breaches
    }
}

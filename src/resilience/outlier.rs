//! How far a node trusts an entry of the list, and how long it leaves one alone that failed.
//!
//! What a newer list confirmed, or what answered, is *sure*: its failures eject it for a Full Jitter time from
//! about a second on. What only a saved list names is *unsure*, and may be long gone: while there are others it
//! gets one attempt at a time, until one shows that somebody is there; its first failure ejects it for up to
//! [`EJECT_CAP`], its second for longer than that. So within any `EJECT_CAP` it costs two attempts, and more only
//! where all that may be sent to have one out. No clock, no random numbers, no I/O.

use crate::random::below;
use crate::resilience::retry_admission::backoff;
use crate::vocabulary::Nanos;
use serde::{Deserialize, Serialize};

/// Ejection starts at up to this and doubles: about the time of one noticed failure.
const EJECT_BASE: Nanos = 1_000_000_000;
/// A sure entry's ejection never exceeds this, so that a server restored unseen is tried again.
pub const EJECT_CAP: Nanos = 30_000_000_000;

/// One entry's standing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Trust {
    /// Failures since it last stood.
    failures: u32,
    ejected_until: Nanos,
    /// Only a list that may be old names it. A process that takes this one's place has a newer one.
    #[serde(skip)]
    unsure: bool,
}

impl Trust {
    /// A list names the entry: a saved one, or one from discovery; `new` if under another start than before.
    pub fn named(&mut self, saved: bool, new: bool) {
        if new {
            *self = Trust::default();
        }
        self.unsure = saved;
    }

    /// A newer list than the saved one has come: what it removed is gone, what it left is there.
    pub fn confirmed(&mut self) {
        if std::mem::take(&mut self.unsure) {
            *self = Trust::default();
        }
    }

    /// Whether it may be sent to now.
    pub fn allows(&self, now: Nanos) -> bool {
        self.ejected_until <= now
    }

    /// Whether one more attempt there, beside so many that are out, is no bet on an entry that may be gone:
    /// others go first.
    pub fn is_free(&self, held: usize) -> bool {
        !self.unsure || held == 0
    }

    /// Whether it may be long gone: then a broken connection counts as a failure too.
    pub fn is_unsure(&self) -> bool {
        self.unsure
    }

    /// Something stands there, or stood before this process began.
    pub fn stood(&mut self) {
        *self = Trust::default();
    }

    /// An attempt failed; `answered` if with an answer, which shows that somebody is there.
    pub fn failed(&mut self, now: Nanos, roll: u64, answered: bool) {
        self.failures += 1;
        self.unsure &= !answered;
        let rest = match (self.unsure, self.failures) {
            (true, 1) => below(roll, EJECT_CAP),
            (true, _) => EJECT_CAP + below(roll, EJECT_CAP),
            (false, failures) => below(roll, backoff(EJECT_BASE, EJECT_CAP, failures)),
        };
        self.ejected_until = self.ejected_until.max(now.saturating_add(rest));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const ROLLS: [u64; 3] = [0, u64::MAX / 2, u64::MAX];

    #[test]
    fn an_old_entry_costs_two_attempts_within_any_cap() {
        for (first, second) in ROLLS.iter().flat_map(|a| ROLLS.iter().map(move |b| (*a, *b))) {
            let mut trust = Trust::default();
            trust.named(true, false);
            assert!(trust.is_free(0) && !trust.is_free(1), "one at a time");
            let sent = 7;
            trust.failed(sent, first, false);
            let again = sent + below(first, EJECT_CAP);
            assert!(trust.allows(again));
            trust.failed(again, second, false);
            assert!(!trust.allows(sent + EJECT_CAP - 1), "no third within {first} {second}");
            trust.confirmed();
            assert!(trust.allows(sent) && trust.is_free(9), "a newer list names it");
        }
    }

    #[test]
    fn one_that_answers_is_as_any_other() {
        let mut trust = Trust::default();
        trust.named(true, false);
        trust.failed(0, u64::MAX, true);
        assert!(!trust.is_unsure() && trust.allows(2 * EJECT_BASE));
        trust.named(true, false);
        trust.stood();
        assert!(trust.allows(0) && trust.is_free(5), "it stands: more than one at a time");
    }

    #[test]
    fn another_start_begins_anew_and_the_same_does_not() {
        let mut trust = Trust::default();
        trust.failed(0, u64::MAX, false);
        trust.named(false, false);
        assert!(!trust.allows(EJECT_BASE));
        trust.named(false, true);
        assert!(trust.allows(0));
    }
}

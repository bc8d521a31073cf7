//! Whether a request may have one more attempt.

use crate::resilience::AttemptHistory;
use crate::vocabulary::{Nanos, RequestClass, Settings};
use std::fmt;

/// What is known of a request that waits for its next attempt.
#[derive(Clone, Copy, Debug)]
pub struct RepeatFacts<'a> {
    /// The time.
    pub now: Nanos,
    /// When the request's client stops waiting.
    pub deadline: Nanos,
    /// The attempts so far.
    pub attempts: &'a AttemptHistory,
    /// The request's class.
    pub class: &'a RequestClass,
    /// The request waits for admission, and its turn would come after its deadline.
    pub misses_turn: bool,
}

/// Why a request gets no further attempt: it has its final answer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRefusal {
    /// The client's time is over.
    DeadlinePassed,
    /// Its turn among the retries would come too late.
    TurnTooLate,
    /// All attempts are used up.
    AttemptsUsed,
    /// An earlier attempt may have run, and a repeat might run again.
    MayHaveRun,
}

impl fmt::Display for RepeatRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RepeatRefusal::DeadlinePassed => "deadline-passed",
            RepeatRefusal::TurnTooLate => "turn-too-late",
            RepeatRefusal::AttemptsUsed => "attempts-used",
            RepeatRefusal::MayHaveRun => "may-have-run",
        })
    }
}

/// Whether the request may have one more attempt.
///
/// # Errors
/// The first reason against it.
pub fn may_repeat(facts: &RepeatFacts, settings: &Settings) -> Result<(), RepeatRefusal> {
    if facts.now >= facts.deadline {
        return Err(RepeatRefusal::DeadlinePassed);
    }
    if facts.misses_turn {
        return Err(RepeatRefusal::TurnTooLate);
    }
    if facts.attempts.count() >= settings.max_attempts {
        return Err(RepeatRefusal::AttemptsUsed);
    }
    if !facts.attempts.may_repeat(facts.class, facts.now, settings.dial_timeout) {
        return Err(RepeatRefusal::MayHaveRun);
    }
    Ok(())
}

//! Whether a request may have one more attempt.

use crate::model::{RequestClass, Settings};
use crate::resilience::AttemptHistory;
use sparbank_time::MonotonicTime;
use std::fmt;

/// What is known of a request that waits for its next attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryInputs<'a> {
    /// The time.
    pub now: MonotonicTime,
    /// When the request's client stops waiting.
    pub deadline: MonotonicTime,
    /// The attempts so far.
    pub attempts: &'a AttemptHistory,
    /// The request's class.
    pub class: &'a RequestClass,
    /// The request waits for admission, and its turn would come after its deadline.
    pub misses_deadline: bool,
}

/// Why a request gets no further attempt: it has its final answer now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryRefusal {
    /// The client's time is over.
    DeadlinePassed,
    /// Its turn among the retries would come too late.
    QueueTooSlow,
    /// All attempts are used up.
    AttemptsUsed,
    /// An earlier attempt may have run, and a repeat might run again.
    MayHaveRun,
}

impl fmt::Display for RetryRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RetryRefusal::DeadlinePassed => "deadline-passed",
            RetryRefusal::QueueTooSlow => "queue-too-slow",
            RetryRefusal::AttemptsUsed => "attempts-used",
            RetryRefusal::MayHaveRun => "may-have-run",
        })
    }
}

/// Whether the request may have one more attempt.
///
/// # Errors
/// The first reason against it.
pub fn may_retry(inputs: &RetryInputs, settings: &Settings) -> Result<(), RetryRefusal> {
    if inputs.now >= inputs.deadline {
        return Err(RetryRefusal::DeadlinePassed);
    }
    if inputs.misses_deadline {
        return Err(RetryRefusal::QueueTooSlow);
    }
    if inputs.attempts.count() >= settings.max_attempts {
        return Err(RetryRefusal::AttemptsUsed);
    }
    if !inputs.attempts.may_retry(inputs.class, inputs.now, settings.dial_timeout) {
        return Err(RetryRefusal::MayHaveRun);
    }
    Ok(())
}

//! The check before a further attempt of a request.

use crate::model::{RequestClass, Settings};
use crate::resilience::AttemptHistory;
use sparbank_time::MonotonicTime;

/// The state of a request that is waiting for its next attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryInputs<'a> {
    pub now: MonotonicTime,
    pub deadline: MonotonicTime,
    /// The attempts so far.
    pub attempts: &'a AttemptHistory,
    pub class: &'a RequestClass,
    /// The request is queued for admission and would be admitted only after its deadline.
    pub misses_deadline: bool,
}

/// Why a request gets no further attempt. The final answer follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    /// The request's deadline has passed.
    #[error("deadline-passed")]
    DeadlinePassed,
    /// The request is queued for admission and would be admitted only after its deadline.
    #[error("queue-too-slow")]
    QueueTooSlow,
    /// The maximum number of attempts has been made.
    #[error("attempts-used")]
    AttemptsUsed,
    /// An earlier attempt may have run, and its effect must not run twice.
    #[error("may-have-run")]
    MayHaveRun,
}

/// Checks whether the request may have one more attempt.
///
/// # Errors
/// Returns the first reason against it.
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

//! Exponential backoff with Full Jitter: the caller draws the delay uniformly from zero to this module's limit.

use crate::model::RequestClass;
use sparbank_time::DurationExt;
use std::time::Duration;

/// Larger exponents add nothing: every cap in use lies far below 2^32 times its base.
const MAX_EXPONENT: u32 = 32;
/// The base of a request's backoff is the class's objective divided by this.
const BASE_DIVISOR: u32 = 4;
/// The cap of a request's backoff is the class's hard limit divided by this.
const CAP_DIVISOR: u32 = 4;

/// The upper limit of a Full Jitter delay: `min(cap, base * 2^attempt)`.
pub fn full_jitter_limit(base: Duration, cap: Duration, attempt: u32) -> Duration {
    let nanos = base.as_nanos_u64().saturating_mul(1 << attempt.min(MAX_EXPONENT));
    Duration::from_nanos(nanos).min(cap)
}

/// The upper limit of a request's backoff. While the node is throttled to one set-up per `setup_interval`, the backoff
/// is at least of that order, within three quarters of the time that a client waits.
pub fn request_backoff_limit(class: &RequestClass, setup_interval: Duration, backoffs: u32) -> Duration {
    let base = (class.objective / BASE_DIVISOR).max(setup_interval / 2);
    let paced_cap = setup_interval.min(class.hard_limit * 3 / 4);
    let cap = (class.hard_limit / CAP_DIVISOR).max(paced_cap);
    full_jitter_limit(base, cap, backoffs)
}

#[cfg(test)]
mod tests;

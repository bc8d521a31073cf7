//! Exponential backoff with Full Jitter: the caller draws the delay uniformly from zero to this module's limit.

use crate::model::{Nanos, RequestClass};

/// Larger exponents add nothing: every cap in use lies far below 2^32 times its base.
const MAX_EXPONENT: u32 = 32;
/// The base of a request's backoff is the class's objective divided by this.
const BASE_DIVISOR: Nanos = 4;
/// The cap of a request's backoff is the class's hard limit divided by this.
const CAP_DIVISOR: Nanos = 4;

/// The upper limit of a Full Jitter delay: `min(cap, base * 2^attempt)`.
pub fn full_jitter_limit(base: Nanos, cap: Nanos, attempt: u32) -> Nanos {
    base.saturating_mul(1 << attempt.min(MAX_EXPONENT)).min(cap)
}

/// The upper limit of a request's backoff. While the node is throttled to one set-up per `setup_interval`, the backoff
/// is at least of that order, within three quarters of the time that a client waits.
pub fn request_backoff_limit(class: &RequestClass, setup_interval: Nanos, backoffs: u32) -> Nanos {
    let base = (class.objective / BASE_DIVISOR).max(setup_interval / 2);
    let paced_cap = setup_interval.min(class.hard_limit * 3 / 4);
    let cap = (class.hard_limit / CAP_DIVISOR).max(paced_cap);
    full_jitter_limit(base, cap, backoffs)
}

#[cfg(test)]
mod tests;

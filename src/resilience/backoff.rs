//! Exponential backoff with Full Jitter. This module computes the upper limit of a delay; the caller draws the delay
//! uniformly between zero and that limit.

use crate::model::RequestClass;
use sparbank_time::DurationExt;
use std::time::Duration;

/// Limits the shift. Larger exponents make no difference, as every cap in use is far below 2^32 times its base.
const MAX_EXPONENT: u32 = 32;
/// A request's backoff base is the objective of its class divided by this.
const BASE_DIVISOR: u32 = 4;
/// A request's backoff cap is the hard limit of its class divided by this.
const CAP_DIVISOR: u32 = 4;

/// The upper limit of a Full Jitter delay: `min(cap, base * 2^attempt)`.
pub fn full_jitter_limit(base: Duration, cap: Duration, attempt: u32) -> Duration {
    let nanos = base.as_nanos_u64().saturating_mul(1 << attempt.min(MAX_EXPONENT));
    Duration::from_nanos(nanos).min(cap)
}

/// The upper limit of a request's backoff. While the node is throttled to one connection set-up per `setup_interval`,
/// base and cap are raised to the order of that interval, the cap to at most three quarters of the hard limit.
pub fn request_backoff_limit(class: &RequestClass, setup_interval: Duration, backoffs: u32) -> Duration {
    let base = (class.objective / BASE_DIVISOR).max(setup_interval / 2);
    let paced_cap = setup_interval.min(class.hard_limit * 3 / 4);
    let cap = (class.hard_limit / CAP_DIVISOR).max(paced_cap);
    full_jitter_limit(base, cap, backoffs)
}

#[cfg(test)]
mod tests;

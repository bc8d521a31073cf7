//! Conversions of durations to plain numbers.

use std::time::Duration;

/// Conversions of a [`Duration`] to `u64` and `f64`. The conversions of the standard library to integers yield `u128`.
pub trait DurationExt {
    /// The duration in nanoseconds; `u64::MAX` for durations over 584 years.
    fn as_nanos_u64(&self) -> u64;
    /// Whole milliseconds; `u64::MAX` for durations that do not fit.
    fn as_millis_u64(&self) -> u64;
    /// Nanoseconds as a floating-point number: [`DurationExt::as_nanos_u64`], rounded to the nearest `f64`.
    fn as_nanos_f64(&self) -> f64;
}

impl DurationExt for Duration {
    #[inline]
    fn as_nanos_u64(&self) -> u64 {
        u64::try_from(self.as_nanos()).unwrap_or(u64::MAX)
    }

    #[inline]
    fn as_millis_u64(&self) -> u64 {
        u64::try_from(self.as_millis()).unwrap_or(u64::MAX)
    }

    #[inline]
    fn as_nanos_f64(&self) -> f64 {
        self.as_nanos_u64() as f64
    }
}

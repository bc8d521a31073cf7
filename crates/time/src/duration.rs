//! Conversions of spans to plain numbers.

use std::time::Duration;

/// Conversions that [`Duration`] lacks: its own ones to integers yield `u128`.
pub trait DurationExt {
    /// Whole nanoseconds; `u64::MAX` for spans over 584 years.
    fn as_nanos_u64(&self) -> u64;
    /// Whole milliseconds; `u64::MAX` for spans that do not fit.
    fn as_millis_u64(&self) -> u64;
    /// Nanoseconds as a floating-point number, rounded from the integer.
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

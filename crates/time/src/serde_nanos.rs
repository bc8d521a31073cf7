//! Serialization of a [`Duration`] as a number of nanoseconds, for `#[serde(with = "sparbank_time::serde_nanos")]`.

use crate::DurationExt;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::time::Duration;

/// Serializes a duration as whole nanoseconds; `u64::MAX` for durations over 584 years.
///
/// # Errors
/// Those of the serializer.
pub fn serialize<S: Serializer>(duration: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    duration.as_nanos_u64().serialize(serializer)
}

/// Deserializes a duration from whole nanoseconds.
///
/// # Errors
/// Those of the deserializer, for example for a negative number.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_nanos)
}

/// Serialization of an `Option<Duration>`, for `#[serde(with = "sparbank_time::serde_nanos::option")]`.
pub mod option {
    use super::{Deserialize, Deserializer, Duration, DurationExt, Serialize, Serializer};

    /// Serializes an optional duration as whole nanoseconds, or as none.
    ///
    /// # Errors
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(duration: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error> {
        duration.map(|duration| duration.as_nanos_u64()).serialize(serializer)
    }

    /// Deserializes an optional duration from whole nanoseconds, or none.
    ///
    /// # Errors
    /// Those of the deserializer.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Duration>, D::Error> {
        Ok(Option::<u64>::deserialize(deserializer)?.map(Duration::from_nanos))
    }
}

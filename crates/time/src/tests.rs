use crate::{serde_nanos, DurationExt, MonotonicTime, WallTime};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::time::Duration;

const MILLISECOND: Duration = Duration::from_millis(1);

#[rstest]
#[case(5_000_000, 2_000_000, 3)]
#[case(2_000_000, 5_000_000, 0)]
fn a_duration_since_a_later_instant_is_zero(
    #[case] later: u64,
    #[case] earlier: u64,
    #[case] expected_ms: u64,
) {
    let since =
        MonotonicTime::from_nanos(later).saturating_duration_since(MonotonicTime::from_nanos(earlier));
    assert_eq!(since, Duration::from_millis(expected_ms));
}

#[test]
fn sums_and_differences_saturate() {
    assert_eq!(MonotonicTime::MAX + MILLISECOND, MonotonicTime::MAX);
    assert_eq!(MonotonicTime::from_nanos(5) + Duration::MAX, MonotonicTime::MAX);
    assert_eq!(MonotonicTime::from_nanos(5) - MILLISECOND, MonotonicTime::ZERO);
    let mut time = MonotonicTime::ZERO;
    time += MILLISECOND;
    assert_eq!(time - Duration::from_nanos(1), MonotonicTime::from_nanos(999_999));
}

#[test]
fn durations_are_converted_to_numbers() {
    let duration = Duration::from_nanos(2_500_000);
    assert_eq!((duration.as_nanos_u64(), duration.as_millis_u64()), (2_500_000, 2));
    assert!((duration.as_nanos_f64() - 2.5e6).abs() < f64::EPSILON);
    assert_eq!(Duration::MAX.as_nanos_u64(), u64::MAX);
}

#[derive(Debug, PartialEq, Deserialize, Serialize)]
struct Stored {
    at: MonotonicTime,
    wall: WallTime,
    #[serde(with = "serde_nanos")]
    span: Duration,
    #[serde(with = "serde_nanos::option")]
    limit: Option<Duration>,
}

#[test]
fn times_are_serialized_as_numbers_of_nanoseconds() {
    let stored = Stored {
        at: MonotonicTime::from_nanos(7),
        wall: WallTime::from_unix_nanos(8),
        span: Duration::from_nanos(300),
        limit: Some(MILLISECOND),
    };
    let text = serde_json::to_string(&stored).expect("it can be serialized");
    assert_eq!(text, r#"{"at":7,"wall":8,"span":300,"limit":1000000}"#);
    assert_eq!(serde_json::from_str::<Stored>(&text).expect("it can be deserialized"), stored);
    let bytes = postcard::to_stdvec(&stored).expect("it can be serialized");
    let numbers =
        postcard::to_stdvec(&(7u64, 8u64, 300u64, Some(1_000_000u64))).expect("it can be serialized");
    assert_eq!(bytes, numbers);
}

//! The classes of the soak's requests, and their time limits.

use sparbank_test_support::invariants::{Limits, RetrySafety, SOCKET_SLACK};
use std::time::Duration;

/// How long a client waits for its answer, as its line says.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// Servers discard retries of requests with an idempotency key for this long.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(600);
/// An answer this long after its deadline is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// The time limits of a run.
pub const LIMITS: Limits = Limits {
    answer_within: Duration::from_millis(
        (DEADLINE.as_millis() + LOST_AFTER.as_millis() + SOCKET_SLACK.as_millis()) as u64,
    ),
    dedup_window: DEDUP_WINDOW,
    min_lateness: Duration::from_millis(10),
};

/// The name in the settings of the class whose requests may be retried like this.
pub fn class_name(safety: RetrySafety) -> &'static str {
    match safety {
        RetrySafety::Idempotent => "live",
        RetrySafety::Keyed => "keyed",
        RetrySafety::NonIdempotent => "once",
    }
}

//! The request classes of the soak test, and their time limits.

use sparbank_test_support::invariants::{Limits, RetrySafety, SOCKET_SLACK};
use std::time::Duration;

/// The deadline of every request, as its request line states it.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// The deadline of a line that restores a session.
pub const RESTORATION_DEADLINE: Duration = Duration::from_millis(8_000);
/// The number of attempts that the settings of the nodes allow for a request.
pub const MAX_ATTEMPTS: usize = 3;
/// For this long, servers discard retries of requests with an idempotency key.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(600);
/// A request without an answer this long after its deadline counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// The time limits that the checker applies.
pub const LIMITS: Limits = Limits {
    answer_within: Duration::from_millis(
        (DEADLINE.as_millis() + ANSWER_GRACE.as_millis() + SOCKET_SLACK.as_millis()) as u64,
    ),
    dedup_window: DEDUP_WINDOW,
    min_lateness: Duration::from_millis(10),
};

/// Time within which a restored session is up.
pub const RESTORED_WITHIN: Duration =
    Duration::from_millis((RESTORATION_DEADLINE.as_millis() + SOCKET_SLACK.as_millis()) as u64);

/// Time within which a restored session that is not up has its final answer.
pub const RESTORATION_ANSWERED_WITHIN: Duration = RESTORED_WITHIN.saturating_add(ANSWER_GRACE);

/// The name, in the settings of the nodes, of the class with this retry safety.
pub fn class_name(safety: RetrySafety) -> &'static str {
    match safety {
        RetrySafety::Idempotent => "live",
        RetrySafety::Keyed => "keyed",
        RetrySafety::NonIdempotent => "once",
    }
}

//! The mechanisms that the policy is built from: backoff, outlier detection, slow start, retry admission and others.
//!
//! The modules do no I/O; the caller passes the time and random numbers. None of them depends on the policy.

mod backoff;
mod connection_value;
mod endpoint_subscription;
mod fleet_limits;
mod in_flight;
mod latency_overload;
mod outlier;
mod poll_backoff;
mod recent_resets;
mod rendezvous;
mod retry_admission;
mod retry_safety;
mod server_health;
mod slow_start;

pub use backoff::{full_jitter_limit, request_backoff_limit};
pub use connection_value::{connection_value, least_valuable, Connection};
pub use endpoint_subscription::{EndpointSubscription, ScheduledPoll};
pub use fleet_limits::FleetLimits;
pub use in_flight::InFlight;
pub use rendezvous::{rendezvous_rank, retain_preferred, LowestRanks, Ranked};
pub use retry_admission::{Admission, RetryAdmission};
pub use retry_safety::{deduplicates, AttemptHistory, PossibleRun};
pub use server_health::{LatencyResponse, ServerHealth};
pub use slow_start::{FillTarget, ServerRamp, SlowStart};

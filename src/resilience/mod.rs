//! Mechanisms that the policy builds on, each with one job: no clock, no random numbers of their own, no I/O.

pub mod fleet_limits;
pub mod outlier;
pub mod poll_backoff;
pub mod retry_admission;

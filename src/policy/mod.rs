//! The decisions: which server an attempt goes to, when a retry is due, what is rejected and what is migrated.
//!
//! [`Balancer`] takes events and returns actions ([`crate::vocabulary`]). It has no clock and does no I/O.

mod balancer;

pub use balancer::Balancer;

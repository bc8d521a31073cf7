//! The decisions: which server an attempt goes to, when a retry is due, what is rejected and migrated.
//!
//! [`Balancer`] takes events and gives actions. It builds on the mechanisms in [`crate::resilience`].

mod balancer;
mod migration;
mod request;
mod selection;
mod server;

pub use balancer::Balancer;

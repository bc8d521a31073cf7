//! The decision logic: server selection, timing of retries, rejection and migration.
//!
//! [`Balancer`] consumes events and emits actions. It is built from the mechanisms in [`crate::resilience`].

mod balancer;
mod migration;
mod request;
mod selection;
mod server;

pub use balancer::Balancer;

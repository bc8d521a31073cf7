//! Lets the operators' simulator drive balancers over standard input and output: batches of events in, replies with
//! actions out, one JSON line each.
//!
//! [`Host::handle_batch`] decodes a batch (`incoming`), lets each `instance` translate its events for its own
//! [`Balancer`](crate::Balancer), and encodes the actions (`outgoing`). Nothing is decided here. The simulator fixes
//! the names on the wire; the documents map them to those of [`model`](crate::model).

mod error;
mod host;
mod incoming;
mod instance;
mod outgoing;
mod panics;

pub use error::{BatchError, EventError};
pub use host::Host;

//! Adapter that lets the operators' simulator drive balancers over standard input and output. Each input line is a JSON
//! batch of events, each output line a JSON reply with actions.
//!
//! [`Host::handle_batch`] decodes a batch (`incoming`), passes its events to the simulated nodes (`instance`), each of
//! which has its own [`Balancer`](crate::Balancer), and encodes their actions (`outgoing`). All decisions are made by
//! the balancers. The simulator defines the names on the wire; the document types map them to those of
//! [`model`](crate::model).

mod error;
mod host;
mod incoming;
mod instance;
mod outgoing;
mod panics;

pub use error::{BatchError, EventError};
pub use host::Host;

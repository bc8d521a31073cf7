//! The model that all of the program shares: settings, endpoints, and the events and actions of the balancer.
//!
//! All instants are on the node's own monotonic clock. Nothing here decides anything.

mod action;
mod endpoint;
mod event;
mod id;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, ListKind, Location, ServerAttributes, Status};
pub use event::{Arrival, Event, Outcome};
pub use id::{RequestId, ServerId};
pub use settings::{DedupScope, Discovery, Effect, RequestClass, Settings, SettingsError};

use std::time::Duration;

/// A process may be stalled for this long between the reading of its clock and a write. A time limit within which a
/// write has to take place is kept with that much to spare.
pub const MAX_STALL: Duration = Duration::from_millis(150);

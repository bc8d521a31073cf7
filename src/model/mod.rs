//! The model that all of the program shares: settings, endpoints, and the events and actions of the balancer.
//!
//! All times are nanoseconds on the node's own monotonic clock. Nothing here decides anything.

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

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;

/// A process may be stalled for this long between the reading of its clock and a write. A time limit within which a
/// write has to take place is kept with that much to spare.
pub const MAX_STALL: Nanos = 150_000_000;

//! The types that the whole program shares: settings, endpoints, and the events and actions of the balancer.
//!
//! All instants are of the node's own monotonic clock. Nothing here decides anything.

mod action;
mod endpoint;
mod event;
mod id;
mod notice;
mod settings;

pub use action::Action;
pub use endpoint::{Endpoint, ListKind, Location, ServerAttributes, Status};
pub use event::{Arrival, AttemptKind, Event, Outcome};
pub use id::{RequestId, ServerId};
pub use notice::Notice;
pub use settings::{DedupScope, Discovery, Effect, RequestClass, Settings, SettingsError, WeightBasis};

use std::time::Duration;

/// The operating system may suspend a process for this long between its reading of the clock and a write. A deadline
/// for a write is moved forward by this much.
pub const MAX_STALL: Duration = Duration::from_millis(150);

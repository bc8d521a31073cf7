//! Types that all parts of the program share: settings, endpoints, and the events and actions of the balancer.
//!
//! All instants are of the node's own monotonic clock. This module contains no decision logic.

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

/// The longest time for which the operating system is assumed to suspend the process between reading the clock and a
/// write. Deadlines for writes are set earlier by this time.
pub const MAX_STALL: Duration = Duration::from_millis(150);

//! The fronts. Each turns its protocol into requests and outcomes, and carries out commands.
//!
//! The event loop and the request table know a front by its [`FrontId`](crate::requests::FrontId) alone. A further
//! front is a folder here, an implementation of [`Front`], and a line in [`OPTIONAL_FRONTS`].

pub mod amqp;
pub mod text;
pub mod tls;

mod api;
mod fronts;
mod optional;

pub use api::{Front, FrontContext, TimerEvent, TransferredConnection, ANSWER_MARGIN, TEXT_FRONT};
pub use fronts::{Fronts, OPTIONAL_FRONTS};
pub use optional::{FrontError, FrontFiles, FrontSetup, OpenedFront, OptionalFront, ParsedFrontFiles};

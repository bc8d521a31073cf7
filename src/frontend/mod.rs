//! The frontends. Each turns its protocol into requests and outcomes, and carries out commands.
//!
//! The event loop and the request table know a frontend by its [`FrontendId`](crate::requests::FrontendId) alone. A further
//! frontend is a folder here, an implementation of [`Frontend`], and an entry of the optional frontends in `frontends.rs`.

pub mod amqp;
pub mod text;
pub mod tls;

mod api;
mod frontends;
mod optional;

pub use api::{Frontend, FrontendContext, TimerEvent, TransferredConnection, ANSWER_MARGIN, TEXT_FRONTEND};
pub use frontends::{optional_frontend, Frontends};
pub use optional::{FrontendError, FrontendFiles, FrontendSetup, OptionalFrontend, ParsedFrontendFile};

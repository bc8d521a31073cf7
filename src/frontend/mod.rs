//! Frontends: each translates one client protocol into requests and outcomes, and carries out the balancer's
//! commands.
//!
//! The event loop and the request table refer to a frontend only by its [`FrontendId`](crate::requests::FrontendId).
//! To add a frontend, create a folder here, implement [`Frontend`] and list it in `OPTIONAL_FRONTENDS` in
//! `frontends.rs`.

pub mod amqp;
pub mod text;
pub mod tls;

mod api;
mod frontends;
mod optional;

pub use api::{
    FlushStatus, Frontend, FrontendContext, TimerEvent, TransferredConnection, ANSWER_MARGIN, TEXT_FRONTEND,
};
pub use frontends::{optional_frontend, Frontends};
pub use optional::{FrontendError, FrontendFiles, FrontendSetup, OptionalFrontend, ParsedFrontendFile};

//! Requests and their attempts, independent of any protocol.
//!
//! Frontends report what happened; the events wait until [`RequestTable::decide`] passes them to the balancer in one
//! go and returns its actions as [`Command`]s. A request is in the table only while it may still be answered or
//! ended, and its state has at most one attempt: a second final answer finds no request, and a second attempt
//! is not started.

mod command;
mod decide;
mod open_requests;
mod records;
mod table;

pub use crate::frontend_id::FrontendId;
pub use command::Command;
pub use records::{AttemptStep, FlowRecord, FlowResult};
pub use table::{HandedOverConnection, RequestTable};

#[cfg(test)]
mod tests;

//! Requests and their attempts, independent of any protocol.
//!
//! Frontends report what happened to the [`RequestTable`], which queues the reports as events. [`RequestTable::decide`]
//! passes the queued events to the balancer in one batch and returns the resulting actions as [`Command`]s. A request
//! is in the table only until it has ended, and its state holds at most one attempt. Therefore a second final answer
//! finds no request, and a second concurrent attempt cannot be started.
//!
//! The table's state is split in two: `decision_queue` holds the balancer and the events that it has not processed yet;
//! `ledger` holds the open requests and their accounting (`open_requests`, `quota_usage`, `records`, and the node's
//! counters). `restorations` decides on the sessions from before this process started, whose servers are not selected.

mod command;
mod decision_queue;
mod ledger;
mod open_requests;
mod quota_usage;
mod records;
mod restorations;
mod table;
mod transition;

pub use crate::frontend_id::FrontendId;
pub use command::Command;
pub use open_requests::HandedOverConnection;
pub use records::{AttemptStep, FlowRecord, FlowResult};
pub use table::RequestTable;
pub use transition::AttemptTimeouts;

#[cfg(test)]
mod tests;

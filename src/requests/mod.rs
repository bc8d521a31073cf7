//! Requests and their attempts, independent of any protocol.
//!
//! Frontends report to the [`RequestTable`] what happened; the events wait until [`RequestTable::decide`] passes them to
//! the balancer in one go and returns its actions as [`Command`]s. A request is in the table only while it may still be
//! answered or ended, and its state has at most one attempt: a second final answer finds no request, and a second
//! attempt is not started.
//!
//! The table's state has two owners: `decision_queue` has the balancer and the events that it has not seen yet, `ledger`
//! the open requests and the accounting of them (`open_requests`, `quota_usage`, `records`, and the node's counters).

mod command;
mod decision_queue;
mod ledger;
mod open_requests;
mod quota_usage;
mod records;
mod table;
mod transition;

pub use crate::frontend_id::FrontendId;
pub use command::Command;
pub use open_requests::HandedOverConnection;
pub use records::{AttemptStep, FlowRecord, FlowResult};
pub use table::RequestTable;

#[cfg(test)]
mod tests;

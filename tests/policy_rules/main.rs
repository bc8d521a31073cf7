//! The four rules that each node enforces on its own, and a regression test for each fault that was found:
//!
//! 1. A request gets one final answer, before its deadline, and nothing after it.
//! 2. No effect runs twice.
//! 3. Nothing is sent to a server that is draining or was removed.
//! 4. All nodes together do not overload a server that is warming up.

#[path = "../common/mod.rs"]
mod common;

mod deduplication;
mod endpoint_list;
mod final_answer;
mod groups;
mod invalid_input;
mod large_fleet;
mod large_fleet_slow_start;
mod migration;
mod node;
mod outliers;
mod placement;
mod retry_admission;
mod slow_start;
mod state_snapshot;

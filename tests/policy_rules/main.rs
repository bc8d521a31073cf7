//! The four rules of the policy, each enforced by one node alone, and one regression test for each fault found.

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
mod outliers;
mod placement;
mod retry_admission;
mod slow_start;
mod state_snapshot;

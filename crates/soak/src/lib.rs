//! A soak test of the node: real processes on loopback, overlapping faults, and a checker that sees the wire alone.
//!
//! One run ([`run`]) has a few nodes of the program under test, simulated discovery, servers and clients in one thread, and a
//! [`Schedule`] of faults that follows from its seed: each round has an ordered pair of faults with a gap near one of the
//! node's constants, and a third one somewhere beside them. The
//! [`InvariantChecker`](sparbank_test_support::invariants::InvariantChecker) records what clients, servers and discovery see and
//! reports each broken rule. A failing schedule can be cut down
//! ([`minimize`]).

pub mod client;
pub mod discovery;
pub mod environment;
pub mod node;
pub mod request;
pub mod schedule;
pub mod server;

pub use schedule::Schedule;
pub use sparbank_test_support::invariants::Violation;

use std::path::PathBuf;

/// What is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// Nodes of one run.
    pub nodes: usize,
    /// Where the nodes' configurations and logs go.
    pub folder: PathBuf,
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the schedule and of all random draws.
    pub seed: u64,
    /// The faults that were injected.
    pub schedule: Schedule,
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Requests that clients sent completely.
    pub requests: u64,
    /// Of these, served ones.
    pub served: u64,
}

/// Runs one schedule to its end, on this thread alone.
///
/// # Panics
/// The peers of the nodes cannot be set up.
pub fn run(options: &Options, schedule: &Schedule) -> Report {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, environment::run(options, schedule))
}

/// Drops faults from a failing schedule, one after another, as long as it still fails in one of a few runs.
pub fn minimize(options: &Options, failing: &Schedule) -> Schedule {
    const RUNS: usize = 3;
    let fails = |schedule: &Schedule| (0..RUNS).any(|_| !run(options, schedule).violations.is_empty());
    let mut smallest = failing.clone();
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        if fails(&candidate) {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    smallest
}

//! Soak test of the node: real processes on loopback, overlapping faults, and a checker that observes only the wire.
//!
//! One run ([`run`]) starts several nodes of the program under test, and simulates discovery, servers and clients in one
//! thread. Its [`Schedule`] of faults is derived from its [`Family`] and its seed: each round has an ordered pair of faults,
//! separated by an interval close to one of the node's time constants, and a third fault at a random time; or the shutdowns of
//! two nodes by series of signals, beside another fault; or faults of the servers and restarts of nodes, while clients restore
//! the sessions that they had. The
//! [`InvariantChecker`](sparbank_test_support::invariants::InvariantChecker) records what clients, servers and discovery
//! observe, and reports each rule that is broken. [`minimize`] reduces a failing schedule.
//!
//! A run of [`Family::Amqp`] has one node, clients and servers in threads of their own, and a history in place of the checker.

mod amqp;
pub mod client;
pub mod connection_burst;
pub mod discovery;
pub mod environment;
pub mod node;
mod open_attempts;
pub mod request;
pub mod schedule;
pub mod server;
pub mod session;
pub mod shutdown;

pub use schedule::{Family, Schedule};
pub use sparbank_test_support::invariants::Violation;

use std::path::PathBuf;

/// The options of a run of the soak test.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// Number of nodes in each run.
    pub nodes: usize,
    /// Directory for the configurations and logs of the nodes.
    pub folder: PathBuf,
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the schedule and of all random draws.
    pub seed: u64,
    /// The faults that were injected.
    pub schedule: Schedule,
    /// Rules that were broken, in the order in which they were detected.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent completely.
    pub requests: u64,
    /// Number of those requests that were served.
    pub served: u64,
}

/// Runs one schedule to its end on the current thread.
///
/// # Panics
/// If the simulated peers or the nodes cannot be started.
pub fn run(options: &Options, schedule: &Schedule) -> Report {
    if schedule.family == Family::Amqp {
        return amqp::run(options, schedule);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, environment::run(options, schedule))
}

/// Reduces a failing schedule: removes each fault without which at least one of a few runs still fails. One run is not
/// enough, as the timing of processes and sockets differs between runs of the same schedule.
pub fn minimize(options: &Options, failing: &Schedule) -> Schedule {
    const RUNS: usize = 3;
    let fails = |schedule: &Schedule| (0..RUNS).any(|_| !run(options, schedule).violations.is_empty());
    let mut minimized = failing.clone();
    let mut index = 0;
    while index < minimized.faults.len() {
        let mut candidate = minimized.clone();
        candidate.faults.remove(index);
        if fails(&candidate) {
            minimized = candidate;
        } else {
            index += 1;
        }
    }
    minimized
}

//! Several concurrent runs of the soak test (`crates/soak`): nodes of the built program under overlapping faults, and under
//! shutdowns by series of signals, checked on the wire. `SOAK_SEEDS=1..9` selects other seeds; the program
//! `sparbank-soak` runs many.

use sparbank_soak::{run, Family, Options, Schedule};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Mutex;

/// Number of nodes in each run: with six seeds, 24 processes run at a time.
const NODES: usize = 4;
const SEEDS: Range<u64> = 7_001..7_007;
const SHUTDOWN_SEEDS: Range<u64> = 8_001..8_007;
const RESTORATION_SEEDS: Range<u64> = 9_001..9_007;
const AMQP_SEEDS: Range<u64> = 10_001..10_007;

/// Held while the runs of one family are in progress, so that the load of a run does not depend on the other tests.
static RUNNING: Mutex<()> = Mutex::new(());

fn seeds(default: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return default };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is a range like 1..9");
    from.parse().expect("SOAK_SEEDS starts with a number")..to.parse().expect("SOAK_SEEDS ends with a number")
}

fn check_all(family: Family, seeds: Range<u64>) {
    let _running = RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sparbank")),
        nodes: NODES,
        folder: std::env::temp_dir(),
    };
    let reports: Vec<_> = std::thread::scope(|scope| {
        let options = &options;
        let start = |seed| scope.spawn(move || run(options, &Schedule::new(family, seed)));
        let runs: Vec<_> = seeds.map(start).collect();
        runs.into_iter().map(|run| run.join().expect("the run did not panic")).collect()
    });
    assert!(!reports.is_empty(), "SOAK_SEEDS selects no seed");
    for report in &reports {
        assert!(report.violations.is_empty(), "{}: {:#?}", report.schedule, report.violations);
        assert!(report.served > 0, "seed {}: no request was served", report.seed);
    }
}

#[test]
fn the_rules_hold_under_overlapping_faults() {
    check_all(Family::Faults, seeds(SEEDS));
}

/// Clients restore sessions that they had at a server, from the nodes' first start on.
#[test]
fn the_rules_hold_while_clients_restore_sessions() {
    check_all(Family::Restorations, seeds(RESTORATION_SEEDS));
}

/// Clients send, receive and resume over AMQP, beside incomplete messages, lost connections and draining servers.
#[test]
fn the_rules_hold_for_clients_of_the_amqp_frontend() {
    check_all(Family::Amqp, seeds(AMQP_SEEDS));
}

/// Clients keep their sessions, and rest on open connections, until the nodes end them.
#[test]
fn the_rules_hold_while_nodes_are_shut_down_by_series_of_signals() {
    check_all(Family::Shutdowns, seeds(SHUTDOWN_SEEDS));
}

/// Regression: beside load, the check blamed a node that was short of descriptors for a session whose line it had not read.
#[test]
fn sessions_are_restored_while_descriptors_become_short_in_a_burst() {
    check_all(Family::Restorations, 6_087..6_088);
}

/// Guards against deliveries that are taken as the node shuts down and get no outcome; see KNOWN-RED.txt.
#[test]
fn deliveries_are_answered_while_the_node_is_shut_down() {
    check_all(Family::Amqp, 9_212..9_213);
}

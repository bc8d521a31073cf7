//! A few runs of the soak test (`crates/soak`) beside each other: nodes of the built program under overlapping faults,
//! checked from the wire. `SOAK_SEEDS=1..9` runs others; `sparbank-soak` runs many.

use sparbank_soak::{run, Options, Schedule};
use std::ops::Range;
use std::path::PathBuf;

/// Two dozen processes at a time.
const NODES: usize = 4;
const SEEDS: Range<u64> = 7_001..7_007;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS=1..9");
    from.parse().expect("a number")..to.parse().expect("a number")
}

#[test]
fn the_rules_hold_under_overlapping_faults() {
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sparbank")),
        nodes: NODES,
        folder: std::env::temp_dir(),
    };
    let reports: Vec<_> = std::thread::scope(|scope| {
        let options = &options;
        let start = |seed| scope.spawn(move || run(options, &Schedule::for_seed(seed)));
        let runs: Vec<_> = seeds().map(start).collect();
        runs.into_iter().map(|run| run.join().expect("a run")).collect()
    });
    for report in &reports {
        assert!(report.violations.is_empty(), "{}: {:#?}", report.schedule, report.violations);
        assert!(report.served > 0, "nothing was served");
    }
}

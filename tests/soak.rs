//! Several concurrent runs of the soak test (`crates/soak`): nodes of the built program under overlapping faults, checked on
//! the wire. `SOAK_SEEDS=1..9` selects other seeds; the program `sparbank-soak` runs many.

use sparbank_soak::{run, Options, Schedule};
use std::ops::Range;
use std::path::PathBuf;

/// Number of nodes in each run: with six seeds, 24 processes run at a time.
const NODES: usize = 4;
const SEEDS: Range<u64> = 7_001..7_007;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS };
    let (from, to) = text.split_once("..").expect("SOAK_SEEDS is a range like 1..9");
    from.parse().expect("SOAK_SEEDS starts with a number")..to.parse().expect("SOAK_SEEDS ends with a number")
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
        runs.into_iter().map(|run| run.join().expect("the run did not panic")).collect()
    });
    for report in &reports {
        assert!(report.violations.is_empty(), "{}: {:#?}", report.schedule, report.violations);
        assert!(report.served > 0, "seed {}: no request was served", report.seed);
    }
}

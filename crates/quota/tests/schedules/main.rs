//! Long random schedules in virtual time: nodes that start, shut down, are killed, stopped and continued, with clocks
//! that drift apart; messages lost, delayed, duplicated and reordered; grantors that lead in turn, lag, and restart
//! with empty lease tables. An auditor counts what was really opened and spent. `QUOTA_SEEDS` and `QUOTA_STEPS` set what
//! is run.

mod auditor;
mod fleet;
mod simulation;

#[path = "../support"]
mod support {
    pub mod plan;
    pub mod seeds;
}

use auditor::Breach;
use simulation::{Fault, Simulation};
use std::fmt;
use support::seeds::seeds_from_env;

/// A breach, and where in which schedule it happened.
#[derive(Debug)]
struct FoundBreach {
    seed: u64,
    step: u64,
    breach: Breach,
}

impl fmt::Display for FoundBreach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}, step {}: {}", self.seed, self.step, self.breach)
    }
}

fn run(seed: u64, fault: Fault, steps: u64) -> Result<Simulation, FoundBreach> {
    let mut simulation = Simulation::new(seed, fault);
    for step in 0..steps {
        simulation.step().map_err(|breach| FoundBreach { seed, step, breach })?;
    }
    Ok(simulation)
}

fn steps_from_env() -> u64 {
    std::env::var("QUOTA_STEPS").ok().and_then(|steps| steps.parse().ok()).unwrap_or(100_000)
}

/// A million steps: never above the total, whatever fails, and not because nothing is granted.
#[test]
fn random_faults_never_exceed_a_total() {
    let steps = steps_from_env();
    let mut checks = 0;
    let mut setups = 0;
    let mut seconds = 0.0;
    for seed in seeds_from_env() {
        let simulation = run(seed, Fault::None, steps).unwrap_or_else(|found| panic!("{found}"));
        checks += simulation.auditor().checks();
        setups += simulation.auditor().setups();
        seconds += simulation.now().as_nanos() as f64 / fleet::NANOS_PER_SECOND;
    }
    println!("{checks} checks, 0 breaches; {:.1} set-ups a second of 100", setups as f64 / seconds);
    assert!(setups as f64 > seconds * 10.0, "nothing was granted");
}

/// The auditor detects each injected fault.
#[rstest::rstest]
#[case(Fault::EarlyReclaim)]
#[case(Fault::LostLeaseTable)]
#[case(Fault::StaleGrantAccepted)]
#[case(Fault::StaleClock)]
fn auditor_detects_injected_fault(#[case] fault: Fault) {
    let found = (1..=40).find_map(|seed| run(seed, fault, 100_000).err());
    println!("{fault:?}: {found:?}");
    assert!(found.is_some(), "{fault:?} was not detected");
}

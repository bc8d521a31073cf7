//! Long random schedules in virtual time. Nodes start, shut down, are killed, stopped and continued, and their clocks
//! drift apart. Messages are lost, delayed, duplicated and reordered. Grantors take turns in leading, lag behind, and
//! restart with empty lease tables. An auditor counts connections and events independently of the nodes.
//! `QUOTA_SEEDS` and `QUOTA_STEPS` set the seeds and the number of steps.

mod auditor;
mod fleet;
mod simulation;

#[path = "../support"]
mod support {
    pub mod plan;
    pub mod seeds;
}

use auditor::Violation;
use simulation::{Fault, Simulation};
use std::fmt;
use support::seeds::seeds_from_env;

/// A violation and the step of the schedule at which it occurred.
#[derive(Debug)]
struct ScheduleViolation {
    seed: u64,
    step: u64,
    violation: Violation,
}

impl fmt::Display for ScheduleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}, step {}: {}", self.seed, self.step, self.violation)
    }
}

fn run(seed: u64, fault: Fault, steps: u64) -> Result<Simulation, ScheduleViolation> {
    let mut simulation = Simulation::new(seed, fault);
    for step in 0..steps {
        simulation.step().map_err(|violation| ScheduleViolation { seed, step, violation })?;
    }
    Ok(simulation)
}

fn steps_from_env() -> u64 {
    std::env::var("QUOTA_STEPS").ok().and_then(|steps| steps.parse().ok()).unwrap_or(100_000)
}

/// No total is exceeded under random faults, in a million steps by default. The number of admitted set-ups is checked
/// too, since a fleet that grants nothing would also stay within the totals.
#[test]
fn random_faults_never_exceed_a_total() {
    let steps = steps_from_env();
    let mut checks = 0;
    let mut setups = 0;
    let mut seconds = 0.0;
    for seed in seeds_from_env() {
        let simulation = run(seed, Fault::None, steps).unwrap_or_else(|violation| panic!("{violation}"));
        checks += simulation.auditor().checks();
        setups += simulation.auditor().setups();
        seconds += simulation.now().as_nanos() as f64 / fleet::NANOS_PER_SECOND;
    }
    println!("{checks} checks, 0 violations; {:.1} set-ups per second of 100", setups as f64 / seconds);
    assert!(setups as f64 > seconds * 10.0, "too few set-ups were admitted");
}

/// For each injected fault, the auditor reports a violation in at least one of 40 schedules.
#[rstest::rstest]
#[case(Fault::EarlyReclaim)]
#[case(Fault::LostLeaseTable)]
#[case(Fault::StaleGrantAccepted)]
#[case(Fault::StaleClock)]
fn auditor_detects_injected_fault(#[case] fault: Fault) {
    let violation = (1..=40).find_map(|seed| run(seed, fault, 100_000).err());
    println!("{fault:?}: {violation:?}");
    assert!(violation.is_some(), "{fault:?} was not detected");
}

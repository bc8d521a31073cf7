//! Random legal event sequences, from a fixed seed: rules 1 to 3, the limits, and determinism.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use common::{serving_endpoints, SECOND};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{Simulation, Step, SERVERS};
use sparbank::model::{Action, ListKind};

fn run(seed: u64, steps: &[(u8, u64, u16)]) -> Vec<Action> {
    let mut simulation = Simulation::new(seed);
    simulation.send_list(ListKind::Saved, serving_endpoints(SERVERS));
    for (kind, choice, pause_ms) in steps {
        simulation.step(&Step { kind: *kind, choice: *choice, pause_ms: *pause_ms });
    }
    simulation.pass(3 * SECOND);
    simulation.journal
}

#[test]
fn rules_hold_on_random_legal_days_and_the_same_day_gives_the_same_actions() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let days = (any::<u64>(), vec((any::<u8>(), any::<u64>(), 0u16..120), 1..150));
    let outcome = TestRunner::new_with_rng(config, rng).run(&days, |(seed, steps)| {
        prop_assert_eq!(run(seed, &steps), run(seed, &steps));
        Ok(())
    });
    outcome.expect("every day keeps the rules");
}

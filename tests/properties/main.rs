//! Random valid event sequences, from a fixed seed. Rules 1 to 3 and the limits hold, and the balancer is deterministic.

#[path = "../common/mod.rs"]
mod common;
mod simulation;

use common::{serving_endpoints, SECOND};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use simulation::{Simulation, Step, SERVERS};
use sparbank::model::{Action, ListKind};

/// Runs one event sequence, and returns the actions of the balancer.
fn run(seed: u64, steps: &[(u8, u64, u16)]) -> Vec<Action> {
    let mut simulation = Simulation::new(seed);
    simulation.send_list(ListKind::Saved, serving_endpoints(SERVERS));
    for (kind, choice, pause_ms) in steps {
        simulation.step(&Step { kind: *kind, choice: *choice, pause_ms: *pause_ms });
    }
    simulation.advance(3 * SECOND);
    simulation.actions
}

#[test]
fn rules_hold_on_random_event_sequences_and_actions_are_deterministic() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let sequences = (any::<u64>(), vec((any::<u8>(), any::<u64>(), 0u16..120), 1..150));
    let outcome = TestRunner::new_with_rng(config, rng).run(&sequences, |(seed, steps)| {
        prop_assert_eq!(run(seed, &steps), run(seed, &steps));
        Ok(())
    });
    outcome.expect("the rules hold in every sequence");
}

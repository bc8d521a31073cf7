//! Recovery of a fleet after most of its nodes restart at once, without any communication between them.
//!
//! Each test starts several processes of the program and injects faults; the auditor of the test cluster checks the run.
//! `FLEET_SEEDS=1,2,3` and `FLEET_NODES=24` select other seeds and numbers of nodes. `FLEET_LOGS=folder` writes the logs of
//! the nodes to a folder, and `FLEET_LINES=1` prints a line for each second of a run.

use rstest::rstest;
use sparbank_test_support::cluster::auditor::Summary;
use sparbank_test_support::cluster::discovery::DiscoveryMode;
use sparbank_test_support::cluster::links::LinkMode;
use sparbank_test_support::cluster::servers::{Health, Status};
use sparbank_test_support::cluster::{block_on, Cluster, ClusterConfig, TestPlan};
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Upper limit on the set-ups that the ledger gets in a second, as a multiple of those that it can serve.
const MAX_SETUP_OVERLOAD: f64 = 2.0;
/// Upper limit on the attempts of one process at an endpoint that no longer exists.
const MAX_ATTEMPTS_AT_DEAD_SERVER: u32 = 2;

/// Prints the figures of a run as one line.
fn print_summary(scenario: &str, seed: u64, nodes: usize, summary: &Summary) {
    let millis = |span: Option<Duration>| span.map_or(-1, |span| span.as_millis() as i64);
    println!(
        "{scenario} seed={seed} nodes={nodes} recovery_from_last_fault_ms={} recovery_from_first_fault_ms={} \
         established_before={} min_established={} peak_setups={} peak_polls={} max_attempts_at_dead_server={} \
         max_slow_start_load={:.2} attempts={} requests={} up={}",
        millis(summary.recovery_from_last_fault),
        millis(summary.recovery_from_first_fault),
        summary.established_before,
        summary.min_established,
        summary.peak_setups,
        summary.peak_polls,
        summary.max_attempts_at_dead_server,
        summary.max_slow_start_load,
        summary.attempts,
        summary.requests,
        summary.up,
    );
    if std::env::var("FLEET_LINES").is_ok() {
        println!("{}", summary.timeline);
    }
}

/// Checks what holds in every scenario: the fleet recovers, the ledger gets at most twice the set-ups that it can serve, and
/// no node makes more than two attempts at an endpoint that no longer exists. (`Cluster::finish` checks the invariants.)
fn assert_recovered(scenario: &str, seed: u64, config: &ClusterConfig, summary: &Summary) {
    print_summary(scenario, seed, config.nodes, summary);
    let timeline = &summary.timeline;
    assert!(
        summary.recovery_from_last_fault.is_some(),
        "{timeline}\n{scenario}, seed {seed}: the service has not recovered"
    );
    let limit = MAX_SETUP_OVERLOAD * config.ledger_setups_per_second;
    let peak = f64::from(summary.peak_setups);
    assert!(
        peak <= limit,
        "{timeline}\n{scenario}, seed {seed}: {peak} set-ups in one second, more than the limit of {limit}"
    );
    let attempts = summary.max_attempts_at_dead_server;
    assert!(
        attempts <= MAX_ATTEMPTS_AT_DEAD_SERVER,
        "{timeline}\n{scenario}, seed {seed}: a node made {attempts} attempts at an endpoint that no longer existed"
    );
}

/// Runs a scenario with each seed. The script gets the complete endpoint list as it was before the first fault.
fn run_scenario(scenario: &str, nodes: usize, script: impl AsyncFn(&mut Cluster, String)) {
    let plan = TestPlan::from_env_or(&[1], nodes);
    let program = std::env::var("FLEET_PROGRAM").unwrap_or(PROGRAM.to_string());
    for seed in plan.seeds {
        let config = ClusterConfig::for_nodes(plan.nodes);
        let summary = block_on(async {
            let mut cluster = Cluster::start(seed, config.clone(), &program).await;
            let list = cluster.servers.complete_list_json();
            script(&mut cluster, list).await;
            cluster.finish().await
        });
        assert_recovered(scenario, seed, &config, &summary);
    }
}

#[rstest]
#[case::at_once(0.7, 0)]
#[case::after_two_seconds(0.7, 2)]
#[case::after_ten_seconds(0.7, 10)]
#[case::all_of_them(1.0, 0)]
fn the_fleet_recovers_after_nodes_are_killed_at_the_same_moment(
    #[case] fraction: f64,
    #[case] downtime_secs: u64,
) {
    let scenario = format!("killed {fraction} back after {downtime_secs} s");
    run_scenario(&scenario, 12, async |cluster, saved_list| {
        let nodes = cluster.draw_nodes(fraction);
        cluster.kill(&nodes);
        cluster.run_for_secs(downtime_secs).await;
        cluster.restart(&nodes, &saved_list);
        cluster.run_for_secs(16).await;
    });
}

/// The nodes get SIGTERM, a tenth of them at a time, while half of the servers are replaced.
#[rstest]
fn the_fleet_recovers_from_a_rolling_restart_while_half_the_servers_are_replaced() {
    run_scenario("rolling restart", 10, async |cluster, _| {
        let nodes: Vec<usize> = (0..cluster.shared.config.nodes).collect();
        let half = cluster.shared.config.servers / 2;
        for (step, tenth) in nodes.chunks(nodes.len().div_ceil(10)).enumerate() {
            if step < half {
                cluster.servers.set_status(step, Status::Draining);
                cluster.servers.add(true).await;
            }
            for node in tenth {
                cluster.nodes.terminate(*node);
            }
            let have_exited = |cluster: &mut Cluster| tenth.iter().all(|node| cluster.nodes.has_ended(*node));
            cluster.wait_until("the nodes exit after SIGTERM", 8, have_exited).await;
            cluster.restart(tenth, &cluster.servers.complete_list_json());
        }
        for server in 0..half {
            cluster.servers.set_status(server, Status::Removed);
            cluster.servers.set_health(server, Health::Dead);
        }
        cluster.run_for_secs(14).await;
    });
}

/// All nodes restart with a saved list in which two of five endpoints no longer exist and three of ten have just started,
/// while discovery is unreachable, overloaded or healthy.
#[rstest]
#[case::unreachable(Some(DiscoveryMode::Unreachable))]
#[case::overloaded(Some(DiscoveryMode::Overloaded))]
#[case::healthy(None)]
fn the_fleet_recovers_with_a_stale_saved_list_and_discovery_faults(#[case] fault: Option<DiscoveryMode>) {
    let scenario = format!("stale saved list, discovery {fault:?}");
    run_scenario(&scenario, 10, async |cluster, _| {
        let count = cluster.shared.config.servers;
        let mut removed = Vec::new();
        for server in 0..count {
            if server < count * 2 / 5 {
                cluster.servers.add(false).await;
                removed.push(server);
            }
        }
        for _ in 0..count * 3 / 10 {
            cluster.servers.add(true).await;
        }
        cluster.run_for_secs(3).await;
        let saved_list = cluster.servers.complete_list_json();
        cluster.set_discovery(fault.unwrap_or(DiscoveryMode::Healthy));
        for server in removed {
            cluster.servers.set_health(server, Health::Dead);
            cluster.servers.set_status(server, Status::Removed);
        }
        let nodes = cluster.draw_nodes(1.0);
        cluster.kill(&nodes);
        cluster.restart(&nodes, &saved_list);
        cluster.run_for_secs(if fault.is_some() { 25 } else { 14 }).await;
        if fault.is_some() {
            cluster.set_discovery(DiscoveryMode::Healthy);
            cluster.run_for_secs(8).await;
        }
    });
}

/// One node is paused for 5 s while others restart. Answers that it owes during the pause are excused; all that it does
/// afterwards is checked.
#[rstest]
fn the_fleet_recovers_with_a_node_paused_among_restarts() {
    run_scenario("paused", 10, async |cluster, saved_list| {
        let nodes = cluster.draw_nodes(0.7);
        let paused = (0..10).find(|node| !nodes.contains(node)).expect("30 % of the nodes are not killed");
        cluster.kill(&nodes);
        cluster.nodes.pause(paused);
        cluster.restart(&nodes, &saved_list);
        cluster.servers.set_status(0, Status::Draining);
        cluster.run_for_secs(5).await;
        cluster.nodes.resume(paused);
        cluster.record_fault("resumed");
        cluster.run_for_secs(14).await;
    });
}

/// Nodes are killed three times within 5 s, shortly after each restart.
#[rstest]
fn the_fleet_recovers_from_a_crash_loop() {
    run_scenario("crash loop", 10, async |cluster, saved_list| {
        let nodes = cluster.draw_nodes(0.7);
        for _ in 0..3 {
            cluster.kill(&nodes);
            cluster.run_for_millis(300).await;
            cluster.restart(&nodes, &saved_list);
            cluster.run_for_millis(1_700).await;
        }
        cluster.run_for_secs(14).await;
    });
}

/// Discovery returns to the list from before a server drained, while one node can send to discovery but receives nothing
/// from it. Draining and removed servers must get no new attempts.
#[rstest]
fn a_stale_list_from_discovery_does_not_restore_draining_or_removed_servers() {
    run_scenario("stale discovery", 10, async |cluster, _| {
        cluster.servers.save_list();
        cluster.servers.set_status(1, Status::Draining);
        cluster.servers.set_status(2, Status::Removed);
        cluster.run_for_secs(2).await;
        let saved_list = cluster.servers.complete_list_json();
        cluster.set_discovery(DiscoveryMode::Stale);
        cluster.discovery_links[0].set_mode(LinkMode::OutboundOnly);
        let nodes = cluster.draw_nodes(0.5);
        cluster.kill(&nodes);
        cluster.restart(&nodes, &saved_list);
        cluster.run_for_secs(6).await;
        cluster.discovery_links[0].set_mode(LinkMode::Open);
        cluster.set_discovery(DiscoveryMode::Healthy);
        cluster.run_for_secs(12).await;
    });
}

/// Number of measurement runs at a time.
const CONCURRENT_RUNS: usize = 4;
/// Recovery time that is recorded for a run that did not recover.
const NOT_RECOVERED: Duration = Duration::from_secs(99);

/// Kills a fraction of the nodes, restarts them, and returns the result after 30 s.
fn measure_restart(seed: u64, config: &ClusterConfig, program: &str, fraction: f64) -> Summary {
    block_on(async {
        let mut cluster = Cluster::start(seed, config.clone(), program).await;
        let list = cluster.servers.complete_list_json();
        let nodes = cluster.draw_nodes(fraction);
        cluster.kill(&nodes);
        cluster.restart(&nodes, &list);
        cluster.run_for_secs(30).await;
        cluster.finish_measurement()
    })
}

/// Runs a measurement with each seed, [`CONCURRENT_RUNS`] at a time.
fn measure_seeds(seeds: &[u64], measure: impl Fn(u64) -> Summary + Sync) -> Vec<Summary> {
    let mut summaries = Vec::new();
    for concurrent in seeds.chunks(CONCURRENT_RUNS) {
        std::thread::scope(|scope| {
            let measure = &measure;
            let runs: Vec<_> = concurrent.iter().map(|seed| scope.spawn(move || measure(*seed))).collect();
            summaries.extend(runs.into_iter().map(|run| run.join().expect("the run did not panic")));
        });
    }
    summaries
}

/// Prints the recovery times of this version and of an earlier one (`FLEET_BEFORE=path`), and the shortest time that the
/// capacity of the ledger allows. `FLEET_SEEDS` and `FLEET_NODES` apply. Nothing is asserted; the design page of the fleet
/// restart quotes the figures.
#[test]
#[ignore = "a measurement that takes several minutes"]
fn time_to_recovery() {
    let plan = TestPlan::from_env_or(&[1, 2, 3, 4, 5, 6, 7, 8, 9, 10], 12);
    let before = std::env::var("FLEET_BEFORE").ok();
    let versions = [("now", Some(PROGRAM.to_string())), ("before", before)];
    let config = ClusterConfig::for_nodes(plan.nodes);
    for fraction in [0.7, 1.0] {
        for (version, program) in &versions {
            let Some(program) = program else { continue };
            let summaries =
                measure_seeds(&plan.seeds, |seed| measure_restart(seed, &config, program, fraction));
            print_recovery_times(version, fraction, &config, &summaries);
        }
    }
}

fn print_recovery_times(version: &str, fraction: f64, config: &ClusterConfig, summaries: &[Summary]) {
    let mut times: Vec<Duration> =
        summaries.iter().map(|summary| summary.recovery_from_last_fault.unwrap_or(NOT_RECOVERED)).collect();
    times.sort_unstable();
    let peak = summaries.iter().map(|summary| summary.peak_setups).max().unwrap_or(0);
    let violations: Vec<String> =
        summaries.iter().flat_map(|summary| &summary.violations).map(ToString::to_string).collect();
    println!(
        "{} nodes, {fraction} killed, {version}: median {:?} worst {:?} of {}, least {:.1} s, peak {peak} \
         set-ups a second of {:.1} that the ledger serves, violations {violations:?}",
        config.nodes,
        times[times.len() / 2],
        times[times.len() - 1],
        times.len(),
        fraction * config.clients as f64 * 0.95 / config.ledger_setups_per_second,
        config.ledger_setups_per_second,
    );
}

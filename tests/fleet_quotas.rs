//! A fleet-wide quota of connections, leased to the nodes by one grantor: several processes, faults between them, and an
//! auditor that counts open connections at the servers. `FLEET_SEEDS` and `FLEET_NODES` run others.

use sparbank_test_support::cluster::{block_on, Cluster, ClusterConfig, ConnectionQuota, TestPlan};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const LEASE_MS: u64 = 1500;
/// Enough for connections of the dead, whose sockets their kernel closes.
const SHORT_CLEAR_MS: u64 = 500;
/// Longer than the stops of the scenarios: a stopped process keeps its connections.
const LONG_CLEAR_MS: u64 = 8000;
/// How long the quota may take to be used again: a lease and the time after it in which connections are cleared, and the
/// time that the clients take to reconnect.
const RECOVERY_SECONDS: u64 = 30;
/// The grantor closes a connection with an undecodable frame within this time.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The nodes' `floor_percent`.
const FLOOR_PERCENT: usize = 45;

/// Six clients in ten can be connected at a time.
fn config(nodes: usize, clear_ms: u64) -> ClusterConfig {
    let config = ClusterConfig::for_nodes(nodes);
    let total = config.clients * 6 / 10;
    let quota = ConnectionQuota { total, lease_ms: LEASE_MS, clear_ms };
    ClusterConfig { quota: Some(quota), ..config }
}

fn total(config: &ClusterConfig) -> usize {
    config.quota.expect("a quota").total
}

/// The auditor's finding of one run.
#[derive(Debug)]
struct Audit {
    /// The most connections that were open at once.
    max_open: usize,
    total: usize,
}

impl Audit {
    fn exceeds_total(&self) -> bool {
        self.max_open > self.total
    }
}

/// Runs a script with each seed.
fn run(scenario: &str, clear_ms: u64, script: impl AsyncFn(&mut Cluster)) -> Vec<Audit> {
    let TestPlan { seeds, nodes } = TestPlan::from_env_or(&[1], 12);
    let mut audits = Vec::new();
    for seed in seeds {
        let config = config(nodes, clear_ms);
        let total = total(&config);
        let peak = block_on(async {
            let mut cluster = Cluster::start(seed, config, PROGRAM).await;
            script(&mut cluster).await;
            let peak = cluster.servers.connection_peak();
            cluster.finish().await;
            peak
        });
        let max_open = peak.max_open;
        println!(
            "{scenario} seed={seed} nodes={nodes} total={total} max_open={max_open} instants={}",
            peak.counted
        );
        audits.push(Audit { max_open, total });
    }
    audits
}

/// Runs a script with each seed; the total is never exceeded.
fn run_within_total(scenario: &str, clear_ms: u64, script: impl AsyncFn(&mut Cluster)) {
    let audits = run(scenario, clear_ms, script);
    assert!(!audits.iter().any(Audit::exceeds_total), "{scenario}: {audits:?}");
}

/// Waits until nine tenths of the quota are in use.
async fn until_quota_is_used(cluster: &mut Cluster, what: &str) {
    let wanted = total(&cluster.shared.config) * 9 / 10;
    cluster.wait_until(what, RECOVERY_SECONDS, |cluster| cluster.servers.open_connections() >= wanted).await;
    cluster.run_for_secs(2).await;
}

#[test]
fn killed_and_restarted_holders_never_exceed_the_total() {
    run_within_total("holders killed", SHORT_CLEAR_MS, async |cluster| {
        until_quota_is_used(cluster, "the quota is in use").await;
        let killed: Vec<usize> = (1..=cluster.shared.config.nodes / 3).collect();
        cluster.kill(&killed);
        until_quota_is_used(cluster, "the others have the allotments of the killed nodes").await;
        let known = cluster.servers.complete_list_json();
        cluster.restart(&killed, &known);
        cluster.run_for_secs(6).await;
        until_quota_is_used(cluster, "all have allotments again").await;
    });
}

/// The grantor restarts with an empty lease table, and grants nothing until every lease that it may have granted has
/// expired.
#[test]
fn restarted_grantor_without_lease_table_never_exceeds_the_total() {
    run_within_total("the grantor killed", SHORT_CLEAR_MS, async |cluster| {
        until_quota_is_used(cluster, "the quota is in use").await;
        cluster.kill(&[0]);
        cluster.run_for_millis(300).await;
        let known = cluster.servers.complete_list_json();
        cluster.restart(&[0], &known);
        cluster.run_for_secs(4).await;
        until_quota_is_used(cluster, "leases are granted again").await;
        cluster.kill(&[0]);
        cluster.run_for_secs(4).await;
        // Nobody grants leases: each of the other nodes has its floor.
        let nodes = cluster.shared.config.nodes;
        let floors = total(&cluster.shared.config) * FLOOR_PERCENT / 100 / nodes * (nodes - 1);
        let open = cluster.servers.open_connections();
        assert!(open <= floors, "{open} are open on floors of {floors}");
        assert!(open * 2 >= floors, "service goes on: {open} of {floors}");
    });
}

/// The leases that the restarted grantor does not know are still in use: most holders are stopped, with their
/// connections, while it restarts.
#[test]
fn grantor_restart_while_holders_are_stopped_never_exceeds_the_total() {
    run_within_total("the grantor killed while others are stopped", LONG_CLEAR_MS, async |cluster| {
        until_quota_is_used(cluster, "the quota is in use").await;
        let nodes = cluster.shared.config.nodes;
        let stopped: Vec<usize> = (nodes / 3..nodes).collect();
        for node in &stopped {
            cluster.nodes.pause(*node);
        }
        cluster.kill(&[0]);
        let known = cluster.servers.complete_list_json();
        cluster.restart(&[0], &known);
        cluster.run_for_secs(5).await;
        for node in &stopped {
            cluster.nodes.resume(*node);
        }
        cluster.run_for_secs(2).await;
    });
}

/// Stopped nodes keep their sockets for longer than their leases: their connections count until `clear_ms` has passed.
#[test]
fn holders_stopped_past_their_lease_never_exceed_the_total() {
    let stop_two_nodes = async |cluster: &mut Cluster| {
        until_quota_is_used(cluster, "the quota is in use").await;
        cluster.nodes.pause(1);
        cluster.nodes.pause(2);
        cluster.run_for_secs(5).await;
        cluster.nodes.resume(1);
        cluster.nodes.resume(2);
        cluster.run_for_secs(3).await;
    };
    run_within_total("holders stopped", LONG_CLEAR_MS, stop_two_nodes);
    // The auditor detects it if the file says that such connections are gone at once, and they are not.
    let audits = run("holders stopped, cleared too soon", 0, stop_two_nodes);
    assert!(audits.iter().any(Audit::exceeds_total), "not detected: {audits:?}");
}

/// A frame that cannot be decoded ends its connection to the grantor, and leases are granted as before.
#[test]
fn undecodable_frames_end_their_connection_to_the_grantor() {
    run_within_total("undecodable frames at the grantor", SHORT_CLEAR_MS, async |cluster| {
        until_quota_is_used(cluster, "the quota is in use").await;
        let other_version = [0, 0, 0, 2, 9, 0];
        let longer_than_any = [0xff; 8];
        let incomplete = [0, 0, 0, 9, 1];
        for bytes in [&other_version[..], &longer_than_any, &incomplete] {
            let grantor = cluster.nodes.member_address(0);
            let mut caller = tokio::net::TcpStream::connect(grantor).await.expect("it listens");
            caller.write_all(bytes).await.expect("it takes them");
            let end = tokio::time::timeout(CLOSE_TIMEOUT, caller.read(&mut [0; 8])).await;
            assert!(matches!(end, Ok(Ok(0) | Err(_))), "{bytes:?}: {end:?}");
        }
        until_quota_is_used(cluster, "leases are granted").await;
    });
}

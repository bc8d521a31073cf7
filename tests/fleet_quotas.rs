//! A level of the whole fleet, divided among its nodes by one grantor: several processes, faults between them, and an
//! auditor that counts open connections at the servers. `FLEET_SEEDS` and `FLEET_NODES` play others.

mod cluster;

use cluster::{block_on, program_under_test, Cluster, ClusterConfig, SharedQuota, TestPlan};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Six clients in ten can stand at a time.
fn config(nodes: usize, clear_ms: u64) -> ClusterConfig {
    let config = ClusterConfig::for_nodes(nodes);
    let max_connections = config.clients * 6 / 10;
    let quota = SharedQuota { max_connections, lease_ms: 1500, clear_ms };
    ClusterConfig { quota: Some(quota), ..config }
}

/// Plays a script and gives the most that were open at once, of the whole.
fn play(story: &str, clear: u64, script: impl AsyncFn(&mut Cluster)) -> Vec<(usize, usize)> {
    let TestPlan { seeds, nodes } = TestPlan::from_env_or(&[1], 12);
    let mut all = Vec::new();
    for seed in seeds {
        let config = config(nodes, clear);
        let whole = config.quota.expect("a quota").max_connections;
        let peak = block_on(async {
            let mut cluster = Cluster::start(seed, config, program_under_test()).await;
            script(&mut cluster).await;
            let peak = cluster.servers.connection_peak();
            cluster.finish().await;
            peak
        });
        let (most, counted) = (peak.max_open, peak.counted);
        println!("{story} seed={seed} nodes={nodes} whole={whole} most_open={most} instants={counted}");
        all.push((most, whole));
    }
    all
}

fn never_over(story: &str, all: Vec<(usize, usize)>) {
    assert!(all.iter().all(|(most, whole)| most <= whole), "{story}: {all:?}");
}

/// The level is in use again to nine tenths.
async fn is_full(cluster: &mut Cluster, what: &str, seconds: u64) {
    let wanted = cluster.shared.config.quota.expect("a quota").max_connections * 9 / 10;
    cluster.wait_until(what, seconds, |cluster| cluster.servers.open_connections() >= wanted).await;
    cluster.run_for_secs(2).await;
}

#[test]
fn holders_that_die_and_come_back() {
    let story = "holders killed";
    let all = play(story, 500, async |cluster| {
        is_full(cluster, "the level is in use", 30).await;
        let nodes = cluster.shared.config.nodes;
        let which: Vec<usize> = (1..=nodes / 3).collect();
        cluster.kill(&which);
        // A lease and its clearing, and what the clients take to come.
        is_full(cluster, "the others have the parts of the dead", 30).await;
        let known = cluster.servers.complete_list_json();
        cluster.restart(&which, &known);
        cluster.run_for_secs(6).await;
        is_full(cluster, "all have parts again", 30).await;
    });
    never_over(story, all);
}

/// It comes back with an empty book, and grants nothing until every lease that it may have given is over.
#[test]
fn the_grantor_dies_and_comes_back_with_nothing() {
    let story = "the grantor killed";
    let all = play(story, 500, async |cluster| {
        is_full(cluster, "the level is in use", 30).await;
        cluster.kill(&[0]);
        cluster.run_for_millis(300).await;
        let known = cluster.servers.complete_list_json();
        cluster.restart(&[0], &known);
        cluster.run_for_secs(4).await;
        is_full(cluster, "parts are granted again", 30).await;
        cluster.kill(&[0]);
        cluster.run_for_secs(4).await;
        // Nobody grants: each of the others has its floor, of 45 in 100 of the whole.
        let (nodes, whole) =
            (cluster.shared.config.nodes, cluster.shared.config.quota.expect("a quota").max_connections);
        let floors = whole * 45 / 100 / nodes * (nodes - 1);
        let open = cluster.servers.open_connections();
        assert!(open <= floors, "{open} are open on floors of {floors}");
        assert!(open * 2 >= floors, "service goes on: {open} of {floors}");
    });
    never_over(story, all);
}

/// What it forgot is still in use: most holders stand still with their connections while it comes back.
#[test]
fn the_grantor_forgets_while_others_stand_still() {
    let story = "the grantor killed while others are stopped";
    let all = play(story, 8000, async |cluster| {
        is_full(cluster, "the level is in use", 30).await;
        let nodes = cluster.shared.config.nodes;
        let stopped: Vec<usize> = (nodes / 3..nodes).collect();
        stopped.iter().for_each(|node| cluster.nodes.pause(*node));
        cluster.kill(&[0]);
        let known = cluster.servers.complete_list_json();
        cluster.restart(&[0], &known);
        cluster.run_for_secs(5).await;
        stopped.iter().for_each(|node| cluster.nodes.resume(*node));
        cluster.run_for_secs(2).await;
    });
    never_over(story, all);
}

/// It keeps its sockets while it is stopped, for longer than its lease: its connections count until `clear_ms` is over.
#[test]
fn a_holder_stopped_past_its_lease() {
    let story = "a holder stopped";
    let stopped = async |cluster: &mut Cluster| {
        is_full(cluster, "the level is in use", 30).await;
        cluster.nodes.pause(1);
        cluster.nodes.pause(2);
        cluster.run_for_secs(5).await;
        cluster.nodes.resume(1);
        cluster.nodes.resume(2);
        cluster.run_for_secs(3).await;
    };
    never_over(story, play(story, 8000, stopped));
    // The check sees it where the file says that such connections are gone at once, and they are not.
    let all = play("a holder stopped, cleared too soon", 0, stopped);
    assert!(all.iter().any(|(most, whole)| most > whole), "went unseen: {all:?}");
}

/// What cannot be read at the grantor's address ends its connection within 3 s, and parts are granted as before.
#[test]
fn whoever_says_nonsense_to_the_grantor_is_closed() {
    let story = "nonsense at the grantor";
    let all = play(story, 500, async |cluster| {
        is_full(cluster, "the level is in use", 30).await;
        let other_version = [0, 0, 0, 2, 9, 0];
        let longer_than_any = [0xff; 8];
        let half = [0, 0, 0, 9, 1];
        for bytes in [&other_version[..], &longer_than_any, &half] {
            let mut caller =
                tokio::net::TcpStream::connect(cluster.nodes.quota_address(0)).await.expect("it listens");
            caller.write_all(bytes).await.expect("it takes them");
            let end = tokio::time::timeout(Duration::from_secs(3), caller.read(&mut [0; 8])).await;
            assert!(matches!(end, Ok(Ok(0) | Err(_))), "{bytes:?}: {end:?}");
        }
        is_full(cluster, "parts are granted", 30).await;
    });
    never_over(story, all);
}

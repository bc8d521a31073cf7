//! A level of the whole fleet, divided among its nodes by one grantor: several processes, faults between them, and an
//! auditor that counts open connections at the servers. `FLEET_SEEDS` and `FLEET_NODES` play others.

mod cluster;

use cluster::{plays, program, run, Figures, Level, Rig};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Six clients in ten can stand at a time.
fn figures(nodes: usize, clear: u64) -> Figures {
    let figures = Figures::of(nodes);
    let whole = figures.clients * 6 / 10;
    Figures { level: Some(Level { whole, lease: 1500, clear }), ..figures }
}

/// Plays a script and gives the most that were open at once, of the whole.
fn play(story: &str, clear: u64, script: impl AsyncFn(&mut Rig)) -> Vec<(usize, usize)> {
    let (seeds, nodes) = plays(&[1], 12);
    let mut all = Vec::new();
    for seed in seeds {
        let figures = figures(nodes, clear);
        let whole = figures.level.expect("a level").whole;
        let (most, counted) = run(async {
            let mut rig = Rig::start(seed, figures, program()).await;
            script(&mut rig).await;
            let most = rig.servers.most_open();
            rig.end().await;
            most
        });
        println!("{story} seed={seed} nodes={nodes} whole={whole} most_open={most} instants={counted}");
        all.push((most, whole));
    }
    all
}

fn never_over(story: &str, all: Vec<(usize, usize)>) {
    assert!(all.iter().all(|(most, whole)| most <= whole), "{story}: {all:?}");
}

/// The level is in use again to nine tenths.
async fn is_full(rig: &mut Rig, what: &str, seconds: u64) {
    let wanted = rig.world.figures.level.expect("a level").whole * 9 / 10;
    rig.until(what, seconds, |rig| rig.servers.open() >= wanted).await;
    rig.seconds(2).await;
}

#[test]
fn holders_that_die_and_come_back() {
    let story = "holders killed";
    let all = play(story, 500, async |rig| {
        is_full(rig, "the level is in use", 30).await;
        let nodes = rig.world.figures.nodes;
        let which: Vec<usize> = (1..=nodes / 3).collect();
        rig.kill(&which);
        // A lease and its clearing, and what the clients take to come.
        is_full(rig, "the others have the parts of the dead", 30).await;
        let known = rig.servers.list();
        rig.restart(&which, &known);
        rig.seconds(6).await;
        is_full(rig, "all have parts again", 30).await;
    });
    never_over(story, all);
}

/// It comes back with an empty book, and grants nothing until every lease that it may have given is over.
#[test]
fn the_grantor_dies_and_comes_back_with_nothing() {
    let story = "the grantor killed";
    let all = play(story, 500, async |rig| {
        is_full(rig, "the level is in use", 30).await;
        rig.kill(&[0]);
        rig.millis(300).await;
        let known = rig.servers.list();
        rig.restart(&[0], &known);
        rig.seconds(4).await;
        is_full(rig, "parts are granted again", 30).await;
        rig.kill(&[0]);
        rig.seconds(4).await;
        // Nobody grants: each of the others has its floor, of 45 in 100 of the whole.
        let (nodes, whole) = (rig.world.figures.nodes, rig.world.figures.level.expect("a level").whole);
        let floors = whole * 45 / 100 / nodes * (nodes - 1);
        let open = rig.servers.open();
        assert!(open <= floors, "{open} are open on floors of {floors}");
        assert!(open * 2 >= floors, "service goes on: {open} of {floors}");
    });
    never_over(story, all);
}

/// What it forgot is still in use: most holders stand still with their connections while it comes back.
#[test]
fn the_grantor_forgets_while_others_stand_still() {
    let story = "the grantor killed while others are stopped";
    let all = play(story, 8000, async |rig| {
        is_full(rig, "the level is in use", 30).await;
        let nodes = rig.world.figures.nodes;
        let stopped: Vec<usize> = (nodes / 3..nodes).collect();
        stopped.iter().for_each(|node| rig.nodes.stop(*node));
        rig.kill(&[0]);
        let known = rig.servers.list();
        rig.restart(&[0], &known);
        rig.seconds(5).await;
        stopped.iter().for_each(|node| rig.nodes.go_on(*node));
        rig.seconds(2).await;
    });
    never_over(story, all);
}

/// It keeps its sockets while it is stopped, for longer than its lease: its connections count until `clear_ms` is over.
#[test]
fn a_holder_stopped_past_its_lease() {
    let story = "a holder stopped";
    let stopped = async |rig: &mut Rig| {
        is_full(rig, "the level is in use", 30).await;
        rig.nodes.stop(1);
        rig.nodes.stop(2);
        rig.seconds(5).await;
        rig.nodes.go_on(1);
        rig.nodes.go_on(2);
        rig.seconds(3).await;
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
    let all = play(story, 500, async |rig| {
        is_full(rig, "the level is in use", 30).await;
        let other_version = [0, 0, 0, 2, 9, 0];
        let longer_than_any = [0xff; 8];
        let half = [0, 0, 0, 9, 1];
        for bytes in [&other_version[..], &longer_than_any, &half] {
            let mut caller = tokio::net::TcpStream::connect(rig.nodes.seat(0)).await.expect("it listens");
            caller.write_all(bytes).await.expect("it takes them");
            let end = tokio::time::timeout(Duration::from_secs(3), caller.read(&mut [0; 8])).await;
            assert!(matches!(end, Ok(Ok(0) | Err(_))), "{bytes:?}: {end:?}");
        }
        is_full(rig, "parts are granted", 30).await;
    });
    never_over(story, all);
}

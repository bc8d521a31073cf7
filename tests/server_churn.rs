//! Servers that come and go by the thousand: what a node holds of them stays bounded.

use sparbank_test_support::{endpoint_entry, established_client, ListKind, TestNode};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// More servers than the removed ones that a node remembers.
const SERVERS: usize = 5_000;
/// The removed servers that a node remembers at most.
const MAX_REMEMBERED: u64 = 4_096;

/// A test fails after this time without the expected number of servers.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn wait_for_known_servers(bench: &mut TestNode, is_expected: impl Fn(u64) -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        let known = bench.counter("known_servers");
        if is_expected(known) {
            return;
        }
        assert!(Instant::now() < deadline, "the node still knows {known} servers");
    }
}

/// A list of thousands of servers is replaced by one with a single server. The node remembers a bounded number of the
/// removed ones, and the session at the single server goes on.
#[test]
fn the_number_of_remembered_servers_is_bounded() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut watch = bench.accept_watch();
    let (mut client, mut attempt) = established_client(&bench, 1);
    let remaining = endpoint_entry(0, bench.servers[0].local_addr().expect("an address"), "ready");
    let unreachable = "127.0.0.1:1".parse().expect("an address");
    let added: Vec<String> =
        (1..SERVERS).map(|number| endpoint_entry(number, unreachable, "draining")).collect();
    bench.generation += 1;
    bench.send_endpoints(&mut watch, ListKind::Incremental, &added.join(","));
    wait_for_known_servers(&mut bench, |known| known == SERVERS as u64);
    // Two lists: the second one finds the servers that the first one has removed.
    for _ in 0..2 {
        bench.generation += 1;
        bench.send_endpoints(&mut watch, ListKind::Complete, &remaining);
    }
    wait_for_known_servers(&mut bench, |known| known <= MAX_REMEMBERED + 1);
    client.send("M 1\r\n");
    assert_eq!(attempt.read_line(), "M 1");
    attempt.send("M 1\r\n");
    assert_eq!(client.read_line(), "M 1");
}

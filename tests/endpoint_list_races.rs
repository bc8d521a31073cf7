//! Races of the endpoint list, forced over loopback: the node acts on every change that discovery has written to its
//! watch, whatever else happens at that moment.

use rstest::rstest;
use sparbank_test_support::{accept_any, instance, listener, open_line, Bench, ListKind, Peer};
use std::ops::Range;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Pushed lists wait at the machine's agent: a node without a watch would never be notified of a drain.
#[rstest]
fn with_pushed_lists_the_node_opens_a_watch_and_reopens_it() {
    let pushed = |text: &str| {
        assert!(text.contains(r#""Discovery":"ask""#));
        text.replace(r#""Discovery":"ask""#, r#""Discovery":"push""#)
            .replace(r#""AskWithinNs":1600000000,"#, "")
    };
    let mut bench = Bench::with_args(PROGRAM, vec![listener(), listener()], None, &[], pushed);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    // The node reopens the watch that was reset, and the drain is known by then.
    let mut watch = bench.accept_watch();
    all_clients_connect_to_server_1(&bench, 0..6);
    bench.send_endpoints(&mut watch, ListKind::Incremental, "");
}

/// Nothing new goes to server 0, which drains: each of these clients is connected to server 1.
fn all_clients_connect_to_server_1(bench: &Bench, clients: Range<u64>) {
    for number in clients {
        let mut client = bench.connect_client(&open_line(number));
        let (server, mut attempt) = accept_any(&bench.servers);
        assert_eq!(server, 1, "nothing new goes to the one that drains");
        attempt.read_line();
        attempt.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
}

/// Writes text to a watch, as a chunk of its own.
fn send_chunk(watch: &mut Peer, text: &str) {
    watch.send(&format!("{:x}\r\n{text}\r\n", text.len()));
}

/// An object over several lines, in one chunk and with each byte in a chunk of its own.
#[rstest]
#[case::in_one_chunk(usize::MAX)]
#[case::byte_by_byte(1)]
fn an_indented_object_is_one_list(#[case] chunk_bytes: usize) {
    let mut bench = Bench::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    let entry = instance(0, bench.servers[0].local_addr().expect("an address"), "draining");
    let text = format!(
        "{{\r\n  \"generation\": 2,\n  \"reset\": false,\n  \"instances\": [\n    {entry}\n  ]\n}}\n\n"
    );
    for piece in text.as_bytes().chunks(chunk_bytes.min(text.len())) {
        send_chunk(&mut watch, std::str::from_utf8(piece).expect("plain text"));
    }
    drop(watch);
    // The watch was valid to its end, and the next one is requested from the generation that it brought.
    let mut next_watch = Peer::accept(&bench.discovery);
    assert!(next_watch.read_line().contains("from=2 "));
    all_clients_connect_to_server_1(&bench, 0..6);
}

/// An object that is broken off is no list, and the node does not wait for the rest of it.
#[rstest]
#[case::empty_line_follows("{\"generation\":2,\"inst\n\n")]
#[case::line_end_inside_a_string("{\"generation\":2,\"instances\":[{\"instanceId\":\"s-\n")]
fn a_truncated_object_ends_the_watch(#[case] text: &str) {
    let mut bench = Bench::start(PROGRAM, 1);
    let mut watch = bench.accept_watch();
    send_chunk(&mut watch, text);
    assert!(bench.wait_for_log("endpoint watch lost").ends_with("error=malformed JSON"));
    bench.accept_watch();
}

/// While nothing changes, discovery writes an empty line every 2 s and nothing else: such a watch is healthy.
#[rstest]
fn a_watch_with_empty_lines_only_stays_open() {
    let mut bench = Bench::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    send_chunk(&mut watch, "\n");
    std::thread::sleep(Duration::from_millis(2_600));
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=ended");
    all_clients_connect_to_server_1(&bench, 0..6);
}

/// A watch that falls silent is reopened in time: a change counts as known to the node 6 s after it.
#[rstest]
#[case::before_the_first_byte("")]
#[case::inside_an_object("{\"generation\":2,\"instances\":[")]
fn a_silent_watch_is_reopened_within_six_seconds(#[case] text: &str) {
    let mut bench = Bench::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    let silent_since = Instant::now();
    if !text.is_empty() {
        send_chunk(&mut watch, text);
    }
    let mut next_watch = bench.accept_watch();
    bench.update_lifecycle(&mut next_watch, 0, "draining");
    assert!(silent_since.elapsed() < Duration::from_secs(6));
    drop(next_watch);
    bench.wait_for_log("endpoint watch lost error=ended");
    all_clients_connect_to_server_1(&bench, 0..6);
}

/// A change on the old watch and the signal that moves discovery's address are handled in one iteration of the event loop, and the
/// new address is silent: the change counts.
#[rstest]
fn a_change_on_the_old_watch_counts_when_discovery_moves_in_the_same_iteration() {
    let mut bench = Bench::start(PROGRAM, 2);
    let mut old_watch = bench.accept_watch();
    bench.update_lifecycle(&mut old_watch, 1, "ready");
    bench.pause();
    bench.update_lifecycle(&mut old_watch, 0, "draining");
    bench.move_discovery();
    bench.resume();
    bench.wait_for_log("configuration reloaded");
    let _silent_watch = Peer::accept(&bench.discovery);
    all_clients_connect_to_server_1(&bench, 0..6);
}

/// The new address answers with a list that is older than the last change from the old one: it revives nothing.
#[rstest]
fn a_stale_list_from_another_address_revives_nothing() {
    let mut bench = Bench::start(PROGRAM, 2);
    let mut old_watch = bench.accept_watch();
    bench.update_lifecycle(&mut old_watch, 1, "ready");
    bench.update_lifecycle(&mut old_watch, 0, "draining");
    bench.move_discovery();
    bench.wait_for_log("configuration reloaded");
    bench.generation = 2;
    let mut watch = bench.accept_watch();
    let address = |server: usize| bench.servers[server].local_addr().expect("an address");
    let entries = [instance(0, address(0), "ready"), instance(1, address(1), "ready")].join(",");
    bench.send_endpoints(&mut watch, ListKind::Complete, &entries);
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=ended");
    all_clients_connect_to_server_1(&bench, 0..6);
}

//! Races between changes of the endpoint list and other events, forced over loopback: the node acts on every change
//! that discovery has written to its watch.

use rstest::rstest;
use sparbank_test_support::{accept_any, endpoint_entry, listener, request_line, ListKind, Peer, TestNode};
use std::ops::Range;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// Pushed lists are held by the machine's agent, so a node without a watch would never be notified of a drain.
#[rstest]
fn with_pushed_lists_the_node_opens_a_watch_and_reopens_it() {
    let pushed = |text: &str| {
        assert!(text.contains(r#""Discovery":"ask""#));
        text.replace(r#""Discovery":"ask""#, r#""Discovery":"push""#)
            .replace(r#""AskWithinNs":1600000000,"#, "")
    };
    let mut bench = TestNode::start_with_args(PROGRAM, vec![listener(), listener()], None, &[], pushed);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    // The node reopens the watch that was reset. By then it has received the drain.
    let mut watch = bench.accept_watch();
    assert_clients_connect_to_server_1(&bench, 0..6);
    bench.send_endpoints(&mut watch, ListKind::Incremental, "");
}

/// Asserts that all these clients are connected to server 1, and none to server 0, which is draining.
fn assert_clients_connect_to_server_1(bench: &TestNode, clients: Range<u64>) {
    for number in clients {
        let mut client = bench.connect_client(&request_line(number));
        let (server, mut attempt) = accept_any(&bench.servers);
        assert_eq!(server, 1, "a draining server gets no new request");
        attempt.read_line();
        attempt.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
}

/// Writes text to a watch as one chunk.
fn send_chunk(watch: &mut Peer, text: &str) {
    watch.send(&format!("{:x}\r\n{text}\r\n", text.len()));
}

/// An object spans several lines, and arrives in one chunk or byte by byte.
#[rstest]
#[case::in_one_chunk(usize::MAX)]
#[case::byte_by_byte(1)]
fn an_indented_object_is_one_list(#[case] chunk_bytes: usize) {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    let entry = endpoint_entry(0, bench.servers[0].local_addr().expect("an address"), "draining");
    let text = format!(
        "{{\r\n  \"generation\": 2,\n  \"reset\": false,\n  \"instances\": [\n    {entry}\n  ]\n}}\n\n"
    );
    for piece in text.as_bytes().chunks(chunk_bytes.min(text.len())) {
        send_chunk(&mut watch, std::str::from_utf8(piece).expect("plain text"));
    }
    drop(watch);
    // The watch was valid to its end, so the next one is requested from its last generation.
    let mut next_watch = Peer::accept(&bench.discovery);
    assert!(next_watch.read_line().contains("from=2 "));
    assert_clients_connect_to_server_1(&bench, 0..6);
}

/// A truncated object is no list, and the node does not wait for the rest of it.
#[rstest]
#[case::empty_line_follows("{\"generation\":2,\"inst\n\n")]
#[case::line_end_inside_a_string("{\"generation\":2,\"instances\":[{\"instanceId\":\"s-\n")]
fn a_truncated_object_ends_the_watch(#[case] text: &str) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut watch = bench.accept_watch();
    send_chunk(&mut watch, text);
    assert!(bench.wait_for_log("endpoint watch lost").ends_with("error=malformed JSON"));
    bench.accept_watch();
}

/// While nothing changes, discovery writes only an empty line every 2 s. Such a watch is healthy.
#[rstest]
fn a_watch_with_empty_lines_only_stays_open() {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    send_chunk(&mut watch, "\n");
    std::thread::sleep(Duration::from_millis(2_600));
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    assert_clients_connect_to_server_1(&bench, 0..6);
}

/// A watch without data is reopened early enough for the node to receive a change within 6 s.
#[rstest]
#[case::before_the_first_byte("")]
#[case::inside_an_object("{\"generation\":2,\"instances\":[")]
fn a_silent_watch_is_reopened_within_six_seconds(#[case] text: &str) {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut watch = bench.accept_watch();
    let silent_since = Instant::now();
    if !text.is_empty() {
        send_chunk(&mut watch, text);
    }
    let mut next_watch = bench.accept_watch();
    bench.update_lifecycle(&mut next_watch, 0, "draining");
    assert!(silent_since.elapsed() < Duration::from_secs(6));
    drop(next_watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    assert_clients_connect_to_server_1(&bench, 0..6);
}

/// The node handles a change on the old watch and the signal that moves discovery in the same iteration of the event
/// loop, and the new address sends nothing. The change takes effect.
#[rstest]
fn a_change_on_the_old_watch_counts_when_discovery_moves_in_the_same_iteration() {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut old_watch = bench.accept_watch();
    bench.update_lifecycle(&mut old_watch, 1, "ready");
    bench.pause();
    bench.update_lifecycle(&mut old_watch, 0, "draining");
    bench.move_discovery();
    bench.resume();
    bench.wait_for_log("configuration reloaded");
    let _silent_watch = Peer::accept(&bench.discovery);
    assert_clients_connect_to_server_1(&bench, 0..6);
}

/// The new address of discovery sends a list that is older than the last change from the old address. It does not
/// undo that change.
#[rstest]
fn a_stale_list_from_a_new_address_does_not_undo_a_drain() {
    let mut bench = TestNode::start(PROGRAM, 2);
    let mut old_watch = bench.accept_watch();
    bench.update_lifecycle(&mut old_watch, 1, "ready");
    bench.update_lifecycle(&mut old_watch, 0, "draining");
    bench.move_discovery();
    bench.wait_for_log("configuration reloaded");
    bench.generation = 2;
    let mut watch = bench.accept_watch();
    let address = |server: usize| bench.servers[server].local_addr().expect("an address");
    let entries = [endpoint_entry(0, address(0), "ready"), endpoint_entry(1, address(1), "ready")].join(",");
    bench.send_endpoints(&mut watch, ListKind::Complete, &entries);
    drop(watch);
    bench.wait_for_log("endpoint watch lost error=discovery ended the response");
    assert_clients_connect_to_server_1(&bench, 0..6);
}

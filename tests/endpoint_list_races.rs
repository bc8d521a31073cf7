//! Crossings of discovery's list, forced over loopback: what was told is acted on, whatever else happens then.

mod support;

use rstest::rstest;
use support::*;

/// Where lists are pushed, they wait at the machine's agent: a node that asked for none would never hear of a drain.
#[rstest]
fn where_lists_are_pushed_the_node_opens_a_watch_and_opens_it_anew() {
    let pushed = |text: &str| {
        assert!(text.contains(r#""Discovery":"ask""#));
        text.replace(r#""Discovery":"ask""#, r#""Discovery":"push""#)
            .replace(r#""AskWithinNs":1600000000,"#, "")
    };
    let mut bench = Bench::with_args(vec![listener(), listener()], None, &[], pushed);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    // The watch that broke is opened anew, and by then the drain is known.
    let mut watch = bench.accept_watch();
    for number in 0..6 {
        let mut client = bench.connect_client(&open_line(number));
        let (at, mut attempt) = accept_any(&bench.servers);
        assert_eq!(at, 1, "nothing new goes to the one that drains");
        attempt.read_line();
        attempt.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
    bench.send_endpoints(&mut watch, false, "");
}

/// Nothing new goes to server 0: as many clients come to stand at server 1.
fn all_go_to_the_other(bench: &Bench, numbers: std::ops::Range<u64>) {
    for number in numbers {
        let mut client = bench.connect_client(&open_line(number));
        let (at, mut attempt) = accept_any(&bench.servers);
        assert_eq!(at, 1, "nothing new goes to the one that drains");
        attempt.read_line();
        attempt.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
}

fn chunk(watch: &mut Peer, text: &str) {
    watch.send(&format!("{:x}\r\n{text}\r\n", text.len()));
}

/// An object over several lines, and one whose bytes come in chunks of their own.
#[rstest]
#[case::at_once(usize::MAX)]
#[case::byte_by_byte(1)]
fn an_indented_object_is_one_list(#[case] piece: usize) {
    let mut bench = Bench::start(2);
    let mut watch = bench.accept_watch();
    let entry = instance(0, bench.servers[0].local_addr().expect("an address"), "draining");
    let text = format!(
        "{{\r\n  \"generation\": 2,\n  \"reset\": false,\n  \"instances\": [\n    {entry}\n  ]\n}}\n\n"
    );
    for part in text.as_bytes().chunks(piece.min(text.len())) {
        chunk(&mut watch, std::str::from_utf8(part).expect("plain text"));
    }
    drop(watch);
    // The watch was sound to its end, and the next one asks from what it brought.
    let mut again = Peer::accept(&bench.discovery);
    assert!(again.read_line().contains("from=2 "));
    all_go_to_the_other(&bench, 0..6);
}

/// What is broken off inside an object is no list, and is not waited for.
#[rstest]
#[case::then_an_empty_line("{\"generation\":2,\"inst\n\n")]
#[case::inside_a_word("{\"generation\":2,\"instances\":[{\"instanceId\":\"s-\n")]
fn an_object_that_is_broken_off_ends_the_watch(#[case] text: &str) {
    let mut bench = Bench::start(1);
    let mut watch = bench.accept_watch();
    chunk(&mut watch, text);
    assert!(bench.wait_for_log("list-lost").contains("NotJson"));
    bench.accept_watch();
}

/// As long as nothing changes, empty lines come every 2 s, and nothing else: such a watch is sound.
#[rstest]
fn a_watch_that_brings_empty_lines_only_is_kept() {
    let mut bench = Bench::start(2);
    let mut watch = bench.accept_watch();
    chunk(&mut watch, "\n");
    std::thread::sleep(std::time::Duration::from_millis(2_600));
    bench.update_lifecycle(&mut watch, 0, "draining");
    drop(watch);
    bench.wait_for_log("list-lost reason=Ended");
    all_go_to_the_other(&bench, 0..6);
}

/// One that falls silent inside an object is opened anew in time: what it missed counts as told 6 s after.
#[rstest]
#[case::at_once("")]
#[case::inside_an_object("{\"generation\":2,\"instances\":[")]
fn a_watch_that_falls_silent_is_opened_anew_within_six_seconds(#[case] text: &str) {
    let mut bench = Bench::start(2);
    let mut watch = bench.accept_watch();
    let fell = std::time::Instant::now();
    if !text.is_empty() {
        chunk(&mut watch, text);
    }
    let mut again = bench.accept_watch();
    bench.update_lifecycle(&mut again, 0, "draining");
    assert!(fell.elapsed() < std::time::Duration::from_secs(6));
    drop(again);
    bench.wait_for_log("list-lost reason=Ended");
    all_go_to_the_other(&bench, 0..6);
}

/// The old watch's last words and the signal that moves the address come in one turn, and the new address is silent:
/// what was told counts.
#[rstest]
fn what_the_old_watch_told_in_the_turn_of_its_move_counts() {
    let mut bench = Bench::start(2);
    let mut old = bench.accept_watch();
    bench.update_lifecycle(&mut old, 1, "ready");
    bench.pause();
    bench.update_lifecycle(&mut old, 0, "draining");
    bench.move_discovery();
    bench.resume();
    bench.wait_for_log("reloaded");
    let _silent = Peer::accept(&bench.discovery);
    all_go_to_the_other(&bench, 0..6);
}

/// The new address answers with a list from before the newest that was told: it is no news.
#[rstest]
fn a_list_from_before_the_newest_is_no_news_from_another_address_either() {
    let mut bench = Bench::start(2);
    let mut old = bench.accept_watch();
    bench.update_lifecycle(&mut old, 1, "ready");
    bench.update_lifecycle(&mut old, 0, "draining");
    bench.move_discovery();
    bench.wait_for_log("reloaded");
    bench.generation = 2;
    let mut watch = bench.accept_watch();
    let address = |at: usize| bench.servers[at].local_addr().expect("an address");
    let entries = [instance(0, address(0), "ready"), instance(1, address(1), "ready")].join(",");
    bench.send_endpoints(&mut watch, true, &entries);
    drop(watch);
    bench.wait_for_log("list-lost reason=Ended");
    all_go_to_the_other(&bench, 0..6);
}

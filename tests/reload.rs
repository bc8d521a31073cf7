//! Reload of the configuration by SIGHUP while the node serves, over loopback.

use rstest::rstest;
use sparbank_test_support::{
    accept_any, counter_value, endpoint_entry, listener, request_line, ListKind, Peer, TestNode,
};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const OPEN: &str = "OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f";

/// Establishes a connection of a new client, which must be placed at this server. Returns the ends of client and
/// server.
fn establish_at(bench: &TestNode, server: usize, key: u64) -> (Peer, Peer) {
    let mut client = bench.connect_client(&request_line(key));
    let mut attempt = Peer::accept(&bench.servers[server]);
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    (client, attempt)
}

#[rstest]
#[case::draining("draining")]
#[case::missing("")]
fn after_discovery_moves_the_first_list_replaces_the_known_one(#[case] lifecycle: &str) {
    let mut bench = TestNode::start(PROGRAM, 2);
    let _old = bench.accept_watch();
    let mut client = bench.connect_client(OPEN);
    let (_, mut attempt) = accept_any(&bench.servers);
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    bench.move_discovery();
    bench.wait_for_log("configuration reloaded");
    // The new discovery counts generations on its own.
    bench.generation = 0;
    let mut watch = bench.accept_watch();
    let address = |server: usize| bench.servers[server].local_addr().expect("an address");
    let mut entries = vec![endpoint_entry(1, address(1), "ready")];
    if !lifecycle.is_empty() {
        entries.push(endpoint_entry(0, address(0), lifecycle));
    }
    bench.send_endpoints(&mut watch, ListKind::Complete, &entries.join(","));
    // The watch ends after the list: once its loss is logged, the list has been handled.
    watch.send("0\r\n\r\n");
    bench.wait_for_log("endpoint watch lost");
    let _placed: Vec<_> = (0..4).map(|key| establish_at(&bench, 1, key)).collect();
    // The established connection continues, whichever server it is at.
    client.send("M 1 x\r\n");
    assert_eq!(attempt.read_line(), "M 1 x");
    attempt.send("M 1 x\r\n");
    assert_eq!(client.read_line(), "M 1 x");
    assert_eq!(bench.counter("migrated"), 0);
}

#[rstest]
fn a_failed_poll_of_a_new_address_is_repeated_and_known_servers_are_kept() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let _old = bench.accept_watch();
    bench.move_discovery();
    drop(Peer::accept(&bench.discovery));
    bench.wait_for_log("endpoint watch lost");
    let _established = establish_at(&bench, 0, 1);
    // One reload during the next poll and another one right after: each ends the watch before it.
    let mut pending = Peer::accept(&bench.discovery);
    bench.move_discovery();
    assert!(pending.read_line().starts_with("GET"));
    bench.move_discovery();
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "ready");
    let _established = establish_at(&bench, 0, 2);
    bench.reconfigure(str::to_string);
    assert_eq!(counter_value(&bench.stop(), "served"), 2);
}

#[rstest]
#[case::not_json(|_: &str| "{".to_string(), "EOF")]
#[case::a_field_with_an_invalid_value(|text: &str| text.replace("read_like", "odd"), "field settings.Profiles[0].Effect")]
#[case::no_discovery(|text: &str| text.replace("\"discovery\"", "\"elsewhere\""), "discovery")]
fn an_invalid_file_changes_nothing(#[case] edit: fn(&str) -> String, #[case] expected: &str) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let mut watch = bench.accept_watch();
    bench.reconfigure(edit);
    let rejection = bench.wait_for_log("configuration reload rejected");
    assert!(rejection.contains("node.json") && rejection.contains(expected), "{rejection}");
    let _established = establish_at(&bench, 0, 1);
    // The watch is still the same one.
    bench.update_lifecycle(&mut watch, 0, "draining");
    watch.send("0\r\n\r\n");
    bench.wait_for_log("endpoint watch lost");
    assert_eq!(bench.counter("discovery_failures"), 1);
}

#[rstest]
fn fields_that_need_a_restart_are_named_and_the_others_are_applied() {
    let amqp = r#"{"listen":"127.0.0.1:0"}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(amqp));
    let _watch = bench.accept_watch();
    bench.reconfigure(|text| {
        // With a limit of 20 sockets, none is left for a client.
        text.replace(r#""sockets":256"#, r#""sockets":20"#)
            .replace(r#""name":"n1""#, r#""name":"n2""#)
            .replace(r#""seed":"7""#, r#""seed":"8""#)
    });
    assert_eq!(
        bench.wait_for_log("changed fields need a restart"),
        " WARN changed fields need a restart fields=name,seed"
    );
    assert_eq!(bench.connect_client(OPEN).read_line(), "BUSY 500");
}

//! Links that are resumed (standard, section 2.6.13): a settled delivery is not run again, a running one goes on, and
//! one of unknown fate is answered so.

use rstest::rstest;
use sparbank_amqp::{Attach, Detach, State, Tag, Target, Terminus, Transfer, Value};
use sparbank_test_support::{counter_value, listener, message, until, AmqpPeer, Bench, Peer};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";

fn bench(on: &str) -> Bench {
    Bench::with(PROGRAM, vec![listener()], Some(on))
}

/// Attaches a link that may be resumed for so many seconds, with the client's unsettled map.
/// Gives the node's unsettled map.
fn attach(client: &mut AmqpPeer, seconds: u32, unsettled: &[u8]) -> Vec<(Value, Value)> {
    let timeout = Some(seconds).filter(|seconds| *seconds > 0);
    let target = Target { address: Some(CLASS.into()), timeout, ..Default::default() };
    let map = unsettled.iter().map(|tag| (Value::Binary(vec![*tag]), Value::Null)).collect();
    client.put(Attach {
        name: Some("feed".into()),
        handle: Some(0),
        role: Some(false),
        target: Some(Terminus::Target(target)),
        unsettled: (!unsettled.is_empty()).then_some(Value::Map(map)),
        initial_delivery_count: Some(0),
        ..Default::default()
    });
    let (attach, _) = until!(client, Attach);
    until!(client, Flow);
    match attach.unsettled {
        Some(Value::Map(pairs)) => pairs,
        _ => Vec::new(),
    }
}

fn client(bench: &Bench) -> AmqpPeer {
    AmqpPeer::client(bench.amqp.expect("on"), None)
}

/// Goes on with a delivery from before.
fn resume(client: &mut AmqpPeer, id: u32, tag: u8) {
    let transfer = Transfer {
        handle: Some(0),
        delivery_id: Some(id),
        delivery_tag: Tag::new(&[tag]),
        resume: Some(true),
        ..Default::default()
    };
    client.put_kind(0, transfer.into(), &message(60_000, "7f3a", b"again"));
}

fn answer(client: &mut AmqpPeer) -> (Option<u32>, State) {
    let (d, _) = until!(client, Disposition);
    (d.first, d.state.expect("a state"))
}

#[rstest]
fn what_was_settled_before_the_connection_was_lost_is_not_run_again() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0"}"#);
    let mut first = client(&bench);
    attach(&mut first, 10, &[]);
    first.deliver(1, &message(60_000, "7f3a", b"one"));
    first.deliver(2, &message(60_000, "7f3a", b"two"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.link(10, 100);
    let ids: Vec<u32> = (0..2).map(|_| until!(server, Transfer).0.delivery_id.expect("an id")).collect();
    server.settle(ids[0], State::Accepted);
    assert_eq!(answer(&mut first), (Some(1), State::Accepted));
    // The client never read that, as far as it knows, and its connection is lost.
    drop(first);
    // The node must have seen that end: a link that comes before it is taken over, and not resumed.
    let gone = (0..300).any(|_| counter_value(&bench.frontend_counters("amqp"), "clients") == 0);
    assert!(gone, "the node sees the first connection's end");
    let mut second = client(&bench);
    let known = attach(&mut second, 10, &[1, 2, 3]);
    assert_eq!(known.len(), 2, "the third never came");
    assert!(known.contains(&(Value::Binary(vec![1]), State::Accepted.to_value())));
    assert!(known.contains(&(Value::Binary(vec![2]), Value::Null)));
    resume(&mut second, 7, 1);
    assert_eq!(answer(&mut second), (Some(7), State::Accepted));
    // The second still runs at its server: it is waited for, and not sent again.
    resume(&mut second, 8, 2);
    server.settle(ids[1], State::Accepted);
    assert_eq!(answer(&mut second), (Some(8), State::Accepted));
    assert_eq!(
        [bench.counter("sent"), bench.counter("served"), bench.counter("client_disconnected")],
        [2, 2, 0]
    );
    let line = bench.frontend_counters("amqp");
    assert_eq!([counter_value(&line, "resumed"), counter_value(&line, "fate_unknown")], [1, 0]);
}

#[rstest]
fn a_resumed_link_learns_the_state_of_a_delivery_settled_meanwhile() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0"}"#);
    let mut first = client(&bench);
    attach(&mut first, 10, &[]);
    first.deliver(1, &message(60_000, "7f3a", b"one"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.link(10, 100);
    let (transfer, _) = until!(server, Transfer);
    drop(first);
    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    while bench.counter("served") == 0 {}
    let mut second = client(&bench);
    let known = attach(&mut second, 10, &[1]);
    assert_eq!(known, [(Value::Binary(vec![1]), State::Accepted.to_value())]);
}

#[rstest]
fn a_link_detached_without_close_is_resumed_on_its_session() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0"}"#);
    let mut client = client(&bench);
    attach(&mut client, 0, &[]);
    client.deliver(1, &message(60_000, "7f3a", b"one"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.link(10, 100);
    let (transfer, _) = until!(server, Transfer);
    client.put(Detach { handle: Some(0), closed: None, error: None });
    until!(client, Detach);
    let known = attach(&mut client, 0, &[1]);
    assert_eq!(known, [(Value::Binary(vec![1]), Value::Null)]);
    resume(&mut client, 5, 1);
    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    assert_eq!(answer(&mut client), (Some(5), State::Accepted));
    assert_eq!([bench.counter("requests"), bench.counter("client_disconnected")], [1, 0]);
}

#[rstest]
fn a_resumed_delivery_of_unknown_fate_is_answered_so_and_not_run() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0"}"#);
    let mut client = client(&bench);
    // The node was restarted, or has forgotten: it knows nothing of this link.
    assert!(attach(&mut client, 10, &[1]).is_empty());
    let transfer = Transfer {
        handle: Some(0),
        delivery_id: Some(0),
        delivery_tag: Tag::new(&[1]),
        ..Default::default()
    };
    client.put_kind(0, transfer.into(), &message(60_000, "7f3a", b"one"));
    let (_, State::Modified { failed: true, annotations: Some(notes), .. }) = answer(&mut client) else {
        panic!("modified")
    };
    assert_eq!(notes.get("fate"), Some(&Value::symbol("unknown")));
    assert_eq!(bench.counter("requests"), 0);
}

#[rstest]
fn what_is_remembered_expires_and_is_bounded() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0","resume_links":1,"resume_ms":300}"#);
    let mut first = client(&bench);
    attach(&mut first, 3600, &[]);
    first.deliver(1, &message(60_000, "7f3a", b"one"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.link(10, 100);
    until!(server, Transfer);
    // A second link that may come again is one too many: it is served, and not remembered.
    let mut other = AmqpPeer::opened(bench.amqp.expect("on"), "another", None);
    other.begin(None, 100);
    until!(other, Begin);
    attach(&mut other, 10, &[]);
    drop(first);
    // After its timeout the request is abandoned, and its server is notified.
    until!(server, Disposition);
    assert_eq!([bench.counter("client_disconnected"), bench.counter("requests")], [1, 1]);
    let mut second = client(&bench);
    assert!(attach(&mut second, 10, &[1]).is_empty());
    assert_eq!(counter_value(&bench.frontend_counters("amqp"), "remembered"), 1);
}

#[rstest]
fn a_link_that_is_closed_is_forgotten_at_once() {
    let mut bench = bench(r#"{"listen":"127.0.0.1:0"}"#);
    let mut client = client(&bench);
    attach(&mut client, 10, &[]);
    client.deliver(1, &message(60_000, "7f3a", b"one"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.link(10, 100);
    until!(server, Transfer);
    client.put(Detach { handle: Some(0), closed: Some(true), error: None });
    until!(client, Detach);
    until!(server, Disposition);
    assert_eq!(bench.counter("client_disconnected"), 1);
}

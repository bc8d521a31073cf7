//! Clients that receive: a receiving link is an established connection and follows the same rules as one of the text
//! protocol.

use rstest::rstest;
use sparbank_amqp::{
    condition, Attach, Detach, Flow, Performative, Source, State, Tag, Terminus, Transfer, Value,
};
use sparbank_test_support::{
    accept_any, counter_value, listener, message_to, message_with_key, read_until, AmqpPeer, NextFrame, Peer,
    Signal, TestNode,
};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");
/// Heartbeats of a client that does not read: sent for longer than the node's idle time-out in that test.
const HEARTBEATS: u32 = 10;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A test fails if the node has not noticed the end of a server's connection within this time.
const LOSS_LIMIT: Duration = Duration::from_secs(10);

const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;
const CLASS: &str = "live-readings";

fn start_bench(servers: usize) -> TestNode {
    TestNode::start_with_servers(PROGRAM, (0..servers).map(|_| listener()).collect(), Some(AMQP_SETTINGS))
}

fn connect_client(bench: &TestNode) -> AmqpPeer {
    AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None)
}

fn source(address: &str) -> Source {
    Source { address: Some(address.into()), ..Default::default() }
}

/// Attaches a receiving link from a class, without waiting for the answer.
fn attach_receiver(client: &mut AmqpPeer, handle: u32) {
    let (name, role) = (Some(format!("from-{handle}")), Some(true));
    let (source, target) = (Some(source(CLASS)), Some(Terminus::Target(Default::default())));
    client.send_performative(Attach {
        name,
        handle: Some(handle),
        role,
        source,
        target,
        ..Default::default()
    });
}

/// Establishes a receiving link: the client, the index of its server, and the server, which sends at handle 7.
fn established_link(bench: &TestNode) -> (AmqpPeer, usize, AmqpPeer) {
    let mut client = connect_client(bench);
    attach_receiver(&mut client, 0);
    let (index, peer) = accept_any(&bench.servers);
    let mut server = AmqpPeer::server(peer, 1000, 65536);
    assert_eq!(
        server.accept_receiving_link(7).source.expect("the source is passed on").address.as_deref(),
        Some(CLASS)
    );
    assert!(read_until!(client, Attach).0.source.is_some());
    (client, index, server)
}

#[rstest]
fn deliveries_follow_the_clients_credit_and_outcomes_reach_the_server() {
    let bench = start_bench(1);
    let (mut client, _, mut server) = established_link(&bench);
    client.grant_credit(0, 0, 3);
    let (flow, _) = read_until!(server, Flow);
    assert_eq!((flow.handle.is_some(), flow.link_credit), (true, Some(3)));
    for id in 0..3 {
        server.send(7, id, &message_with_key(60_000, "k", format!("reading {id}").as_bytes()));
    }
    for id in 0..3u32 {
        let (transfer, payload) = read_until!(client, Transfer);
        assert_eq!(transfer.delivery_tag, Tag::new(&id.to_be_bytes()), "the tag that the server chose");
        assert!(payload.ends_with(format!("reading {id}").as_bytes()));
        let state = if id == 1 { State::Released } else { State::Accepted };
        client.settle(transfer.delivery_id.expect("an id"), state);
        let (disposition, _) = read_until!(server, Disposition);
        let expected = if id == 1 { State::Released } else { State::Accepted };
        assert_eq!(
            (disposition.first, disposition.settled, disposition.state),
            (Some(id), Some(true), Some(expected))
        );
    }
    client.grant_credit(0, 3, 5);
    assert_eq!(read_until!(server, Flow).0.link_credit, Some(5));
    client.send_performative(Detach { handle: Some(0), closed: Some(true), error: None });
    read_until!(client, Detach);
    read_until!(server, Detach);
    let counters = bench.stop();
    let values = ["requests", "sent", "established", "served", "ended", "failed"]
        .map(|name| counter_value(&counters, name));
    assert_eq!(values, [1, 1, 1, 1, 1, 0]);
}

#[rstest]
fn multi_transfer_deliveries_and_aborts_are_passed_through() {
    let bench = start_bench(1);
    let (mut client, _, mut server) = established_link(&bench);
    client.grant_credit(0, 0, 10);
    read_until!(server, Flow);
    let transfer = |id: u32, more: bool, aborted: bool| Transfer {
        handle: Some(7),
        delivery_id: Some(id),
        delivery_tag: Tag::new(&[id as u8]),
        more: Some(more),
        aborted: Some(aborted),
        ..Default::default()
    };
    server.send_frame(0, transfer(0, true, false).into(), &[1; 10_000]);
    assert_eq!(read_until!(client, Transfer).0.more, Some(true));
    server.send_performative(transfer(0, false, true));
    assert_eq!(read_until!(client, Transfer).0.aborted, Some(true));
    server.send_frame(0, transfer(1, true, false).into(), &[2; 10_000]);
    server.send_frame(0, transfer(1, false, false).into(), &[3; 10_000]);
    let mut size = 0;
    loop {
        let (transfer, payload) = read_until!(client, Transfer);
        size += payload.len();
        if transfer.more != Some(true) {
            break;
        }
    }
    assert_eq!(size, 20_000);
}

#[rstest]
fn when_all_servers_refuse_a_link_the_client_gets_a_retry_after() {
    let bench = start_bench(2);
    let mut client = connect_client(&bench);
    attach_receiver(&mut client, 0);
    // Both servers refuse every link; the node tries them until no retry is left.
    for listener in &bench.servers {
        let listener = listener.try_clone().expect("a second handle");
        std::thread::spawn(move || {
            let mut server = AmqpPeer::server(Peer::accept(&listener), 100, 65536);
            while let NextFrame::Body(body, _) = server.read_frame() {
                if let Performative::Attach(attach) = *body {
                    let handle = attach.handle;
                    let name = attach.name;
                    let (role, count) = (Some(false), Some(0));
                    server.send_performative(Attach {
                        name,
                        handle,
                        role,
                        initial_delivery_count: count,
                        ..Default::default()
                    });
                    let error = sparbank_amqp::Error::new(condition::RESOURCE_LIMIT_EXCEEDED, "full");
                    server.send_performative(Detach {
                        handle,
                        closed: Some(true),
                        error: Some(Box::new(error)),
                    });
                }
            }
        });
    }
    assert_eq!(read_until!(client, Attach).0.source, None);
    let error = read_until!(client, Detach).0.error.expect("an error");
    assert_eq!(error.condition, condition::RESOURCE_LIMIT_EXCEEDED);
    assert!(matches!(error.info.expect("info").get("retry-after"), Some(Value::Uint(_))));
    let counters = bench.stop();
    assert_eq!(counter_value(&counters, "rejected"), 1);
    assert!(counter_value(&counters, "attempt_rejected") >= 2, "both servers were attempted");
}

#[rstest]
fn an_unanswered_attach_is_retried_at_another_server() {
    let bench = start_bench(2);
    let mut client = connect_client(&bench);
    attach_receiver(&mut client, 0);
    let (silent_index, peer) = accept_any(&bench.servers);
    let mut silent = AmqpPeer::server(peer, 100, 65536);
    read_until!(silent, Attach);
    let mut other = AmqpPeer::server(Peer::accept(&bench.servers[1 - silent_index]), 100, 65536);
    other.accept_receiving_link(7);
    assert!(read_until!(client, Attach).0.source.is_some());
    // The node detaches the link at the first server, since no request waits there any more.
    read_until!(silent, Detach);
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "attempt_timeout"), counter_value(&counters, "served")], [1, 1]);
}

#[rstest]
fn a_lost_server_detaches_its_clients_within_a_second_and_a_silent_one_within_seven() {
    let mut bench = start_bench(1);
    let (mut client, _, server) = established_link(&bench);
    let killed = Instant::now();
    drop(server);
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::DETACH_FORCED);
    assert!(killed.elapsed() < Duration::from_secs(1));
    client.send_performative(Detach { handle: Some(0), closed: Some(true), error: None });
    // The client attaches again; this server then sends nothing more, not even a heartbeat.
    attach_receiver(&mut client, 0);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1000, 65536);
    server.accept_receiving_link(7);
    read_until!(client, Attach);
    let silent = Instant::now();
    read_until!(client, Detach);
    assert!(silent.elapsed() < Duration::from_secs(7));
    assert_eq!([bench.counter("served"), bench.counter("ended")], [2, 2]);
}

#[rstest]
#[case::without_an_error(None, None)]
#[case::detach_forced(Some(condition::DETACH_FORCED), Some(condition::DETACH_FORCED))]
#[case::internal_error(Some(condition::INTERNAL_ERROR), Some(condition::INTERNAL_ERROR))]
fn a_servers_detach_reaches_the_client_with_the_same_condition(
    #[case] sent: Option<&str>,
    #[case] expected: Option<&str>,
) {
    let mut bench = start_bench(1);
    let (mut client, _, mut server) = established_link(&bench);
    let error = sent.map(|condition| Box::new(sparbank_amqp::Error::new(condition, "why")));
    server.send_performative(Detach { handle: Some(7), closed: Some(true), error });
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.as_ref().map(|e| e.condition.as_str()), expected);
    assert_eq!([bench.counter("served"), bench.counter("ended")], [1, 1]);
}

#[rstest]
fn on_sigterm_established_links_are_detached_between_deliveries() {
    let mut bench = start_bench(1);
    let (mut client, _, mut server) = established_link(&bench);
    client.grant_credit(0, 0, 10);
    read_until!(server, Flow);
    // The client has an incomplete delivery when the node shuts down.
    let half = Transfer {
        handle: Some(7),
        delivery_id: Some(0),
        delivery_tag: Tag::new(b"t"),
        more: Some(true),
        ..Default::default()
    };
    server.send_frame(0, half.into(), b"half");
    read_until!(client, Transfer);
    bench.signal(Signal::TERM);
    assert_eq!(
        read_until!(client, Transfer).0.aborted,
        Some(true),
        "the incomplete delivery is aborted first"
    );
    let error = read_until!(client, Detach).0.error.expect("an error");
    assert_eq!(error.condition, condition::DETACH_FORCED);
    assert_eq!(error.info.expect("info").get("retry-after"), Some(&Value::Uint(0)));
    assert_eq!(read_until!(client, Close).0.error.expect("an error").condition, condition::CONNECTION_FORCED);
    let counters = bench.wait_for_log("counters");
    assert_eq!(counter_value(&counters, "migrated"), 1);
}

#[rstest]
fn on_shutdown_clients_are_redirected_as_configured() {
    let redirect = r#""redirect":{"hostname":"sparbank-2","network_host":"127.0.0.2","port":5673}"#;
    let bench = TestNode::start_with_servers(
        PROGRAM,
        vec![listener()],
        Some(&format!(r#"{{"listen":"127.0.0.1:0",{redirect}}}"#)),
    );
    let mut client = connect_client(&bench);
    bench.signal(Signal::TERM);
    let error = read_until!(client, Close).0.error.expect("an error");
    assert_eq!(error.condition, condition::CONNECTION_REDIRECT);
    let info = error.info.expect("info");
    assert_eq!(info.get("network-host"), Some(&Value::text("127.0.0.2")));
    assert_eq!(info.get("port"), Some(&Value::Ushort(5673)));
}

#[rstest]
fn a_slow_receiver_delays_no_other_client() {
    let bench = start_bench(1);
    let (mut slow, _, mut server) = established_link(&bench);
    let mut quick = connect_client(&bench);
    attach_receiver(&mut quick, 0);
    server.accept_receiving_link(8);
    read_until!(quick, Attach);
    quick.grant_credit(0, 0, 1000);
    read_until!(server, Flow);
    slow.grant_credit(0, 0, 1000);
    // The slow client reads nothing while its server uses up all of the credit.
    let body = message_with_key(60_000, "k", &[7; 16_000]);
    let (mut sent, mut granted) = (0, read_until!(server, Flow).0.link_credit.expect("credit"));
    let mut id = 0;
    while granted > 0 {
        server.send(7, id, &body);
        (id, sent, granted) = (id + 1, sent + 1, granted - 1);
    }
    for _ in 0..20 {
        server.send(8, id, &message_with_key(60_000, "k", b"quick"));
        id += 1;
        let (transfer, _) = read_until!(quick, Transfer);
        quick.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    }
    // When the slow client reads at last, none of its deliveries is lost.
    for _ in 0..sent {
        while read_until!(slow, Transfer).0.more == Some(true) {}
    }
}

/// While much output for a client is pending the node does not read from it. It must not take it for silent meanwhile:
/// its heartbeats arrive, and it gets every delivery once it reads.
#[rstest]
fn a_slow_receiver_that_sends_heartbeats_is_not_disconnected_as_idle() {
    const DELIVERIES: u32 = 1_000;
    let settings = r#"{"listen":"127.0.0.1:0","idle_ms":800}"#;
    let bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let (mut slow, _, mut server) = established_link(&bench);
    slow.grant_credit(0, 0, DELIVERIES);
    let serving = std::thread::spawn(move || {
        let body = message_with_key(60_000, "k", &[7; 16_000]);
        let mut id = 0;
        while id < DELIVERIES {
            let (flow, _) = read_until!(server, Flow);
            let limit = flow.delivery_count.unwrap_or(0) + flow.link_credit.unwrap_or(0);
            while id < limit.min(DELIVERIES) {
                server.send(7, id, &body);
                server.send_heartbeat();
                id += 1;
            }
        }
        server
    });
    for _ in 0..HEARTBEATS {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        slow.send_heartbeat();
    }
    for _ in 0..DELIVERIES {
        while read_until!(slow, Transfer).0.more == Some(true) {}
    }
    drop(serving.join().expect("the server's thread"));
}

#[rstest]
fn a_drain_by_the_client_uses_up_its_credit() {
    let bench = start_bench(1);
    let (mut client, _, mut server) = established_link(&bench);
    client.grant_credit(0, 0, 5);
    read_until!(server, Flow);
    client.send_performative(Flow {
        next_incoming_id: Some(0),
        incoming_window: Some(1000),
        next_outgoing_id: Some(0),
        outgoing_window: Some(100),
        handle: Some(0),
        delivery_count: Some(0),
        link_credit: Some(5),
        drain: Some(true),
        ..Default::default()
    });
    let (flow, _) = read_until!(client, Flow);
    assert_eq!((flow.delivery_count, flow.link_credit), (Some(5), Some(0)));
}

/// The attach of a server's sending link for replies to this address.
fn reply_attach(handle: u32, address: &str) -> Attach {
    let target = sparbank_amqp::Target { address: Some(address.into()), ..Default::default() };
    Attach {
        name: Some(format!("reply-{handle}")),
        handle: Some(handle),
        role: Some(false),
        source: Some(Source::default()),
        target: Some(Terminus::Target(target)),
        initial_delivery_count: Some(0),
        ..Default::default()
    }
}

/// Waits for a reply that ends with these octets, which the client accepts, and for the answer to its own request, in
/// either order.
fn expect_reply_and_answer(client: &mut AmqpPeer, reply: &[u8]) {
    let (mut is_replied, mut is_answered) = (false, false);
    while !(is_replied && is_answered) {
        match client.read_performative() {
            (Performative::Transfer(transfer), payload) => {
                assert!(payload.ends_with(reply));
                client.settle(transfer.delivery_id.expect("an id"), State::Accepted);
                is_replied = true;
            }
            (Performative::Disposition(disposition), _) => {
                assert_eq!(disposition.state, Some(State::Accepted));
                is_answered = true;
            }
            _ => {}
        }
    }
}

#[rstest]
fn replies_reach_a_dynamic_node_from_the_server_of_the_request() {
    let mut bench = start_bench(1);
    let mut client = connect_client(&bench);
    let source = Source { dynamic: Some(true), ..Default::default() };
    let attach = client.attach_receiver(5, source).expect("accepted");
    let address = attach.source.expect("a source").address.expect("an address that the node generated");
    client.grant_credit(5, 0, 10);
    assert!(client.attach_sender(CLASS).expect("the class is known") > 0);
    client.send_on_first_link(0, &message_to(CLASS, Some(&address), 60_000, b"request"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1000, 65536);
    server.accept_sending_link(10, 1000);
    let (request, payload) = read_until!(server, Transfer);
    let head = sparbank_amqp::Head::read(&payload).expect("valid").expect("complete");
    assert_eq!(head.reply_to.as_deref(), Some(address.as_str()));
    // The server replies on a link that it attaches. A guessed reply address is refused.
    server.send_performative(reply_attach(9, "reply/1/guessed"));
    read_until!(server, Attach);
    assert_eq!(read_until!(server, Detach).0.error.expect("an error").condition, condition::NOT_FOUND);
    server.send_performative(reply_attach(10, &address));
    assert!(read_until!(server, Flow).0.link_credit > Some(0));
    server.send(10, 0, &message_with_key(60_000, "k", b"reply"));
    server.settle(request.delivery_id.expect("an id"), State::Accepted);
    expect_reply_and_answer(&mut client, b"reply");
    let (disposition, _) = read_until!(server, Disposition);
    assert_eq!((disposition.first, disposition.state), (Some(0), Some(State::Accepted)));
    assert_eq!([bench.counter("requests"), bench.counter("served")], [1, 1]);
}

/// A client with a reply node and a sending link, whose server's connections the test loses.
struct ReplyBench {
    bench: TestNode,
    client: AmqpPeer,
    /// The address of the reply node.
    address: String,
    requests: u32,
}

impl ReplyBench {
    fn start() -> ReplyBench {
        let bench = start_bench(1);
        let mut client = connect_client(&bench);
        let source = Source { dynamic: Some(true), ..Default::default() };
        let attach = client.attach_receiver(5, source).expect("accepted");
        let address = attach.source.expect("a source").address.expect("an address that the node generated");
        client.grant_credit(5, 0, 100);
        assert!(client.attach_sender(CLASS).expect("the class is known") > 0);
        ReplyBench { bench, client, address, requests: 0 }
    }

    /// Sends a request. Returns its server on a new connection, attached to the reply node, with the request accepted.
    fn attached_server(&mut self) -> AmqpPeer {
        self.client
            .send_on_first_link(self.requests, &message_to(CLASS, Some(&self.address), 60_000, b"request"));
        self.requests += 1;
        let mut server = AmqpPeer::server(Peer::accept(&self.bench.servers[0]), 1000, 65536);
        server.accept_sending_link(10, 1000);
        let (request, _) = read_until!(server, Transfer);
        server.send_performative(reply_attach(10, &self.address));
        assert!(read_until!(server, Flow).0.link_credit > Some(0), "the reply node takes the server's link");
        server.settle(request.delivery_id.expect("an id"), State::Accepted);
        assert_eq!(self.client.receive_delivery_state(), State::Accepted);
        server
    }

    /// Ends a server's connection, and waits until the node has noticed: a request sent on it before would be lost too.
    fn lose(&mut self, server: AmqpPeer) {
        drop(server);
        let deadline = Instant::now() + LOSS_LIMIT;
        while counter_value(&self.bench.frontend_counters("amqp"), "servers") > 0 {
            assert!(Instant::now() < deadline, "the node still has a connection to its server");
        }
    }
}

/// A lost connection of a server frees its place at a reply node: however often a server reconnects, its replies arrive.
#[rstest]
fn a_server_that_reconnects_often_still_reaches_a_reply_node() {
    /// More than the servers that may be attached to one reply node.
    const RECONNECTS: u32 = 17;
    let mut replies = ReplyBench::start();
    for _ in 0..RECONNECTS {
        let server = replies.attached_server();
        replies.lose(server);
    }
    let mut server = replies.attached_server();
    server.send(10, 0, &message_with_key(60_000, "k", b"reply"));
    let (_, payload) = read_until!(replies.client, Transfer);
    assert!(payload.ends_with(b"reply"));
}

/// A reply that its server has only partly sent when its connection is lost is aborted, and the replies of other
/// connections go on.
#[rstest]
fn a_reply_cut_off_by_a_lost_connection_does_not_block_later_replies() {
    let mut replies = ReplyBench::start();
    let mut server = replies.attached_server();
    let first = Transfer {
        handle: Some(10),
        delivery_id: Some(0),
        delivery_tag: Tag::new(b"cut"),
        more: Some(true),
        ..Default::default()
    };
    server.send_frame(sparbank_amqp::AMQP, first.into(), &message_with_key(60_000, "k", b"cut off"));
    assert_eq!(read_until!(replies.client, Transfer).0.more, Some(true));
    replies.lose(server);
    let mut server = replies.attached_server();
    server.send(10, 0, &message_with_key(60_000, "k", b"reply"));
    loop {
        let (transfer, payload) = read_until!(replies.client, Transfer);
        if transfer.aborted != Some(true) {
            assert!(payload.ends_with(b"reply"));
            break;
        }
    }
}

/// The outcome of a reply whose server's link or connection has ended concerns no delivery of its next connection.
#[rstest]
fn the_outcome_of_a_lost_servers_reply_does_not_settle_a_later_one(
    #[values(false, true)] detaches_first: bool,
) {
    let mut replies = ReplyBench::start();
    let mut lost = replies.attached_server();
    lost.send(10, 0, &message_with_key(60_000, "k", b"first"));
    let first = read_until!(replies.client, Transfer).0.delivery_id.expect("an id");
    if detaches_first {
        lost.send_performative(Detach { handle: Some(10), closed: Some(true), ..Default::default() });
        read_until!(lost, Detach);
    }
    replies.lose(lost);
    let mut server = replies.attached_server();
    server.send(10, 0, &message_with_key(60_000, "k", b"second"));
    let second = read_until!(replies.client, Transfer).0.delivery_id.expect("an id");
    replies.client.settle(first, State::Released);
    replies.client.settle(second, State::Accepted);
    assert_eq!(read_until!(server, Disposition).0.state, Some(State::Accepted));
}

//! Clients that send: settlement, credit, limits, and servers that break the protocol.

use rstest::rstest;
use sparbank_amqp::{
    condition, Attach, Detach, Disposition, Flow, Source, State, Tag, Target, Terminus, Transfer,
};
use sparbank_test_support::{
    accept_any, counter_value, listener, message_to, message_with_key, read_until, AmqpPeer, Peer, TestNode,
};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;
const CLASS: &str = "live-readings";

fn start_bench(servers: usize) -> TestNode {
    TestNode::start_with_servers(PROGRAM, (0..servers).map(|_| listener()).collect(), Some(AMQP_SETTINGS))
}

fn connect_client(bench: &TestNode) -> AmqpPeer {
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    assert!(client.attach_sender(CLASS).expect("the class is known") > 0);
    client
}

#[rstest]
fn a_server_without_sasl_is_reconnected_without_sasl() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    client.send_on_first_link(0, &message_with_key(5000, "7f3a", b"reading"));
    let mut server = AmqpPeer::server_without_sasl(&bench.servers[0], 100);
    server.accept_sending_link(10, 100);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    assert_eq!(counter_value(&bench.stop(), "sent"), 1);
}

#[rstest]
fn a_server_that_grants_credit_without_a_target_receives_deliveries() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    client.send_on_first_link(0, &message_with_key(5000, "7f3a", b"reading"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    let (attach, _) = read_until!(server, Attach);
    server.send_performative(Attach {
        name: attach.name,
        handle: Some(7),
        role: Some(true),
        ..Default::default()
    });
    server.grant_server_credit(10, 0, 100);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
}

#[rstest]
fn at_the_anonymous_terminus_each_message_names_its_class() {
    let bench = start_bench(1);
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    let target = Some(Terminus::Target(Target::default()));
    let (name, initial_delivery_count) = (Some("any".to_string()), Some(0));
    let attach = Attach {
        name,
        handle: Some(0),
        role: Some(false),
        target,
        initial_delivery_count,
        ..Default::default()
    };
    client.send_performative(attach);
    read_until!(client, Flow);
    client.send_on_first_link(0, &message_to("nowhere", None, 5000, b"x"));
    let State::Rejected(Some(error)) = client.receive_delivery_state() else {
        panic!("the delivery is not rejected")
    };
    assert_eq!(error.condition, condition::NOT_FOUND);
    client.send_on_first_link(1, &message_to(CLASS, None, 5000, b"x"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
}

#[rstest]
fn a_hundred_clients_share_a_credit_of_one() {
    let bench = TestNode::start_with_args(PROGRAM, vec![listener()], Some(AMQP_SETTINGS), &[], |text| {
        text.replace(r#""sockets":256"#, r#""sockets":600"#)
    });
    let mut clients: Vec<AmqpPeer> = (0..100).map(|_| connect_client(&bench)).collect();
    for client in &mut clients {
        client.send_on_first_link(0, &message_with_key(60_000, "7f3a", b"reading"));
    }
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 1000, 65536);
    server.accept_sending_link(1, 1000);
    for count in 1..=100u32 {
        let id = server.receive_message().delivery_id;
        server.settle(id, State::Accepted);
        server.send_performative(Flow {
            next_incoming_id: Some(count),
            incoming_window: Some(1000),
            next_outgoing_id: Some(0),
            outgoing_window: Some(1),
            handle: Some(7),
            delivery_count: Some(count),
            link_credit: Some(1),
            ..Default::default()
        });
    }
    for client in &mut clients {
        assert_eq!(client.receive_delivery_state(), State::Accepted);
    }
    assert_eq!(counter_value(&bench.stop(), "served"), 100);
}

/// The node opens one connection per class to a server that allows one link on a connection.
#[rstest]
fn a_server_limited_to_one_link_gets_a_connection_for_each_class() {
    let bench = start_bench(1);
    let mut servers = Vec::new();
    for class in [CLASS, "station-notes"] {
        let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
        assert!(client.attach_sender(class).expect("the class is known") > 0);
        client.send_on_first_link(0, &message_with_key(5000, "7f3a", b"reading"));
        let mut server = AmqpPeer::single_link_server(Peer::accept(&bench.servers[0]));
        server.accept_sending_link(10, 100);
        let id = server.receive_message().delivery_id;
        server.settle(id, State::Accepted);
        assert_eq!(client.receive_delivery_state(), State::Accepted);
        servers.push(server);
    }
    assert_eq!(counter_value(&bench.stop(), "served"), 2);
}

#[rstest]
fn a_presettled_delivery_is_forwarded_without_an_answer() {
    let mut bench = start_bench(1);
    let mut client = connect_client(&bench);
    let transfer = Transfer {
        handle: Some(0),
        delivery_id: Some(0),
        delivery_tag: Tag::new(b"t"),
        settled: Some(true),
        ..Default::default()
    };
    client.send_frame(0, transfer.into(), &message_with_key(60_000, "7f3a", b"settled"));
    client.send_on_first_link(1, &message_with_key(60_000, "7f3a", b"not settled"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    for _ in 0..2 {
        let id = server.receive_message().delivery_id;
        server.settle(id, State::Accepted);
    }
    let (disposition, _) = read_until!(client, Disposition);
    assert_eq!((disposition.first, disposition.last), (Some(1), None), "only the second is answered");
    assert_eq!(bench.counter("served"), 2);
}

/// Receiver settle mode second: the node answers without settling, and the client settles after that.
#[rstest]
fn in_settle_mode_second_the_answer_precedes_the_clients_settlement() {
    let bench = start_bench(1);
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    let target = Some(Terminus::Target(Target { address: Some(CLASS.into()), ..Default::default() }));
    client.send_performative(Attach {
        name: Some("second".into()),
        handle: Some(0),
        role: Some(false),
        rcv_settle_mode: Some(1),
        target,
        initial_delivery_count: Some(0),
        ..Default::default()
    });
    assert_eq!(read_until!(client, Attach).0.rcv_settle_mode, Some(1));
    client.send_on_first_link(0, &message_with_key(60_000, "7f3a", b"reading"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    let (disposition, _) = read_until!(client, Disposition);
    assert_eq!((disposition.settled, disposition.state), (None, Some(State::Accepted)));
    let (role, first, settled) = (Some(false), Some(0), Some(true));
    client.send_performative(Disposition { role, first, settled, ..Default::default() });
    client.send_on_first_link(1, &message_with_key(60_000, "7f3a", b"the session goes on"));
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(read_until!(client, Disposition).0.first, Some(1));
}

#[rstest]
fn consecutive_answers_are_sent_as_one_range() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    for id in 0..10 {
        client.send_on_first_link(id, &message_with_key(60_000, "7f3a", b"reading"));
    }
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    let mut last = 0;
    for _ in 0..10 {
        last = server.receive_message().delivery_id;
    }
    let (role, first, last, settled) = (Some(true), Some(0), Some(last), Some(true));
    server.send_performative(Disposition {
        role,
        first,
        last,
        settled,
        state: Some(State::Accepted),
        batchable: None,
    });
    let (disposition, _) = read_until!(client, Disposition);
    assert_eq!(
        (disposition.first, disposition.last, disposition.state),
        (Some(0), Some(9), Some(State::Accepted))
    );
    assert_eq!(counter_value(&bench.stop(), "served"), 10);
}

#[rstest]
#[case::resource_limit(condition::RESOURCE_LIMIT_EXCEEDED)]
#[case::detach_forced(condition::DETACH_FORCED)]
#[case::redirect(condition::LINK_REDIRECT)]
#[case::stolen(condition::STOLEN)]
#[case::not_found(condition::NOT_FOUND)]
#[case::unauthorized(condition::UNAUTHORIZED_ACCESS)]
#[case::internal(condition::INTERNAL_ERROR)]
#[case::not_implemented(condition::NOT_IMPLEMENTED)]
fn a_delivery_whose_link_is_refused_is_retried_whatever_the_condition(#[case] condition: &str) {
    let bench = start_bench(2);
    let mut client = connect_client(&bench);
    client.send_on_first_link(0, &message_with_key(5000, "7f3a", b"reading"));
    let (first, peer) = accept_any(&bench.servers);
    let mut server = AmqpPeer::server(peer, 100, 65536);
    let (attach, _) = read_until!(server, Attach);
    server.send_performative(Attach {
        name: attach.name,
        handle: Some(7),
        role: Some(true),
        ..Default::default()
    });
    let error = Some(Box::new(sparbank_amqp::Error::new(condition, "no")));
    server.send_performative(Detach { handle: Some(7), closed: Some(true), error });
    let mut other = AmqpPeer::server(Peer::accept(&bench.servers[1 - first]), 100, 65536);
    other.accept_sending_link(10, 100);
    let id = other.receive_message().delivery_id;
    other.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    let counters = bench.stop();
    assert_eq!(
        [counter_value(&counters, "sent"), counter_value(&counters, "attempt_connect_failed")],
        [2, 1]
    );
}

#[rstest]
fn a_server_that_breaks_the_protocol_is_disconnected_and_the_delivery_is_retried_elsewhere() {
    let mut bench = start_bench(2);
    let mut client = connect_client(&bench);
    client.send_on_first_link(0, &message_with_key(5000, "7f3a", b"reading"));
    let (first, peer) = accept_any(&bench.servers);
    let mut server = AmqpPeer::server(peer, 100, 65536);
    read_until!(server, Attach);
    // The server sends on a handle that is not attached.
    let (handle, delivery_tag) = (Some(99), Tag::new(b"t"));
    for id in 0..500 {
        let transfer = Transfer { handle, delivery_id: Some(id), delivery_tag, ..Default::default() };
        server.send_frame(0, transfer.into(), &[0; 100]);
    }
    let mut other = AmqpPeer::server(Peer::accept(&bench.servers[1 - first]), 100, 65536);
    other.accept_sending_link(10, 100);
    let id = other.receive_message().delivery_id;
    other.settle(id, State::Accepted);
    assert_eq!(client.receive_delivery_state(), State::Accepted);
    assert_eq!(bench.counter("sent"), 2);
}

#[rstest]
fn flow_with_echo_is_answered_and_credit_is_renewed_before_it_runs_out() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench);
    client.send_performative(Flow {
        next_incoming_id: Some(0),
        incoming_window: Some(100),
        next_outgoing_id: Some(0),
        outgoing_window: Some(100),
        echo: Some(true),
        ..Default::default()
    });
    let (flow, _) = read_until!(client, Flow);
    assert_eq!((flow.handle, flow.next_incoming_id), (None, Some(0)));
    for id in 0..40 {
        client.send_on_first_link(id, &message_with_key(60_000, "7f3a", b"reading"));
    }
    let (flow, _) = read_until!(client, Flow);
    assert!(flow.delivery_count >= Some(32) && flow.link_credit >= Some(32));
}

#[rstest]
fn a_transaction_coordinator_link_is_refused() {
    let bench = start_bench(1);
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    let (name, initial_delivery_count) = (Some("tx".to_string()), Some(0));
    let target = Some(Terminus::Coordinator);
    client.send_performative(Attach {
        name,
        handle: Some(3),
        role: Some(false),
        source: Some(Source::default()),
        target,
        initial_delivery_count,
        ..Default::default()
    });
    assert_eq!(read_until!(client, Attach).0.target, None);
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::NOT_IMPLEMENTED);
    client.send_performative(Detach { handle: Some(3), closed: Some(true), error: None });
    assert!(client.attach_sender(CLASS).expect("the connection goes on") > 0);
}

#[rstest]
fn links_sessions_and_connections_are_bounded_by_their_settings() {
    let settings = r#"{"listen":"127.0.0.1:0","max_links":3,"channel_max":1,"peer_connections":2}"#;
    let bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let addr = bench.amqp_addr.expect("AMQP is on");
    let mut client = AmqpPeer::client(addr, None);
    let target = Some(Terminus::Target(Target { address: Some(CLASS.into()), ..Default::default() }));
    for handle in 0..4 {
        let (name, initial_delivery_count) = (Some(format!("l{handle}")), Some(0));
        let (handle, role, target) = (Some(handle), Some(false), target.clone());
        client.send_performative(Attach {
            name,
            handle,
            role,
            target,
            initial_delivery_count,
            ..Default::default()
        });
    }
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::RESOURCE_LIMIT_EXCEEDED);
    let mut second = AmqpPeer::client(addr, None);
    // A third connection from the same address is closed at once.
    Peer::connect(addr).send("AMQP").expect_closed();
    // A channel above the highest agreed one is a framing error (2.4.1).
    let begin = sparbank_amqp::Begin {
        next_outgoing_id: Some(0),
        incoming_window: Some(1),
        outgoing_window: Some(1),
        ..Default::default()
    };
    second.send_performative_on(2, begin);
    assert_eq!(read_until!(second, Close).0.error.expect("an error").condition, condition::FRAMING_ERROR);
    assert_eq!(counter_value(&bench.stop(), "capacity_rejected"), 1);
}

#[rstest]
fn invalid_input_gets_an_error_or_a_close_within_three_seconds_and_affects_no_other_client() {
    let bench = start_bench(1);
    let addr = bench.amqp_addr.expect("AMQP is on");
    let mut well_behaved = connect_client(&bench);
    let started = Instant::now();
    let inputs: [&[u8]; 8] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"AMQP\x02\x01\x00\x00",
        b"AMQP\x00\x01\x00\x00\xff\xff\xff\xff\x02\x00\x00\x00",
        b"AMQP\x00\x01\x00\x00\x00\x00\x00\x04\x02\x00\x00\x00",
        b"AMQP\x00\x01\x00\x00\x00\x00\x00\x0c\x02\x00\x00\x00\xde\xad\xbe\xef",
        b"AMQP\x03\x01\x00\x00\x00\x00\x00\x0c\x02\x01\x00\x00\xde\xad\xbe\xef",
        b"AMQP\x00\x01\x00\x00\x00\x00\x00\x10\x02\x00\x00\x00\x00\x53\x14\xc0\x03\x01\x43\x00",
        b"OPEN 9b1f 7f3a c=live-readings\r\n",
    ];
    for bytes in inputs {
        let mut peer = Peer::connect(addr);
        // The node may close the connection before everything is written.
        let _ = std::io::Write::write_all(&mut peer.stream, bytes);
        peer.drain_until_closed(Duration::from_secs(3));
    }
    assert!(started.elapsed() < Duration::from_secs(10), "no connection was held until its time-out");
    well_behaved.send_on_first_link(0, &message_with_key(60_000, "7f3a", b"reading"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 65536);
    server.accept_sending_link(10, 100);
    let id = server.receive_message().delivery_id;
    server.settle(id, State::Accepted);
    assert_eq!(well_behaved.receive_delivery_state(), State::Accepted);
}

//! The AMQP frontend over loopback, against stand-in clients and servers.

use rstest::rstest;
use sparbank_amqp::{condition, Detach, Message, Performative, State, Tag, Transfer, Value};
use sparbank_test_support::{
    accept_any, counter_value, endpoint_entry, listener, message_with_key, read_until, AmqpPeer, NextFrame,
    Peer, Signal, TestNode,
};
use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0"}"#;
const CLASS: &str = "live-readings";

fn modified(failed: bool) -> State {
    State::Modified { delivery_failed: failed, undeliverable_here: false, annotations: None }
}

fn start_bench(servers: usize) -> TestNode {
    TestNode::start_with_servers(PROGRAM, (0..servers).map(|_| listener()).collect(), Some(AMQP_SETTINGS))
}

/// Connects a client and attaches a sending link to this class.
fn connect_client(bench: &TestNode, class: &str) -> AmqpPeer {
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    assert!(client.attach_sender(class).expect("the class is known") > 0);
    client
}

/// Reads the final answer to a delivery, which must settle it.
fn receive_answer(client: &mut AmqpPeer) -> State {
    let (disposition, _) = read_until!(client, Disposition);
    assert_eq!((disposition.role, disposition.settled), (Some(true), Some(true)));
    disposition.state.expect("a state")
}

/// Whether an answer is a rejection that states when the client may retry.
fn is_rejection(state: &State) -> bool {
    let State::Modified { delivery_failed: false, annotations: Some(annotations), .. } = state else {
        return false;
    };
    matches!(annotations.get("retry-after"), Some(Value::Uint(_)))
}

/// Whether an answer says that the request may have run.
fn is_delivery_failed(state: &State) -> bool {
    matches!(state, State::Modified { delivery_failed: true, .. })
}

#[rstest]
fn a_delivery_is_forwarded_unchanged_except_for_its_ttl_and_accepted() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench, CLASS);
    let sent = message_with_key(1200, "7f3a", b"wind 12");
    client.send_on_first_link(0, &sent);
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    let (transfer, payload) = read_until!(server, Transfer);
    let (original, forwarded) =
        (Message::decode(&sent).expect("valid"), Message::decode(&payload).expect("valid"));
    assert!(forwarded.head.ttl.expect("a ttl") < 1200);
    assert_eq!(forwarded.encode(1), original.encode(1), "only the ttl differs");
    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    assert_eq!(receive_answer(&mut client), State::Accepted);
    let counters = bench.stop();
    assert_eq!(
        [
            counter_value(&counters, "requests"),
            counter_value(&counters, "sent"),
            counter_value(&counters, "served")
        ],
        [1, 1, 1]
    );
}

#[rstest]
#[case::released(State::Released, "attempt_rejected", false)]
#[case::modified_unfailed(modified(false), "attempt_rejected", false)]
#[case::modified_failed(modified(true), "attempt_error", true)]
#[case::rejected(State::Rejected(None), "attempt_error", true)]
fn the_servers_outcome_decides_whether_the_attempt_may_have_run(
    #[case] outcome: State,
    #[case] counter: &str,
    #[case] may_have_run: bool,
) {
    let bench = start_bench(1);
    // Requests of this class are not idempotent: an attempt that may have run makes the answer failed.
    let mut client = connect_client(&bench, "station-notes");
    client.send_on_first_link(0, &message_with_key(800, "7f3a", b"note"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    let (transfer, _) = read_until!(server, Transfer);
    server.settle(transfer.delivery_id.expect("an id"), outcome);
    let state = receive_answer(&mut client);
    assert_eq!((is_delivery_failed(&state), is_rejection(&state)), (may_have_run, !may_have_run));
    assert_eq!(counter_value(&bench.stop(), counter), 1);
}

#[rstest]
#[case::never_settles(true, "attempt_timeout", true)]
#[case::never_gives_credit(false, "attempt_connect_failed", false)]
fn a_server_that_attaches_and_then_stalls_is_timed_out(
    #[case] credit: bool,
    #[case] counter: &str,
    #[case] may_have_run: bool,
) {
    let bench = start_bench(1);
    let mut client = connect_client(&bench, "station-notes");
    client.send_on_first_link(0, &message_with_key(400, "7f3a", b"note"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(u32::from(credit) * 10, 100);
    let state = receive_answer(&mut client);
    assert_eq!((is_delivery_failed(&state), is_rejection(&state)), (may_have_run, !may_have_run));
    assert!(counter_value(&bench.stop(), counter) >= 1);
}

#[rstest]
#[case::by_detach(true)]
#[case::by_connection_loss(false)]
fn an_attempt_whose_link_is_lost_after_the_last_transfer_may_have_run(#[case] detach: bool) {
    let bench = start_bench(1);
    let mut client = connect_client(&bench, "station-notes");
    client.send_on_first_link(0, &message_with_key(60_000, "7f3a", b"note"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    read_until!(server, Transfer);
    if detach {
        server.send_performative(Detach { handle: Some(7), closed: Some(true), error: None });
    } else {
        drop(server);
    }
    assert!(is_delivery_failed(&receive_answer(&mut client)));
    assert_eq!(counter_value(&bench.stop(), "attempt_reset"), 1);
}

#[rstest]
fn a_drain_notice_mid_transfer_aborts_the_delivery_and_retries_it_elsewhere() {
    let mut bench = start_bench(2);
    let mut watch = bench.accept_watch();
    let mut client = connect_client(&bench, CLASS);
    client.send_on_first_link(0, &message_with_key(60_000, "7f3a", &[7; 3000]));
    let (first, stream) = accept_any(&bench.servers);
    // Frames of 512 octets and a window of one frame: the delivery stops after its first transfer.
    let mut server = AmqpPeer::server(stream, 1, 512);
    server.accept_sending_link(10, 1);
    assert_eq!(read_until!(server, Transfer).0.more, Some(true));
    bench.update_lifecycle(&mut watch, first, "draining");
    let mut other = AmqpPeer::server(Peer::accept(&bench.servers[1 - first]), 100, 65536);
    other.accept_sending_link(10, 100);
    let (transfer, _) = read_until!(other, Transfer);
    other.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    assert_eq!(receive_answer(&mut client), State::Accepted);
    // The abort needs window too: it is sent once the server has opened its window.
    server.grant_server_credit(10, 1, 100);
    assert_eq!(read_until!(server, Transfer).0.aborted, Some(true));
    let counters = bench.stop();
    assert_eq!(
        [counter_value(&counters, "sent"), counter_value(&counters, "attempt_connect_failed")],
        [2, 1]
    );
}

#[rstest]
#[case::no_sections(b"\x01\x02".to_vec())]
#[case::no_body(message_with_key(5, "k", b"")[..12].to_vec())]
#[case::truncated_body({ let m = message_with_key(5, "k", b"body"); m[..m.len() - 2].to_vec() })]
fn a_malformed_delivery_is_rejected_with_the_standard_condition(#[case] bytes: Vec<u8>) {
    let bench = start_bench(1);
    let mut client = connect_client(&bench, CLASS);
    client.send_on_first_link(0, &bytes);
    let State::Rejected(Some(error)) = receive_answer(&mut client) else {
        panic!("the delivery is not rejected")
    };
    assert!([condition::DECODE_ERROR, condition::INVALID_FIELD].contains(&&*error.condition));
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "malformed"), counter_value(&counters, "requests")], [1, 0]);
}

#[rstest]
fn a_link_to_an_unknown_class_is_detached() {
    let bench = start_bench(1);
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    let detach = client.attach_sender("nothing").expect_err("the class is unknown");
    assert_eq!(detach.error.expect("an error").condition, condition::NOT_FOUND);
}

#[rstest]
fn a_frame_above_the_agreed_size_closes_the_connection() {
    let bench = start_bench(1);
    let mut client = connect_client(&bench, CLASS);
    client.send_on_first_link(0, &[0; 70_000]);
    let (close, _) = read_until!(client, Close);
    assert_eq!(close.error.expect("an error").condition, condition::FRAMING_ERROR);
    client.peer.expect_closed();
}

/// An aborted delivery is no request, a detach settles the running delivery at its server and counts its client as
/// disconnected, and an expired delivery is rejected without an attempt.
#[rstest]
fn aborted_detached_and_expired_deliveries_get_no_further_attempt() {
    let mut bench = start_bench(1);
    let mut client = connect_client(&bench, CLASS);
    let (handle, delivery_id) = (Some(0), Some(0));
    let delivery_tag = Tag::new(b"t");
    let transfer = Transfer { handle, delivery_id, delivery_tag, more: Some(true), ..Default::default() };
    client.send_performative(transfer);
    client.send_performative(Transfer { handle, delivery_id, aborted: Some(true), ..Default::default() });
    client.send_on_first_link(1, &message_with_key(60_000, "7f3a", b"gone"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    read_until!(server, Transfer);
    client.send_performative(Detach { handle, closed: Some(true), error: None });
    // The node settles the delivery itself, since no client waits for it any more.
    assert_eq!(read_until!(server, Disposition).0.settled, Some(true));
    read_until!(client, Detach);
    assert_eq!([bench.counter("requests"), bench.counter("client_disconnected")], [1, 1]);
    // A delivery whose ttl has expired is rejected and never reaches a server.
    assert!(client.attach_sender(CLASS).expect("a second link") > 0);
    client.send_on_first_link(2, &message_with_key(0, "7f3a", b"late"));
    assert!(is_rejection(&receive_answer(&mut client)));
    assert_eq!(bench.counter("sent"), 1);
}

/// The node sends heartbeats within the idle time-out that the client announces.
#[rstest]
fn heartbeats_are_sent_within_the_clients_idle_timeout() {
    let bench = start_bench(1);
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), Some(400));
    assert!(matches!(client.read_frame(), NextFrame::Heartbeat), "an empty frame");
}

#[rstest]
fn a_message_above_the_size_limit_detaches_its_link_but_not_the_connection() {
    let bench = TestNode::start_with_servers(
        PROGRAM,
        vec![listener()],
        Some(r#"{"listen":"127.0.0.1:0","max_message":100}"#),
    );
    let mut client = connect_client(&bench, CLASS);
    client.send_on_first_link(0, &message_with_key(1200, "7f3a", &[0; 200]));
    client.send_on_first_link(1, &message_with_key(1200, "7f3a", b"sent before the detach came"));
    let (detach, _) = read_until!(client, Detach);
    assert_eq!(detach.error.expect("an error").condition, condition::MESSAGE_SIZE_EXCEEDED);
    client.send_performative(Detach { handle: Some(0), closed: Some(true), error: None });
    assert!(client.attach_sender(CLASS).expect("the link may be attached again") > 0);
}

#[rstest]
fn slow_start_limits_the_burst_sent_to_a_server_that_is_warming_up() {
    let mut bench = start_bench(2);
    let mut watch = bench.accept_watch();
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    let entry = endpoint_entry(1, bench.servers[1].local_addr().expect("bound"), "ready")
        .replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{}"#, now.as_millis()));
    bench.send_endpoint(&mut watch, &entry);
    // The watch ends after the list, so the log line about its loss shows that the list was applied.
    watch.send("0\r\n\r\n");
    bench.wait_for_log("endpoint watch lost");
    let scripts = [Script::default(), Script::default()];
    for (server, script) in bench.servers.iter().zip(&scripts) {
        script.lock().expect("a new script").extend([Outcome::Serve; 12]);
        let (server, script) = (server.try_clone().expect("a second handle"), script.clone());
        std::thread::spawn(move || amqp_server(Peer::accept(&server), &script));
    }
    let mut client = connect_client(&bench, CLASS);
    for id in 0..12 {
        client.send_on_first_link(id, &message_with_key(60_000, &format!("{id:x}"), b"reading"));
        assert_eq!(receive_answer(&mut client), State::Accepted);
    }
    // The policy sends one request to a server that is warming up in the time in which it would be overloaded,
    // about two seconds.
    let sent = 12 - scripts[1].lock().expect("no test thread failed").len();
    assert!(sent <= 3, "{sent} of 12");
}

#[rstest]
fn on_sigterm_running_requests_are_answered_before_the_connection_closes() {
    let mut bench = start_bench(1);
    let mut client = connect_client(&bench, CLASS);
    client.send_on_first_link(0, &message_with_key(1200, "7f3a", b"running"));
    let mut server = AmqpPeer::server(Peer::accept(&bench.servers[0]), 100, 4096);
    server.accept_sending_link(10, 100);
    let (transfer, _) = read_until!(server, Transfer);
    bench.signal(Signal::TERM);
    bench.wait_for_log("shutting down");
    // The node first withdraws the credit that it granted.
    while read_until!(client, Flow).0.link_credit != Some(0) {}
    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
    assert_eq!(receive_answer(&mut client), State::Accepted);
    let error = read_until!(client, Close).0.error.expect("an error");
    assert_eq!(error.condition, condition::CONNECTION_FORCED);
    assert!(bench.process.wait().success());
}

/// The outcome of one attempt at a stand-in server.
#[derive(Clone, Copy, PartialEq)]
enum Outcome {
    Serve,
    Full,
    Fail,
}

/// Outcomes of the next attempts, in order, at whichever servers they reach.
type Script = Arc<Mutex<VecDeque<Outcome>>>;

fn next_outcome(script: &Script) -> Outcome {
    script.lock().expect("no test thread failed").pop_front().expect("no more attempts than planned")
}

fn text_server(mut attempt: Peer, script: &Script) {
    attempt.read_line();
    attempt.send(match next_outcome(script) {
        Outcome::Serve => "UP r\r\nBYE\r\n",
        Outcome::Full => "BUSY\r\n",
        Outcome::Fail => "ERR\r\n",
    });
}

fn amqp_server(connection: Peer, script: &Script) {
    let mut server = AmqpPeer::server(connection, 100, 4096);
    server.accept_sending_link(100, 100);
    while let NextFrame::Body(body, _) = server.read_frame() {
        if let Performative::Transfer(transfer) = *body {
            let state = match next_outcome(script) {
                Outcome::Serve => State::Accepted,
                Outcome::Full => State::Released,
                Outcome::Fail => State::Rejected(None),
            };
            server.settle(transfer.delivery_id.expect("an id"), state);
        }
    }
}

/// Counters that grow with time, independently of the requests of either frontend.
const DISCOVERY_COUNTERS: [&str; 3] = ["discovery_polls", "discovery_failures", "stale_lists"];

/// Serves all connections to these listeners; their attempts share one script.
fn serve_script(listeners: Vec<TcpListener>, script: &Script, serve_connection: fn(Peer, &Script)) {
    for listener in listeners {
        let script = script.clone();
        std::thread::spawn(move || loop {
            let peer = Peer::accept(&listener);
            let script = script.clone();
            std::thread::spawn(move || serve_connection(peer, &script));
        });
    }
}

#[rstest]
fn both_frontends_count_the_same_outcomes_alike() {
    use Outcome::*;
    let plan: [&[Outcome]; 5] =
        [&[Serve], &[Full, Serve], &[Fail, Serve], &[Full, Full, Full], &[Fail, Full, Serve]];
    let script = Script::default();
    // Each server speaks the text protocol at the address that discovery lists, and AMQP at the address in the
    // frontend's settings.
    let (servers, amqp): (Vec<_>, Vec<_>) = (0..4).map(|_| (listener(), listener())).unzip();
    let address =
        |(index, l): (usize, &TcpListener)| format!(r#""s-{index}":"{}""#, l.local_addr().expect("bound"));
    let addresses: Vec<String> = amqp.iter().enumerate().map(address).collect();
    let settings = format!(r#"{{"listen":"127.0.0.1:0","servers":{{{}}}}}"#, addresses.join(","));
    let copies: Vec<TcpListener> = servers.iter().map(|l| l.try_clone().expect("a second handle")).collect();
    serve_script(copies, &script, text_server);
    serve_script(amqp, &script, amqp_server);
    let mut bench = TestNode::start_with_servers(PROGRAM, servers, Some(&settings));
    let mut client = connect_client(&bench, CLASS);
    let mut counted = Vec::new();
    for text in [true, false] {
        let before = bench.counters();
        for (id, outcomes) in plan.iter().enumerate() {
            script.lock().expect("no test thread failed").extend(*outcomes);
            let served = outcomes.contains(&Serve);
            if text {
                let mut client = bench.connect_client("OPEN 9b1f 7f3a c=live-readings,t=acme,d=60000,g=5c0f");
                assert_eq!(client.read_line() == "UP r", served);
                while !client.read_line().is_empty() {}
            } else {
                client.send_on_first_link(id as u32, &message_with_key(60_000, "7f3a", b"reading"));
                assert_eq!(receive_answer(&mut client) == State::Accepted, served);
            }
        }
        let after = bench.counters();
        let growth = |(name, count): (&String, &u64)| (name.clone(), count - before[name]);
        let of_requests = |(name, _): &(String, u64)| !DISCOVERY_COUNTERS.contains(&name.as_str());
        counted.push(after.iter().map(growth).filter(of_requests).collect::<Vec<_>>());
    }
    assert_eq!(counted[0], counted[1]);
    assert!(counted[0].contains(&("served".to_string(), 4)), "{:?}", counted[0]);
}

/// A connection without an `open` holds a descriptor, as an idle client of the text frontend does, and is
/// closed as idle in the same way.
#[rstest]
#[case::nothing("")]
#[case::half_a_header("AMQP")]
#[case::header_only("AMQP\u{0}\u{1}\u{0}\u{0}")]
fn a_connection_without_an_open_is_closed(#[case] input: &str) {
    let bench = start_bench(1);
    let mut client = Peer::connect(bench.amqp_addr.expect("AMQP is on"));
    client.send(input);
    if input.len() == 8 {
        client.read_exact(&mut [0; 8]);
    }
    client.expect_closed();
    assert_eq!(counter_value(&bench.stop(), "idle_closed"), 1);
}

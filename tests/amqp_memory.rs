//! Clients that make the node hold memory: they wait themselves, and no other client waits for them.

use rstest::rstest;
use sparbank_amqp::{Attach, Performative, State, Tag, Transfer};
use sparbank_test_support::{
    counter_value, incomplete_head, listener, message_with_key, read_until, AmqpPeer, NextFrame, Peer,
    TestNode,
};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";
/// The limit on buffered octets in these tests.
const MAX_HELD: usize = 200_000;
const AMQP_SETTINGS: &str = r#"{"listen":"127.0.0.1:0","max_held":200000,"server_idle_ms":60000}"#;
/// Links of the client that holds memory. Together its messages exceed the limit.
const LINKS: u32 = 5;
/// Octets of each message that the client begins, in transfers that fit into a frame.
const TRANSFER_OCTETS: usize = 12_000;
const TRANSFERS: usize = 4;
/// By then a client that has stopped within a request has its error.
const ERROR_WITHIN: Duration = Duration::from_secs(3);
/// Less than the time-out after which an incomplete message ends.
const ANSWERS_WITHIN: Duration = Duration::from_millis(1_500);
/// The body of a usual delivery.
const USUAL: &[u8] = b"usual";
const USUAL_DELIVERIES: u32 = 10;
/// More clients that stop within a message than failures for which a server is ejected.
const STOPPED_CLIENTS: usize = 20;

fn start_bench() -> TestNode {
    TestNode::start_with_servers(PROGRAM, vec![listener()], Some(AMQP_SETTINGS))
}

fn connect_client(bench: &TestNode) -> AmqpPeer {
    AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None)
}

/// Starts a server that attaches each link that the node asks for, and accepts the usual deliveries only.
fn start_server(bench: &TestNode) {
    let listener = bench.servers[0].try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let mut server = AmqpPeer::server(Peer::accept(&listener), 100_000, 65_536);
        loop {
            match server.read_frame() {
                NextFrame::Body(body, payload) => match *body {
                    Performative::Attach(attach) => {
                        let handle = attach.handle;
                        server.send_performative(Attach { role: Some(true), source: None, ..*attach });
                        server.grant_credit_wide(handle.expect("a handle"), 10_000);
                    }
                    Performative::Transfer(transfer) if payload.ends_with(USUAL) => {
                        server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
                    }
                    _ => {}
                },
                NextFrame::Heartbeat => {}
                NextFrame::Ended | NextFrame::Reset => return,
            }
        }
    });
}

/// Connects a client with several sending links, with these handles.
fn connect_with_links(bench: &TestNode, links: u32) -> AmqpPeer {
    let mut client = connect_client(bench);
    for handle in 0..links {
        client.send_sender_attach(handle, CLASS);
        read_until!(client, Flow);
    }
    client
}

/// A message whose head is complete, with a time limit of a minute.
fn incomplete_body() -> Vec<u8> {
    let mut message = message_with_key(60_000, "7f3a", &vec![7; TRANSFERS * TRANSFER_OCTETS]);
    message.truncate(TRANSFERS * TRANSFER_OCTETS);
    message
}

/// Sends the start of a delivery on the link with this handle.
fn send_incomplete(client: &mut AmqpPeer, handle: u32, message: &[u8]) {
    for (index, piece) in message.chunks(TRANSFER_OCTETS).enumerate() {
        let is_first = index == 0;
        let transfer = Transfer {
            handle: Some(handle),
            delivery_id: is_first.then_some(handle),
            delivery_tag: if is_first { Tag::new(&handle.to_be_bytes()) } else { None },
            more: Some(true),
            ..Default::default()
        };
        client.send_frame(0, transfer.into(), piece);
    }
}

/// Begins a delivery on each of a client's links and completes none.
fn begin_deliveries(client: &mut AmqpPeer, message: &[u8]) {
    for handle in 0..LINKS {
        send_incomplete(client, handle, message);
    }
}

/// Waits until the buffer is full; the node names the client that holds the most of it.
fn wait_until_full(bench: &mut TestNode) {
    let line = bench.wait_for_log("AMQP message buffer full");
    assert!(line.contains("client_bytes="), "{line}");
}

/// Connects a client that sends deliveries one after the other, each of which a server accepts.
fn send_usual_deliveries(bench: &TestNode) {
    let mut client = connect_client(bench);
    let (mut limit, mut id) = (client.attach_sender(CLASS).expect("the class is known"), 0);
    let mut is_answered = true;
    while id < USUAL_DELIVERIES || !is_answered {
        if is_answered && id < limit {
            client.send_on_first_link(id, &message_with_key(60_000, "7f3b", USUAL));
            is_answered = false;
            id += 1;
        }
        match client.read_performative().0 {
            Performative::Flow(flow) if flow.handle.is_some() => {
                limit = flow.delivery_count.expect("a count") + flow.link_credit.expect("credit");
            }
            Performative::Disposition(disposition) => {
                assert_eq!(disposition.state, Some(State::Accepted));
                is_answered = true;
            }
            _ => {}
        }
    }
}

fn buffered_bytes(bench: &mut TestNode) -> u64 {
    counter_value(&bench.frontend_counters("amqp"), "buffered_bytes")
}

/// Regression (review case 1): messages that one client began and did not complete filled the buffer, and the node read
/// no other client from then on.
#[rstest]
#[case::within_the_head(incomplete_head(TRANSFERS * TRANSFER_OCTETS))]
#[case::within_the_body(incomplete_body())]
fn messages_that_one_client_does_not_complete_stop_no_other_client(#[case] message: Vec<u8>) {
    let mut bench = start_bench();
    let mut bad = connect_with_links(&bench, LINKS);
    begin_deliveries(&mut bad, &message);
    wait_until_full(&mut bench);
    start_server(&bench);
    let began = Instant::now();
    send_usual_deliveries(&bench);
    assert!(began.elapsed() < ANSWERS_WITHIN, "the answers took {:?}", began.elapsed());
    let mut ended = 0;
    while ended < LINKS {
        let (disposition, _) = read_until!(bad, Disposition);
        assert!(!matches!(disposition.state, Some(State::Accepted)));
        let first = disposition.first.expect("an id");
        ended += disposition.last.unwrap_or(first) - first + 1;
    }
    let line = bench.frontend_counters("amqp");
    let counters =
        ["buffered_bytes", "largest_client_bytes", "paused"].map(|name| counter_value(&line, name));
    assert_eq!((counters, counter_value(&line, "incomplete_expired")), ([0; 3], u64::from(LINKS)));
}

/// Regression (review case 1): bodies above `keep` that wait for a link held the buffer until their requests ended, since
/// the node did not read their client and took them for waiting on itself.
#[rstest]
fn large_bodies_that_make_no_progress_end_while_their_client_is_not_read() {
    const MANY_LINKS: u32 = 16;
    let settings = r#"{"listen":"127.0.0.1:0","max_held":200000,"keep":10000,"server_idle_ms":60000}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let mut bad = connect_with_links(&bench, MANY_LINKS);
    start_server(&bench);
    let message = incomplete_body();
    let mut writer = bad.try_clone();
    let writing = std::thread::spawn(move || {
        for handle in 0..MANY_LINKS {
            send_incomplete(&mut writer, handle, &message);
        }
    });
    wait_until_full(&mut bench);
    let mut ended = 0;
    while ended < MANY_LINKS {
        let (disposition, _) = read_until!(bad, Disposition);
        let first = disposition.first.expect("an id");
        ended += disposition.last.unwrap_or(first) - first + 1;
    }
    writing.join().expect("all written");
    assert_eq!(buffered_bytes(&mut bench), 0);
}

/// Regression (review case 1): a message that its client does not complete had no time limit but that of its request.
#[rstest]
#[case::within_the_head(incomplete_head(TRANSFERS * TRANSFER_OCTETS))]
#[case::within_the_body(incomplete_body())]
fn a_client_that_stops_within_a_message_gets_an_error_in_time(#[case] message: Vec<u8>) {
    let bench = start_bench();
    let mut client = connect_with_links(&bench, 1);
    let began = Instant::now();
    send_incomplete(&mut client, 0, &message);
    assert!(matches!(client.receive_delivery_state(), State::Rejected(_)));
    assert!(began.elapsed() < ERROR_WITHIN, "the error took {:?}", began.elapsed());
}

/// Regression (review case 1): messages that a client does not complete occupied all links to a server, and the complete
/// ones of others waited.
#[rstest]
fn messages_that_a_client_does_not_complete_leave_a_link_to_the_server_for_others() {
    let bench = start_bench();
    start_server(&bench);
    let mut bad = connect_with_links(&bench, LINKS);
    for handle in 0..LINKS {
        send_incomplete(&mut bad, handle, &incomplete_body()[..TRANSFER_OCTETS]);
    }
    let began = Instant::now();
    send_usual_deliveries(&bench);
    assert!(began.elapsed() < ANSWERS_WITHIN, "the answers took {:?}", began.elapsed());
}

/// Regression (review case 1): while one client's complete messages fill the buffer, others get no credit.
#[rstest]
fn a_client_that_holds_little_keeps_its_credit_while_another_fills_the_buffer() {
    let mut bench = start_bench();
    let mut large = connect_client(&bench);
    large.attach_sender(CLASS).expect("the class is known");
    let message = message_with_key(60_000, "7f3a", &vec![7; TRANSFERS * TRANSFER_OCTETS]);
    for id in 0..LINKS {
        large.deliver_in_transfers(id, &message, TRANSFER_OCTETS);
    }
    wait_until_full(&mut bench);
    start_server(&bench);
    send_usual_deliveries(&bench);
    assert!(buffered_bytes(&mut bench) >= MAX_HELD as u64, "they are served while the buffer is full");
}

/// Regression (review case 1): a client that fills the buffer and then sends nothing at all was never closed as idle.
#[rstest]
fn a_silent_client_that_fills_the_buffer_is_closed_as_idle() {
    let settings = r#"{"listen":"127.0.0.1:0","max_held":200000,"idle_ms":600,"server_idle_ms":60000}"#;
    let mut bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(settings));
    let mut large = connect_client(&bench);
    large.attach_sender(CLASS).expect("the class is known");
    let message = message_with_key(60_000, "7f3a", &vec![7; TRANSFERS * TRANSFER_OCTETS]);
    for id in 0..4 {
        large.deliver_in_transfers(id, &message, TRANSFER_OCTETS);
    }
    // The last message ends where the limit is reached: none of the client's input waits.
    let rest = MAX_HELD - 4 * message.len();
    large.send_on_first_link(4, &message_with_key(60_000, "7f3a", &vec![7; rest]));
    wait_until_full(&mut bench);
    let (close, _) = read_until!(large, Close);
    assert!(close.error.expect("an error").description.is_some_and(|text| text.contains("idle")));
}

/// Regression (review case 1): a client that stopped within a frame was closed as idle only, after `idle_ms`.
#[rstest]
fn a_client_that_stops_within_a_frame_is_closed_in_time() {
    let bench = start_bench();
    let mut client = connect_client(&bench);
    client.attach_sender(CLASS).expect("the class is known");
    let mut frame = Vec::new();
    let transfer = Transfer {
        handle: Some(0),
        delivery_id: Some(0),
        delivery_tag: Tag::new(b"t"),
        ..Default::default()
    };
    let message = message_with_key(60_000, "7f3a", &[7; 1000]);
    sparbank_amqp::write_frame(&mut frame, sparbank_amqp::AMQP, 0, Some(&transfer.into()), &message);
    let stopped = Instant::now();
    std::io::Write::write_all(&mut client.peer.stream, &frame[..500]).expect("the node reads");
    read_until!(client, Close);
    assert!(matches!(client.read_frame(), NextFrame::Ended | NextFrame::Reset));
    assert!(stopped.elapsed() < ERROR_WITHIN, "the close took {:?}", stopped.elapsed());
}

/// Regression: attempts whose clients stopped within their messages timed out and counted as failures of the servers. These
/// were ejected, and all other clients of the class were rejected.
#[rstest]
fn clients_that_stop_within_a_message_eject_no_server() {
    let mut bench = start_bench();
    start_server(&bench);
    let mut message = message_with_key(1_200, "7f3a", &vec![7; TRANSFER_OCTETS]);
    message.truncate(TRANSFER_OCTETS);
    let mut stopped: Vec<AmqpPeer> = (0..STOPPED_CLIENTS).map(|_| connect_with_links(&bench, 1)).collect();
    stopped.iter_mut().for_each(|client| send_incomplete(client, 0, &message));
    for client in &mut stopped {
        let state = client.receive_delivery_state();
        assert!(matches!(state, State::Modified { delivery_failed: false, .. }), "{state:?}");
    }
    send_usual_deliveries(&bench);
    assert_eq!(bench.counter("attempt_connect_failed"), 0, "no failure of the server is counted");
}

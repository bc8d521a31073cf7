//! Crowds of clients that stop within what they send, and floods of small or unsound input from one client: the memory of
//! the process stays bounded, and other clients are served.

use rstest::rstest;
use sparbank_amqp as amqp;
use sparbank_amqp::{
    Attach, Begin, Detach, End, Flow, Performative, State, Tag, Target, Terminus, Transfer, Value,
};
use sparbank_test_support::{
    accept_any, establish, listener, message_with_key, request_line, AmqpPeer, NextFrame, Peer, TestNode,
};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

const CLASS: &str = "live-readings";
/// Below the limit on descriptors of the test configuration.
const CROWD: usize = 180;
/// What the process may hold for each client that has sent no complete request: its input buffer and its connection.
const MAX_BYTES_PER_CLIENT: u64 = 64 * 1024;
/// What the process may use beside its clients: buffers of messages, the allocator's reserves.
const OTHER_MEMORY: u64 = 16 * 1024 * 1024;
/// The time limit of the usual deliveries: one that the node delays beyond it is not accepted.
const USUAL_TTL_MS: u32 = 1_200;
const FLOOD_DURATION: Duration = Duration::from_secs(2);
const USUAL_DELIVERIES: u32 = 40;
const DELIVERY_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a node with a server that accepts each link and each delivery.
fn start_amqp() -> TestNode {
    let bench = TestNode::start_with_servers(PROGRAM, vec![listener()], Some(r#"{"listen":"127.0.0.1:0"}"#));
    let listener = bench.servers[0].try_clone().expect("a second handle");
    std::thread::spawn(move || loop {
        let peer = Peer::accept(&listener);
        std::thread::spawn(move || serve_amqp(AmqpPeer::server(peer, 1_000_000, 16_384)));
    });
    bench
}

fn serve_amqp(mut server: AmqpPeer) {
    loop {
        match server.read_frame() {
            NextFrame::Body(body, _) => match *body {
                Performative::Attach(attach) => {
                    let handle = attach.handle;
                    server.send_performative(Attach { role: Some(true), source: None, ..*attach });
                    server.grant_credit_wide(handle.expect("a handle"), 1_000_000);
                }
                Performative::Transfer(transfer) if transfer.more != Some(true) => {
                    server.settle(transfer.delivery_id.expect("an id"), State::Accepted);
                }
                _ => {}
            },
            NextFrame::Heartbeat => {}
            NextFrame::Ended | NextFrame::Reset => return,
        }
    }
}

/// Sends usual deliveries, one after the other, and checks that each is accepted, which it is only within its time limit.
fn send_usual_deliveries(bench: &TestNode) {
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    client.attach_sender(CLASS).expect("the class is known");
    for id in 0..USUAL_DELIVERIES {
        client.send_on_first_link(id, &message_with_key(USUAL_TTL_MS, "7f3b", b"usual"));
        assert_eq!(client.receive_delivery_state(), State::Accepted);
        std::thread::sleep(DELIVERY_INTERVAL);
    }
}

/// Establishes a session of the text protocol, which it is only within its time limit, and checks that its lines are passed.
fn use_text_session(bench: &TestNode, number: u64) {
    let mut client = bench.connect_client(&request_line(number));
    let (_, mut server) = accept_any(&bench.servers);
    establish(&mut client, &mut server);
    for _ in 0..USUAL_DELIVERIES {
        client.send("reading\r\n");
        assert_eq!(server.read_line(), "reading");
        server.send("taken\r\n");
        assert_eq!(client.read_line(), "taken");
        std::thread::sleep(DELIVERY_INTERVAL);
    }
}

fn frame(channel: u16, body: Performative, payload: &[u8]) -> Vec<u8> {
    let mut octets = Vec::new();
    amqp::write_frame(&mut octets, amqp::AMQP, channel, Some(&body), payload);
    octets
}

fn sending_attach(handle: u32, name: String) -> Attach {
    let target = Target { address: Some(CLASS.to_string()), ..Default::default() };
    Attach {
        name: Some(name),
        handle: Some(handle),
        role: Some(false),
        target: Some(Terminus::Target(target)),
        initial_delivery_count: Some(0),
        ..Default::default()
    }
}

fn transfer(id: u32, more: bool) -> Transfer {
    Transfer {
        handle: Some(0),
        delivery_id: Some(id),
        delivery_tag: Tag::new(&id.to_be_bytes()),
        more: Some(more),
        ..Default::default()
    }
}

/// Where the clients of a crowd stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopsWithin {
    /// The protocol header.
    Header,
    /// A frame of the largest size.
    Frame,
    /// The sections before the body, which hold very many short fields.
    ShortFields,
    /// The body of a message.
    Body,
}

fn start_input(addr: std::net::SocketAddr, stop: StopsWithin) -> AmqpPeer {
    if stop == StopsWithin::Header {
        let mut client = AmqpPeer::client_without_session(addr, "crowd", None);
        client.peer = Peer::connect(addr);
        client.peer.send("AMQP");
        return client;
    }
    let mut client = AmqpPeer::client(addr, None);
    client.attach_sender(CLASS).expect("the class is known");
    let message = message_with_key(1_200, "7f3a", &[7; 12_000]);
    match stop {
        StopsWithin::Header => {}
        StopsWithin::Frame => {
            let octets = frame(0, transfer(0, true).into(), &message);
            client.peer.stream.write_all(&octets[..octets.len() - 1]).expect("written");
        }
        StopsWithin::ShortFields => {
            // A map of application properties that announces more pairs than follow.
            let mut head = vec![0x00, 0x53, 0x74, 0xd1, 0, 1, 0, 0, 0, 0, 0x75, 0x30];
            (0..3_000u32).for_each(|key| head.extend([0xa1, 2, b'a' + (key % 26) as u8, b'a', 0x40]));
            client.send_frame(amqp::AMQP, transfer(0, true).into(), &head[..12_000]);
        }
        StopsWithin::Body => client.send_frame(amqp::AMQP, transfer(0, true).into(), &message[..12_000]),
    }
    client
}

/// Excludes picture (a) of issue 62 for AMQP clients that stop half way: the memory that they hold is bounded.
#[rstest]
#[case::within_the_header(StopsWithin::Header)]
#[case::within_a_frame(StopsWithin::Frame)]
#[case::within_short_fields(StopsWithin::ShortFields)]
#[case::within_a_body(StopsWithin::Body)]
fn a_crowd_of_amqp_clients_that_stop_holds_little_memory(#[case] stop: StopsWithin) {
    let bench = start_amqp();
    let before = bench.process.peak_memory();
    let addr = bench.amqp_addr.expect("AMQP is on");
    let crowd: Vec<AmqpPeer> = (0..CROWD).map(|_| start_input(addr, stop)).collect();
    send_usual_deliveries(&bench);
    let growth = bench.process.peak_memory() - before;
    assert!(growth < CROWD as u64 * MAX_BYTES_PER_CLIENT + OTHER_MEMORY, "grown by {growth} octets");
    drop(crowd);
}

/// Excludes picture (a) of issue 62 for text clients that stop within their first line.
#[rstest]
fn a_crowd_of_text_clients_that_stop_holds_little_memory() {
    let bench = TestNode::start(PROGRAM, 1);
    let before = bench.process.peak_memory();
    let half_line = format!("{},x={}", request_line(1), "7".repeat(3_800));
    let mut crowd: Vec<Peer> = (0..CROWD).map(|_| Peer::connect(bench.text_addr)).collect();
    crowd.iter_mut().for_each(|client| {
        client.send(&half_line);
    });
    use_text_session(&bench, 2);
    let growth = bench.process.peak_memory() - before;
    assert!(growth < CROWD as u64 * MAX_BYTES_PER_CLIENT + OTHER_MEMORY, "grown by {growth} octets");
}

/// What a client floods the node with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    /// Links that are attached and detached, each under a new name.
    NewLinks,
    /// Sessions that are begun and ended.
    Sessions,
    /// Flows that ask for an answer.
    Echoes,
    /// Empty frames.
    EmptyFrames,
    /// Deliveries beyond the credit, which end their link.
    BeyondCredit,
    /// Dispositions of a range that holds no delivery.
    Dispositions,
    /// Attaches with many short properties, which are refused.
    ShortProperties,
}

impl Flood {
    /// The frames with this number.
    fn octets(self, number: u32) -> Vec<u8> {
        let detach = |handle: u32| Detach { handle: Some(handle), closed: Some(true), ..Default::default() };
        match self {
            Flood::NewLinks => {
                let attach = sending_attach(1, format!("link-{number}"));
                [frame(0, attach.into(), &[]), frame(0, detach(1).into(), &[])].concat()
            }
            Flood::Sessions => session_frames(),
            Flood::Echoes => {
                let flow = Flow {
                    next_incoming_id: Some(0),
                    incoming_window: Some(100),
                    next_outgoing_id: Some(0),
                    outgoing_window: Some(100),
                    echo: Some(true),
                    ..Default::default()
                };
                frame(0, flow.into(), &[])
            }
            Flood::EmptyFrames => {
                let mut octets = Vec::new();
                amqp::write_frame(&mut octets, amqp::AMQP, 0, None, &[]);
                octets
            }
            Flood::BeyondCredit => {
                frame(0, transfer(number, false).into(), &message_with_key(1_200, "7f3a", b"x"))
            }
            Flood::Dispositions => {
                let disposition = amqp::Disposition {
                    role: Some(false),
                    first: Some(0),
                    last: Some(u32::MAX / 2),
                    settled: Some(true),
                    ..Default::default()
                };
                frame(0, disposition.into(), &[])
            }
            Flood::ShortProperties => refused_attach_frames(number),
        }
    }
}

fn session_frames() -> Vec<u8> {
    let begin = Begin {
        next_outgoing_id: Some(0),
        incoming_window: Some(100),
        outgoing_window: Some(100),
        ..Default::default()
    };
    [frame(1, begin.into(), &[]), frame(1, End::default().into(), &[])].concat()
}

fn refused_attach_frames(number: u32) -> Vec<u8> {
    let property = |key: u32| (Value::Symbol(format!("p{key}")), Value::Null);
    let properties = Some(Value::Map((0..1_500).map(property).collect()));
    let attach = Attach { properties, target: None, ..sending_attach(1, format!("link-{number}")) };
    let detach = Detach { handle: Some(1), closed: Some(true), ..Default::default() };
    [frame(0, attach.into(), &[]), frame(0, detach.into(), &[])].concat()
}

/// Writes at full speed until the time is over or the node ends the connection, and reads what the node answers if
/// `reads` is set.
fn flood(mut stream: TcpStream, reads: bool, octets: impl Fn(u32) -> Vec<u8>) -> u32 {
    stream.set_nonblocking(true).expect("non-blocking");
    let (ends_at, mut number, mut pending) = (Instant::now() + FLOOD_DURATION, 0, Vec::new());
    let mut discarded = vec![0; 65_536];
    while Instant::now() < ends_at {
        if pending.len() < 65_536 {
            pending.extend(octets(number));
            number += 1;
            continue;
        }
        match stream.write(&pending) {
            Ok(count) => drop(pending.drain(..count)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return number,
        }
        if reads && stream.read(&mut discarded).is_ok_and(|count| count == 0) {
            return number;
        }
    }
    number
}

/// Excludes picture (b) of issue 62 for one AMQP connection at full speed, which reads the node's answers or not.
#[rstest]
fn a_flood_on_one_amqp_connection_delays_no_other_client(
    #[values(
        Flood::NewLinks,
        Flood::Sessions,
        Flood::Echoes,
        Flood::EmptyFrames,
        Flood::BeyondCredit,
        Flood::Dispositions,
        Flood::ShortProperties
    )]
    kind: Flood,
    #[values(true, false)] reads: bool,
) {
    let mut bench = start_amqp();
    let before = bench.process.peak_memory();
    let mut client = AmqpPeer::client(bench.amqp_addr.expect("AMQP is on"), None);
    client.attach_sender(CLASS).expect("the class is known");
    let stream = client.peer.stream.try_clone().expect("a second handle");
    let flooding = std::thread::spawn(move || flood(stream, reads, |number| kind.octets(number)));
    send_usual_deliveries(&bench);
    assert!(flooding.join().expect("the flood ends") > 0);
    let growth = bench.process.peak_memory() - before;
    assert!(growth < OTHER_MEMORY, "grown by {growth} octets");
    assert_eq!(bench.counter("unfinished_iterations"), 0);
}

/// Excludes picture (b) of issue 62 for a text client that floods its session with lines, and reads the answers or not.
#[rstest]
fn a_flood_of_lines_on_one_text_session_delays_no_other_client(#[values(true, false)] reads: bool) {
    let mut bench = TestNode::start(PROGRAM, 1);
    let before = bench.process.peak_memory();
    let mut client = bench.connect_client(&request_line(1));
    let (_, mut server) = accept_any(&bench.servers);
    establish(&mut client, &mut server);
    let echo = server.stream.try_clone().expect("a second handle");
    std::thread::spawn(move || {
        let mut from = echo.try_clone().expect("a second handle");
        let _ = std::io::copy(&mut from, &mut { echo });
    });
    let stream = client.stream.try_clone().expect("a second handle");
    let flooding = std::thread::spawn(move || flood(stream, reads, |_| b"x\r\n".to_vec()));
    use_text_session(&bench, 2);
    assert!(flooding.join().expect("the flood ends") > 0);
    let growth = bench.process.peak_memory() - before;
    assert!(growth < OTHER_MEMORY, "grown by {growth} octets");
    assert_eq!(bench.counter("unfinished_iterations"), 0);
}

/// Excludes picture (b) of issue 62 for ever new text connections whose first lines are unsound.
#[rstest]
fn a_flood_of_unsound_first_lines_delays_no_other_client() {
    let mut bench = TestNode::start(PROGRAM, 1);
    let before = bench.process.peak_memory();
    let addr = bench.text_addr;
    let flooding = std::thread::spawn(move || {
        let (ends_at, mut count) = (Instant::now() + FLOOD_DURATION, 0);
        while Instant::now() < ends_at {
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            let _ = stream.write_all(format!("OPEN {count} c=\x01,,\r\n").as_bytes());
            let _ = stream.read(&mut [0; 64]);
            count += 1;
        }
        count
    });
    use_text_session(&bench, 2);
    assert!(flooding.join().expect("the flood ends") > 0);
    let growth = bench.process.peak_memory() - before;
    assert!(growth < OTHER_MEMORY, "grown by {growth} octets");
    assert!(bench.counter("malformed") > 0);
}

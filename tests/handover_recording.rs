//! Replays to the process under test the messages that processes of versions 00677b7 and fd894e1 sent to their
//! successors: it continues the connections and the watch. `tests/fixtures/handover-00677b7/README.md` says how they
//! were recorded.
//!
//! The tests replace only what depends on the time and the machine of the recording: times, and addresses of servers.

use base64::prelude::{Engine, BASE64_STANDARD};
use rstest::rstest;
use serde_json::Value;
use sparbank_test_support::{
    accept_any, counter_value, listen_for_handover, listener, HandoverFolder, HandoverNode, HandoverPeer,
    Peer, Signal,
};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// The largest distance between a time in the recording and the time of the capture, in nanoseconds.
const RECORDING_SPAN_NANOS: u64 = 3_600_000_000_000;
/// The number of digits of a Unix time in nanoseconds.
const TIME_DIGITS: usize = 19;

/// A recorded message and the number of descriptors that were sent with it.
struct Recorded {
    text: String,
    descriptors: usize,
}

struct Recording {
    captured_at: u64,
    messages: Vec<Recorded>,
}

impl Recording {
    fn read(version: &str, name: &str) -> Recording {
        let fixtures = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
        let folder = fixtures.join(format!("handover-{version}")).join(name);
        let manifest = std::fs::read_to_string(folder.join("MANIFEST.txt")).expect("a manifest");
        let captured_at = manifest.lines().find_map(|line| line.strip_prefix("captured_at_ns "));
        let messages = manifest.lines().filter_map(|line| line.strip_prefix("message "));
        let messages = messages.map(|line| {
            let (file, descriptors) = line.split_once(" descriptors=").expect("a file and a number");
            let text = std::fs::read_to_string(folder.join(file)).expect("a recorded message");
            Recorded { text, descriptors: descriptors.parse().expect("a number") }
        });
        Recording {
            captured_at: captured_at.and_then(|time| time.parse().ok()).expect("the time of the capture"),
            messages: messages.collect(),
        }
    }

    /// The messages up to the end of the state, and those of the connections after it.
    fn state_and_connections(&self) -> (&[Recorded], &[Recorded]) {
        let complete = self.messages.iter().position(|recorded| recorded.text == "\"Whole\"");
        self.messages.split_at(complete.expect("a complete state") + 1)
    }

    /// The message with its times shifted, as if it had been recorded now.
    fn shifted_to_now(&self, text: &str) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_nanos() as u64;
        let mut shifted = String::new();
        let mut rest = text;
        while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
            let length = rest[start..].find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len() - start);
            let digits = &rest[start..start + length];
            shifted.push_str(&rest[..start]);
            match digits.parse::<u64>() {
                Ok(time)
                    if length == TIME_DIGITS && time.abs_diff(self.captured_at) < RECORDING_SPAN_NANOS =>
                {
                    shifted.push_str(&(time + now - self.captured_at).to_string());
                }
                _ => shifted.push_str(digits),
            }
            rest = &rest[start + length..];
        }
        shifted + rest
    }

    /// The endpoint list in the state, which the `established` recording contains in one piece.
    fn endpoints(&self) -> Vec<Value> {
        let message: Value = serde_json::from_str(&self.messages[0].text).expect("a state");
        let piece = message["State"]["piece"].as_str().expect("a piece");
        let state: Value = serde_json::from_str(piece).expect("the state in one piece");
        state["list"]["instances"].as_array().expect("a list").clone()
    }
}

/// The two ends of a connection: the predecessor's and its peer's.
fn connection() -> (TcpStream, Peer) {
    let listener = listener();
    let address = listener.local_addr().expect("an address");
    let peer = TcpStream::connect(address).expect("a connection");
    let (transferred, _) = listener.accept().expect("a connection");
    // All sockets of a node are non-blocking, a property that is transferred with the descriptor.
    transferred.set_nonblocking(true).expect("non-blocking");
    (transferred, Peer::new(peer))
}

/// Acts as the predecessor of a process that starts: sends it the state. Returns the link, which stays open.
fn replay_state(
    listener: OwnedFd,
    messages: Vec<(String, Option<OwnedFd>)>,
) -> std::thread::JoinHandle<HandoverPeer> {
    std::thread::spawn(move || {
        let successor = HandoverPeer::accept(&listener);
        assert_eq!(successor.receive(), r#"{"Take":{"version":1,"name":"n1"}}"#);
        for (text, descriptor) in messages {
            let descriptors: Vec<BorrowedFd> = descriptor.iter().map(AsFd::as_fd).collect();
            successor.send_with_descriptors(&text, &descriptors);
        }
        assert_eq!(successor.receive(), "\"Ready\"");
        successor
    })
}

/// A process that has received a recorded state.
struct Successor {
    node: HandoverNode,
    /// The link on which the recorded connections are sent.
    link: HandoverPeer,
    /// The discovery service's end of the transferred watch.
    watch: Peer,
    /// The address of the transferred listening socket of the AMQP frontend.
    amqp: SocketAddr,
}

/// Starts a process as the successor of the recorded one.
fn start_successor(recording: &Recording, edit: impl Fn(&str) -> String) -> Successor {
    let folder = HandoverFolder::create();
    let (state, _) = recording.state_and_connections();
    let amqp_listener = listener();
    amqp_listener.set_nonblocking(true).expect("non-blocking");
    let amqp = amqp_listener.local_addr().expect("an address");
    let (transferred_watch, watch) = connection();
    let mut amqp_settings = None;
    let mut amqp_listener = Some(amqp_listener.into());
    let mut transferred_watch = Some(transferred_watch.into());
    let mut messages = Vec::new();
    for recorded in state {
        let text = edit(&recording.shifted_to_now(&recorded.text));
        let descriptor = if text.starts_with("{\"Listener\"") {
            let message: Value = serde_json::from_str(&text).expect("a listener");
            let address = message["Listener"]["at"].as_str().expect("an address");
            amqp_settings = Some(format!(r#"{{"listen":"{address}"}}"#));
            amqp_listener.take()
        } else if text.starts_with("{\"Watch\"") {
            transferred_watch.take()
        } else {
            None
        };
        assert_eq!(usize::from(descriptor.is_some()), recorded.descriptors, "{text}");
        messages.push((text, descriptor));
    }
    let predecessor = replay_state(listen_for_handover(&folder.socket), messages);
    let node = HandoverNode::start_in(PROGRAM, &folder, amqp_settings.as_deref());
    let link = predecessor.join().expect("the state was sent");
    Successor { node, link, watch, amqp }
}

/// A transferred connection: its recorded state, and the peers' ends of its sockets.
struct Transferred {
    state: Value,
    client: Peer,
    server: Option<Peer>,
}

impl Transferred {
    /// Sends a recorded connection to the successor.
    fn send(recording: &Recording, recorded: &Recorded, link: &HandoverPeer) -> Transferred {
        let text = recording.shifted_to_now(&recorded.text);
        let message: Value = serde_json::from_str(&text).expect("a connection");
        let state = message["Terminal"]["luggage"].as_str().expect("a state");
        let state = serde_json::from_str(state).expect("a state in JSON");
        let (client_end, client) = connection();
        let (server_end, server) = connection();
        let ends = [client_end.as_fd(), server_end.as_fd()];
        link.send_with_descriptors(&text, &ends[..recorded.descriptors]);
        Transferred { state, client, server: (recorded.descriptors == 2).then_some(server) }
    }

    fn server(&mut self) -> &mut Peer {
        self.server.as_mut().expect("an established connection")
    }
}

/// Sends all recorded connections in the order of the manifest.
fn transfer_all(recording: &Recording, link: &HandoverPeer) -> [Transferred; 7] {
    let (_, connections) = recording.state_and_connections();
    let transferred = connections.iter().map(|recorded| Transferred::send(recording, recorded, link));
    transferred.collect::<Vec<_>>().try_into().ok().expect("seven connections")
}

#[rstest]
fn recorded_connections_continue_in_their_state(#[values("00677b7", "fd894e1")] version: &str) {
    let recording = Recording::read(version, "established");
    let mut successor = start_successor(&recording, str::to_string);
    let [mut idle, mut half_a_line, mut unanswered, mut moved, mut buffered, ..] =
        transfer_all(&recording, &successor.link);

    idle.client.send("M 7 x\r\n");
    assert_eq!(idle.server().read_line(), "M 7 x");
    idle.server().send("M 7 x\r\n");
    assert_eq!(idle.client.read_line(), "M 7 x");

    // The recorded process had forwarded the client's half line; the server's half line is in the recording.
    half_a_line.client.send(" y\r\n");
    assert_eq!(half_a_line.server().read_line(), " y");
    half_a_line.server().send(" y\r\n");
    assert_eq!(half_a_line.client.read_line(), "N 2 y");

    unanswered.server().send("M 3 y\r\n");
    assert_eq!(unanswered.client.read_line(), "M 3 y");

    // The server had announced the move, so the end of its connection is no failure.
    drop(moved.server.take());
    moved.client.expect_closed();

    let output = buffered.state["Standing"]["terminal"]["output"].as_str().expect("the output");
    let output = BASE64_STANDARD.decode(output).expect("base64");
    assert!(!output.is_empty(), "output was buffered");
    let mut received = vec![0; output.len()];
    buffered.client.read_exact(&mut received);
    assert!(received == output, "the client received other output");

    let counters = successor.node.bench.counters();
    let counts = ["inherited", "migrated", "handovers"].map(|name| counters[name]);
    assert_eq!(counts, [5, 0, 1]);
    drop(successor.link);
    successor.node.bench.wait_for_log("handover from predecessor complete");
}

#[rstest]
fn recorded_connections_without_a_request_are_served(#[values("00677b7", "fd894e1")] version: &str) {
    let recording = Recording::read(version, "established");
    let servers: Vec<TcpListener> = (0..3).map(|_| listener()).collect();
    let endpoints = recording.endpoints();
    let edit = |text: &str| {
        servers.iter().zip(&endpoints).fold(text.to_string(), |text, (server, endpoint)| {
            let recorded = endpoint["hostPort"].as_str().expect("an address");
            text.replace(recorded, &server.local_addr().expect("an address").to_string())
        })
    };
    let successor = start_successor(&recording, edit);
    let [_idle, .., mut half_a_request, mut silent] = transfer_all(&recording, &successor.link);
    half_a_request.client.send("dings,t=acme,d=1200,g=5c20\r\n");
    let (_, mut attempt) = accept_any(&servers);
    let line = attempt.read_line();
    assert!(line.starts_with("OPEN 20 20 c=live-readings,t=acme,d="), "{line}");
    attempt.send("UP r9\r\n");
    assert_eq!(half_a_request.client.read_line(), "UP r9");
    silent.client.send("PING\r\n");
    assert_eq!(silent.client.read_line(), "PONG");
    // The id of a transferred connection is in use.
    let duplicate = "OPEN 10 10 c=live-readings,t=acme,d=1200,g=5c10";
    assert_eq!(successor.node.bench.connect_client(duplicate).read_line(), "ERR");
}

/// The recording ends in the middle of an object, 85 octets before the end of its chunk.
#[rstest]
fn the_recorded_watch_continues_in_the_middle_of_an_object(#[values("00677b7", "fd894e1")] version: &str) {
    let recording = Recording::read(version, "established");
    let address = recording.endpoints()[2]["hostPort"].as_str().expect("an address").to_string();
    let mut successor = start_successor(&recording, str::to_string);
    let object = |generation: u64| {
        format!(
            r#"{{"generation":{generation},"reset":false,"instances":[{{"instanceId":"s-2","hostPort":"{address}","zone":"a","cell":0,"lifecycle":"draining","weight":1.0,"startedAtMs":0}}]}}"#
        ) + "\n"
    };
    let third = object(3);
    successor.watch.send(&third[third.len() - 85..]).send("\r\n");
    let second = object(2);
    successor.watch.send(&format!("{:x}\r\n{second}\r\n", second.len()));
    // The third generation has been applied, so the second one is stale.
    let line = successor.node.bench.wait_for_log("endpoint list is older than the current one");
    assert_eq!(line, " WARN endpoint list is older than the current one version=2 current_version=3");
    let counters = successor.node.bench.counters();
    assert_eq!([counters["discovery_polls"], counters["stale_lists"]], [0, 1]);
}

/// The configuration has the recorded address of the listener. The socket is the test's own, and the node accepts
/// connections at it.
#[rstest]
fn the_recorded_listener_is_inherited(#[values("00677b7", "fd894e1")] version: &str) {
    let successor = start_successor(&Recording::read(version, "established"), str::to_string);
    let mut client = Peer::connect(successor.amqp);
    client.send("AMQP\0\u{1}\0\0");
    let mut header = [0; 8];
    client.read_exact(&mut header);
    assert_eq!(&header[..4], b"AMQP");
}

#[rstest]
fn a_recorded_drain_continues(#[values("00677b7", "fd894e1")] version: &str) {
    let recording = Recording::read(version, "drained");
    let mut successor = start_successor(&recording, str::to_string);
    assert_eq!(Peer::connect(successor.node.bench.text_addr).send("PING\r\n").read_line(), "BUSY");
    successor.node.bench.signal(Signal::TERM);
    let counters = successor.node.bench.wait_for_log("counters");
    assert_eq!(counter_value(&counters, "handovers"), 1);
    successor.watch.drain_until_closed(Duration::from_secs(10));
}

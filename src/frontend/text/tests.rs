//! Tests of the text frontend on real sockets that run the steps of an event loop iteration one by one, with a
//! simulated clock. They cover what happens between two steps, for example while the process is stalled.

use super::TextFrontend;
use crate::config::Config;
use crate::discovery::EndpointRegistry;
use crate::frontend::{Frontend, FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::RequestId;
use crate::net::{SocketOwner, SocketReactor, TimerWheel};
use crate::requests::{Command, RequestTable};
use sparbank_time::{MonotonicTime, WallTime};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The simulated time at which a test begins.
const START: MonotonicTime = MonotonicTime::from_nanos(1_000_000_000_000);
/// The duration of one poll of the sockets.
const WAIT: Duration = Duration::from_millis(20);
/// A test fails if the expected event has not occurred after this many polls.
const MAX_WAITS: usize = 100;
/// Longer than the kernel takes to deliver a segment over loopback.
const KERNEL_DELIVERY_TIME: Duration = Duration::from_millis(60);
/// The window within which servers discard duplicate attempts of a request.
const DEDUP_WINDOW: Duration = Duration::from_millis(800);

/// A server that answers no line for this long is unresponsive.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(5);

/// A text frontend with one client and two servers.
struct FrontendFixture {
    now: MonotonicTime,
    net: SocketReactor,
    requests: RequestTable,
    registry: EndpointRegistry,
    wheel: TimerWheel<TimerEvent>,
    config: Config,
    frontend: TextFrontend,
    listen: SocketAddr,
    servers: Vec<TcpListener>,
}

fn config_text(servers: &[TcpListener]) -> String {
    let instance = |(index, server): (usize, &TcpListener)| {
        let address = server.local_addr().expect("an address");
        format!(
            r#"{{"instanceId":"s-{index}","hostPort":"{address}","zone":"a","cell":0,"lifecycle":"ready","weight":1.0,"startedAtMs":0}}"#
        )
    };
    let instances: Vec<String> = servers.iter().enumerate().map(instance).collect();
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7","limits":{{"sockets":256}},
        "known":{{"generation":1,"reset":true,"instances":[{}]}},
        "settings":{{"Profiles":[{{"Effect":"idempotency_key","DedupScope":"all","WindowNs":{},
            "HardLimitNs":{},"Name":"keyed","ObjectiveNs":{}}}],"Discovery":"ask","Zones":["a"],
        "Limits":{{"MaxAttempts":3,"MayCancel":true,"DialTimeoutNs":{}}},"Rules":{{}}}}}}"#,
        instances.join(","),
        DEDUP_WINDOW.as_nanos(),
        Duration::from_millis(5_000).as_nanos(),
        Duration::from_millis(300).as_nanos(),
        Duration::from_millis(250).as_nanos(),
    )
}

impl FrontendFixture {
    fn new() -> FrontendFixture {
        let servers: Vec<TcpListener> =
            (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let config = Config::parse(&config_text(&servers)).expect("a valid configuration");
        let mut net = SocketReactor::new(config.max_descriptors).expect("epoll");
        let listen = net.listen(config.listen, SocketOwner::Frontend(TEXT_FRONTEND)).expect("a port");
        let mut requests = RequestTable::new(config.seed, config.settings.clone()).expect("valid settings");
        let mut registry = EndpointRegistry::new(
            config.frontend_settings.zone_names.clone(),
            START,
            WallTime::from_unix_nanos(START.as_nanos()),
        );
        requests.push_event(registry.restore(&config.known_endpoints));
        let mut fixture = FrontendFixture {
            now: START,
            net,
            requests,
            registry,
            wheel: TimerWheel::new(START),
            config,
            frontend: TextFrontend::new(),
            listen,
            servers,
        };
        fixture.decide();
        fixture
    }

    /// Calls the frontend with a context at the current simulated time.
    fn with_frontend<R>(&mut self, call: impl FnOnce(&mut TextFrontend, &mut FrontendContext) -> R) -> R {
        let mut ctx = FrontendContext {
            now: self.now,
            net: &mut self.net,
            requests: &mut self.requests,
            registry: &self.registry,
            wheel: &mut self.wheel,
            settings: &self.config.frontend_settings,
            classes: &self.config.settings.classes,
            accepts_clients: true,
            shutting_down: false,
        };
        call(&mut self.frontend, &mut ctx)
    }

    /// Handles socket events, as the first step of an iteration.
    fn poll(&mut self) {
        for event in self.net.poll(self.now, WAIT).expect("a poll") {
            if matches!(event.owner, SocketOwner::Frontend(_)) {
                self.with_frontend(|frontend, ctx| frontend.on_socket_event(ctx, event));
            }
        }
    }

    /// Lets the balancer decide and carries out its commands, as the second step of an iteration. Timers that it sets
    /// elapse at once. Returns the requests with a new attempt.
    fn decide(&mut self) -> Vec<RequestId> {
        let mut started = Vec::new();
        while self.requests.has_pending_events() {
            for command in self.requests.decide(self.now) {
                match command {
                    Command::StartAttempt { request_id, server, timeout, .. } => {
                        started.push(request_id);
                        self.with_frontend(|frontend, ctx| {
                            frontend.start_attempt(ctx, request_id, server, timeout)
                        });
                    }
                    Command::SetTimer { token, .. } => {
                        self.requests.push_event(crate::model::Event::Timer(token));
                    }
                    Command::Reject { request_id, .. } => {
                        self.with_frontend(|frontend, ctx| frontend.reject(ctx, request_id, Duration::ZERO));
                    }
                    Command::Fail { request_id, .. } => {
                        self.with_frontend(|frontend, ctx| frontend.fail(ctx, request_id));
                    }
                    _ => {}
                }
            }
        }
        started
    }

    /// Writes to the newly established connections, as the last step of an iteration.
    fn flush_connected(&mut self) {
        for connected in self.net.take_established() {
            self.with_frontend(|frontend, ctx| frontend.on_connected(ctx, connected.token));
            self.net.flush(connected.token);
        }
    }

    /// Connects a client and starts an attempt of its request. The connection to the server is established, and
    /// nothing has been written to it.
    fn attempt_about_to_be_sent(&mut self) -> (TcpStream, RequestId) {
        let mut client = TcpStream::connect(self.listen).expect("a connection");
        client.write_all(b"OPEN 1 1 c=keyed,t=acme,d=5000,g=5c\r\n").expect("written");
        for _ in 0..MAX_WAITS {
            self.poll();
            if let [request_id] = self.decide()[..] {
                std::thread::sleep(KERNEL_DELIVERY_TIME);
                self.poll();
                return (client, request_id);
            }
        }
        panic!("no attempt")
    }

    /// Accepts the connection that is queued at one of the servers, and returns it with the bytes received so far.
    fn received_by_a_server(&mut self) -> (TcpStream, String) {
        std::thread::sleep(KERNEL_DELIVERY_TIME);
        for server in &self.servers {
            server.set_nonblocking(true).expect("non-blocking");
            if let Ok((mut stream, _)) = server.accept() {
                stream.set_nonblocking(true).expect("non-blocking");
                let mut bytes = [0; 1024];
                let text = match stream.read(&mut bytes) {
                    Ok(count) => String::from_utf8_lossy(&bytes[..count]).into_owned(),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => String::new(),
                    Err(_) => String::new(),
                };
                return (stream, text);
            }
        }
        panic!("no connection")
    }

    /// An attempt whose server has answered, with the answer in the kernel buffer: its client, its id and its server's end.
    fn attempt_with_unread_answer(&mut self) -> (TcpStream, RequestId, TcpStream) {
        let (client, request_id) = self.attempt_about_to_be_sent();
        self.flush_connected();
        let (mut attempt, _) = self.received_by_a_server();
        attempt.write_all(b"UP r1\r\n").expect("written");
        std::thread::sleep(KERNEL_DELIVERY_TIME);
        (client, request_id, attempt)
    }

    /// Times out an attempt in the way the event loop does.
    fn time_out(&mut self, request_id: RequestId) {
        self.with_frontend(|frontend, ctx| frontend.read_answer(ctx, request_id));
        if self.requests.frontend_of_attempt(request_id, 1).is_some() {
            let timeouts = |fixture: &Self| fixture.requests.counters().attempt_timeout;
            let before = timeouts(self);
            self.with_frontend(|frontend, ctx| frontend.on_attempt_timeout(ctx, request_id));
            assert_eq!(timeouts(self), before + 1);
        }
    }
}

/// Guards against sending the request of a client that has disconnected while the node was stalled between reading
/// its sockets and writing.
#[test]
fn a_client_that_disconnects_while_the_node_is_stalled_gets_no_attempt() {
    let mut fixture = FrontendFixture::new();
    let (client, _) = fixture.attempt_about_to_be_sent();
    drop(client);
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.flush_connected();
    assert_eq!(fixture.received_by_a_server().1, "");
}

/// Guards against sending a retry too late: after the node was stalled before writing it, the servers' deduplication
/// window for its idempotency key is nearly over, and the server might run the request twice.
#[test]
fn a_retry_is_not_sent_once_the_node_was_stalled_to_the_end_of_its_window() {
    let mut fixture = FrontendFixture::new();
    let (_client, _) = fixture.attempt_about_to_be_sent();
    fixture.flush_connected();
    let (first, line) = fixture.received_by_a_server();
    assert!(line.starts_with("OPEN 1 1 "), "{line:?}");
    fixture.now += DEDUP_WINDOW / 2;
    drop(first);
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.poll();
    assert_eq!(fixture.decide().len(), 1, "it is retried");
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.poll();
    fixture.now += DEDUP_WINDOW / 2;
    fixture.flush_connected();
    assert_eq!(fixture.received_by_a_server().1, "");
}

/// Guards against discarding an answer that has arrived but has not been read when its attempt times out.
#[test]
fn an_answer_in_the_kernel_buffer_is_read_before_the_attempt_times_out() {
    let mut fixture = FrontendFixture::new();
    let (mut client, request_id, _attempt) = fixture.attempt_with_unread_answer();
    fixture.time_out(request_id);
    client.set_read_timeout(Some(Duration::from_secs(1))).expect("a time-out");
    let mut answer = [0; 7];
    client.read_exact(&mut answer).expect("the answer");
    assert_eq!(&answer, b"UP r1\r\n");
}

/// Guards against taking a server for unresponsive whose answer to a line has arrived but has not been read.
#[test]
fn an_answer_in_the_kernel_buffer_is_read_before_the_client_is_migrated() {
    let mut fixture = FrontendFixture::new();
    let (mut client, request_id, mut attempt) = fixture.attempt_with_unread_answer();
    fixture.with_frontend(|frontend, ctx| frontend.read_answer(ctx, request_id));
    client.write_all(b"M 1\r\n").expect("written");
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.poll();
    attempt.write_all(b"M 1\r\n").expect("written");
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.now += UNRESPONSIVE_TIME;
    fixture.with_frontend(|frontend, ctx| frontend.on_tick(ctx));
    drop(fixture);
    let mut received = String::new();
    client.read_to_string(&mut received).expect("an end of the connection");
    assert_eq!(received, "UP r1\r\nM 1\r\n");
}

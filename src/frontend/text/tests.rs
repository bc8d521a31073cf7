//! The text frontend step by step on real sockets, with a clock that the test sets: what happens between two steps of
//! one iteration of the event loop, as where the process is stalled there.

use super::TextFrontend;
use crate::config::Config;
use crate::discovery::EndpointRegistry;
use crate::frontend::{Frontend, FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::{Outcome, RequestId};
use crate::net::{SocketOwner, SocketReactor, TimerWheel};
use crate::requests::{Command, RequestTable};
use sparbank_time::{MonotonicTime, WallTime};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// When a test begins.
const START: MonotonicTime = MonotonicTime::from_nanos(1_000_000_000_000);
/// One wait for sockets.
const WAIT: Duration = Duration::from_millis(20);
/// A test that has waited this often waits for what will not come.
const MAX_WAITS: usize = 100;
/// Longer than the kernel takes over loopback to deliver a segment.
const KERNEL_DELIVERY_TIME: Duration = Duration::from_millis(60);
/// The window in which servers discard retries, and the class's deadline.
const DEDUP_WINDOW: Duration = Duration::from_millis(800);

/// A text frontend between one client and two servers.
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
        let config = Config::parse(&config_text(&servers)).expect("it is valid");
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

    /// Calls the frontend.
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

    /// Handles what the sockets have, as the first step of an iteration.
    fn poll(&mut self) {
        for event in self.net.poll(self.now, WAIT).expect("a turn") {
            if matches!(event.owner, SocketOwner::Frontend(_)) {
                self.with_frontend(|frontend, ctx| frontend.on_socket_event(ctx, event));
            }
        }
    }

    /// Has the balancer decide, as the second step of an iteration. Timers that it sets elapse at once.
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

    /// Writes to the connections that were established, as the last step of an iteration.
    fn flush_connected(&mut self) {
        for connected in self.net.take_connected() {
            self.with_frontend(|frontend, ctx| frontend.on_connected(ctx, connected.token));
            self.net.flush(connected.token);
        }
    }

    /// A client whose request has an attempt; the connection to the server is established, and nothing is written.
    fn attempt_about_to_be_sent(&mut self) -> (TcpStream, RequestId) {
        let mut client = TcpStream::connect(self.listen).expect("it listens");
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

    /// The connection that a server has waiting, with what was written to it so far.
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

    /// The attempt's time is up, as the node sees it.
    fn time_out(&mut self, request_id: RequestId) {
        self.with_frontend(|frontend, ctx| frontend.read_answer(ctx, request_id));
        if self.requests.frontend_of_attempt(request_id, 1).is_some() {
            let outcome = self.with_frontend(|frontend, ctx| frontend.cancel_attempt(ctx, request_id));
            assert_eq!(outcome, Outcome::Timeout);
            self.requests.on_attempt_ended(self.now, request_id, outcome);
        }
    }
}

/// The node is stalled after it has read its sockets, and the client goes meanwhile: its request is not sent.
#[test]
fn a_client_that_disconnects_while_the_node_is_stalled_gets_no_attempt() {
    let mut fixture = FrontendFixture::new();
    let (client, _) = fixture.attempt_about_to_be_sent();
    drop(client);
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.flush_connected();
    assert_eq!(fixture.received_by_a_server().1, "");
}

/// The node is stalled before it writes a retry: with the window of its key nearly over, it is not sent.
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

/// The server's answer has arrived and is not read when the attempt's time is up: it counts.
#[test]
fn an_answer_that_waits_in_the_kernel_counts_before_the_time_out() {
    let mut fixture = FrontendFixture::new();
    let (mut client, request_id) = fixture.attempt_about_to_be_sent();
    fixture.flush_connected();
    let (mut attempt, _) = fixture.received_by_a_server();
    attempt.write_all(b"UP r1\r\n").expect("written");
    std::thread::sleep(KERNEL_DELIVERY_TIME);
    fixture.time_out(request_id);
    client.set_read_timeout(Some(Duration::from_secs(1))).expect("a time-out");
    let mut answer = [0; 7];
    client.read_exact(&mut answer).expect("the answer");
    assert_eq!(&answer, b"UP r1\r\n");
}

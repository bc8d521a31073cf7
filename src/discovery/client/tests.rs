//! Unit tests of the discovery client on real sockets, with a clock that the test sets.

use super::*;
use sparbank_time::WallTime;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LIST: &[u8] = br#"{"generation":2,"reset":false,"instances":[{"instanceId":"a","hostPort":"127.0.0.1:1","lifecycle":"draining","startedAtMs":0}]}
"#;
/// Longer than the limits on a watch that brings no data.
const SILENCE: Duration = Duration::from_secs(7);
/// A test fails after this many iterations without the expected state.
const MAX_ITERATIONS: u32 = 100;
const ITERATION: Duration = Duration::from_millis(20);

/// A client whose watch request has arrived at the service, and the service's end of the watch.
struct OpenWatch {
    net: SocketReactor,
    registry: EndpointRegistry,
    client: DiscoveryClient,
    service: TcpStream,
}

fn open_watch() -> OpenWatch {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let mut net = SocketReactor::new(64).expect("create the reactor");
    let mut registry = EndpointRegistry::new(Vec::new(), MonotonicTime::ZERO, WallTime::from_unix_nanos(0));
    let mut client = DiscoveryClient::new(listener.local_addr().expect("the local address"));
    assert_eq!(client.subscribe(MonotonicTime::ZERO, &mut net, &registry), None);
    registry.prepare_for_new_source();
    let (mut service, _) = listener.accept().expect("accept the watch");
    for _ in 0..MAX_ITERATIONS {
        net.poll(MonotonicTime::ZERO, ITERATION).expect("poll");
        let connected = net.take_established();
        connected.iter().for_each(|connected| net.flush(connected.token));
        if !connected.is_empty() {
            break;
        }
    }
    let mut request = [0; 4];
    service.read_exact(&mut request).expect("read the watch request");
    assert_eq!(&request, b"GET ");
    OpenWatch { net, registry, client, service }
}

impl OpenWatch {
    /// Writes to the watch, and returns once the bytes have arrived at the node's machine.
    fn write(&mut self, bytes: &[u8]) {
        self.service.write_all(bytes).expect("write to the watch");
        let token = self.client.watch.as_ref().expect("an open watch").token;
        let mut events = Vec::new();
        for _ in 0..MAX_ITERATIONS {
            events.extend(self.net.poll(MonotonicTime::ZERO, ITERATION).expect("poll"));
            if events.iter().any(|event| event.token == token) {
                return;
            }
        }
        panic!("nothing arrived on the watch");
    }

    fn close_if_timed_out(&mut self) -> Vec<Event> {
        let now = MonotonicTime::ZERO + SILENCE;
        self.client.close_timed_out_watch(now, &mut self.net, &mut self.registry)
    }
}

fn chunked(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// The node was notified of a drain once the service had written it. A list that has arrived, but was not read before
/// the watch timed out, must be applied.
#[test]
fn a_list_that_arrives_just_before_the_timeout_of_its_watch_is_applied() {
    let mut watch = open_watch();
    watch.write(&[RESPONSE_HEAD, &chunked(LIST)].concat());
    let events = watch.close_if_timed_out();
    assert!(
        matches!(events[..], [Event::EndpointList(ListKind::Incremental, ref endpoints)] if endpoints.len() == 1),
        "{events:?}"
    );
    assert!(watch.client.has_watch());
}

#[test]
fn a_watch_without_data_is_closed_after_its_timeout() {
    let mut watch = open_watch();
    let events = watch.close_if_timed_out();
    assert!(matches!(events[..], [Event::EndpointList(ListKind::Failed, _)]), "{events:?}");
    assert!(!watch.client.has_watch());
}

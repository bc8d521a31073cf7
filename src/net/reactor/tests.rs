//! Tests of the reactor under temporary failures of system calls, with the errors that Linux documents for
//! them.

use crate::net::system::faults::{all_triggered, inject_fault};
use crate::net::system::SystemCall;
use crate::net::{ExportedConnection, SocketEventKind, SocketOwner, SocketReactor, Token};
use rstest::rstest;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Limit on the reactor's descriptors.
const DESCRIPTOR_LIMIT: usize = 64;
/// The owner of the listeners and their connections.
const OWNER: SocketOwner = SocketOwner::Admin;
/// Maximum wait of one iteration.
const ITERATION: Duration = Duration::from_millis(20);
/// A test fails after this many iterations without the expected event.
const MAX_ITERATIONS: u32 = 100;
const IO_TIMEOUT: Duration = Duration::from_secs(5);

fn reactor_with_listener() -> (SocketReactor, SocketAddr) {
    let mut reactor = SocketReactor::new(DESCRIPTOR_LIMIT).expect("create the reactor");
    reactor.set_eviction_answer(OWNER, b"BUSY\r\n");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = reactor.listen(any, OWNER).expect("listen on a free port");
    (reactor, addr)
}

/// Start time of an iteration.
fn time_of(iteration: u32) -> MonotonicTime {
    MonotonicTime::ZERO + iteration * ITERATION
}

/// Polls the reactor until an event whose kind matches, and returns the event's token.
fn wait_for(reactor: &mut SocketReactor, predicate: impl Fn(SocketEventKind) -> bool) -> Token {
    for iteration in 0..MAX_ITERATIONS {
        let events = reactor.poll(time_of(iteration), ITERATION).expect("poll");
        flush_connected(reactor);
        if let Some(event) = events.iter().find(|event| predicate(event.kind)) {
            return event.token;
        }
    }
    panic!("no such event in {MAX_ITERATIONS} iterations; all planned faults occurred: {}", all_triggered())
}

fn flush_connected(reactor: &mut SocketReactor) {
    for connected in reactor.take_established() {
        reactor.flush(connected.token);
    }
}

fn accepted_client(reactor: &mut SocketReactor, addr: SocketAddr) -> (TcpStream, Token) {
    let client = TcpStream::connect(addr).expect("connect to the listener");
    client.set_read_timeout(Some(IO_TIMEOUT)).expect("set the read time-out");
    let token = wait_for(reactor, |kind| kind == SocketEventKind::Accepted);
    (client, token)
}

#[rstest]
#[case(Errno::NOMEM)]
#[case(Errno::NOSPC)]
fn an_accepted_connection_whose_epoll_add_fails_is_read_later(#[case] error: Errno) {
    let (mut reactor, addr) = reactor_with_listener();
    inject_fault(SystemCall::EpollAdd, error, 3);
    let (mut client, accepted) = accepted_client(&mut reactor, addr);
    client.write_all(b"OPEN\r\n").expect("write to the reactor");
    let readable = wait_for(&mut reactor, |kind| kind == SocketEventKind::Readable);
    assert_eq!(readable, accepted);
    assert_eq!(reactor.input_buffer(readable).map(std::mem::take), Some(b"OPEN\r\n".to_vec()));
    assert!(all_triggered());
}

/// Guards against a stalled connection: after the owner has consumed a full buffer, reading resumes even if
/// the change of the epoll interest fails once.
#[test]
fn a_failed_change_of_interest_is_retried() {
    let (mut reactor, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut reactor, addr);
    reactor.set_read_limit(token, 4);
    client.write_all(b"12345678").expect("write to the reactor");
    wait_for(&mut reactor, |kind| kind == SocketEventKind::Readable);
    inject_fault(SystemCall::EpollModify, Errno::NOMEM, 1);
    assert_eq!(reactor.input_buffer(token).map(std::mem::take), Some(b"1234".to_vec()));
    reactor.update_interest(token);
    wait_for(&mut reactor, |kind| kind == SocketEventKind::Readable);
    assert_eq!(reactor.input_buffer(token).map(std::mem::take), Some(b"5678".to_vec()));
    assert!(all_triggered());
}

/// The last answer before a close is written once the kernel has buffers again.
#[rstest]
fn an_answer_is_written_once_the_kernel_has_buffers(
    #[values(Errno::NOBUFS, Errno::NOMEM, Errno::INTR, Errno::AGAIN)] error: Errno,
) {
    for times in [1, 4] {
        check_answer_despite_failed_writes(error, times);
    }
}

fn check_answer_despite_failed_writes(error: Errno, times: usize) {
    let (mut reactor, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut reactor, addr);
    inject_fault(SystemCall::Write, error, times);
    reactor.send(token, b"BUSY\r\n");
    reactor.close(token);
    let reader = std::thread::spawn(move || {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("read until an orderly close");
        answer
    });
    for iteration in 0..MAX_ITERATIONS {
        reactor.poll(time_of(iteration), ITERATION).expect("poll");
        if reader.is_finished() {
            break;
        }
    }
    assert_eq!(reader.join().expect("the reader thread"), "BUSY\r\n");
    assert!(all_triggered());
}

/// Input that a peer sent before its reset is read, even if that read is interrupted once.
#[test]
fn an_interrupted_read_loses_no_answer_before_a_reset() {
    let (mut reactor, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut reactor, addr);
    // The first read of the iteration returns the reset, the next one the bytes that were sent before it.
    client.write_all(b"BUSY\r\n").expect("write to the reactor");
    rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("set SO_LINGER");
    drop(client);
    inject_fault(SystemCall::Read, Errno::CONNRESET, 1);
    inject_fault(SystemCall::Read, Errno::INTR, 1);
    wait_for(&mut reactor, |kind| matches!(kind, SocketEventKind::Failed { .. }));
    assert_eq!(reactor.input_buffer(token).map(std::mem::take), Some(b"BUSY\r\n".to_vec()));
}

#[rstest]
#[case(Errno::CONNABORTED)]
#[case(Errno::INTR)]
#[case(Errno::PROTO)]
#[case(Errno::PERM)]
#[case(Errno::NFILE)]
#[case(Errno::NOBUFS)]
#[case(Errno::NOMEM)]
fn accepting_resumes_after_a_failed_accept(#[case] error: Errno) {
    let (mut reactor, addr) = reactor_with_listener();
    inject_fault(SystemCall::Accept, error, 20);
    accepted_client(&mut reactor, addr);
    assert!(all_triggered());
}

/// A system-wide shortage must not evict a client of this node, because that would not relieve it.
#[rstest]
#[case(Errno::NFILE)]
#[case(Errno::NOBUFS)]
#[case(Errno::NOMEM)]
fn a_system_wide_shortage_evicts_no_connection(#[case] error: Errno) {
    let (mut reactor, addr) = reactor_with_listener();
    let (mut idle, token) = accepted_client(&mut reactor, addr);
    inject_fault(SystemCall::Accept, error, 2);
    let _second = accepted_client(&mut reactor, addr);
    idle.write_all(b"PING\r\n").expect("write to the reactor");
    assert_eq!(wait_for(&mut reactor, |kind| kind == SocketEventKind::Readable), token);
}

#[test]
fn an_interrupted_connect_completes() {
    let mut reactor = SocketReactor::new(DESCRIPTOR_LIMIT).expect("create the reactor");
    let server = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let addr = server.local_addr().expect("the local address");
    inject_fault(SystemCall::Connect, Errno::INTR, 1);
    let token = reactor.connect(addr, SocketOwner::Discovery).expect("start the connection");
    reactor.send(token, b"GET\r\n");
    let (mut peer, _) = server.accept().expect("accept the connection");
    for nanos in 0..4 {
        reactor.poll(MonotonicTime::from_nanos(nanos), ITERATION).expect("poll");
        flush_connected(&mut reactor);
    }
    let mut received = [0; 5];
    peer.read_exact(&mut received).expect("read the request line");
    assert_eq!(&received, b"GET\r\n");
}

/// Whether the reactor still holds the connection of a closed token.
fn is_open(reactor: &SocketReactor, token: Token) -> bool {
    reactor.peer_addr(token).is_some()
}

/// Guards against closing idle peers late that had to wait in the backlog while no descriptor was available.
#[rstest]
#[case::within_the_limit(400, 2_600)]
#[case::close_to_the_limit(2_000, 3_000)]
fn the_handshake_timeout_counts_from_the_arrival_in_the_backlog(
    #[case] accepted_ms: u64,
    #[case] timeout_ms: u64,
) {
    let (mut reactor, addr) = reactor_with_listener();
    inject_fault(SystemCall::Accept, Errno::NFILE, 1);
    let _idle = TcpStream::connect(addr).expect("connect to the listener");
    let mut kinds_at_ms = |ms| {
        let now = MonotonicTime::ZERO + Duration::from_millis(ms);
        let events = reactor.poll(now, ITERATION).expect("poll");
        events.into_iter().map(|event| event.kind).collect::<Vec<_>>()
    };
    assert_eq!(kinds_at_ms(0), [], "no descriptor");
    assert_eq!(kinds_at_ms(accepted_ms), [SocketEventKind::Accepted]);
    assert_eq!(kinds_at_ms(timeout_ms - 1), []);
    assert_eq!(kinds_at_ms(timeout_ms), [SocketEventKind::HandshakeTimeout]);
    // The backlog was empty meanwhile.
    let _next = TcpStream::connect(addr).expect("connect to the listener");
    assert_eq!(kinds_at_ms(3_100), [SocketEventKind::Accepted]);
    assert_eq!(kinds_at_ms(5_699), []);
    assert_eq!(kinds_at_ms(5_700), [SocketEventKind::HandshakeTimeout]);
}

/// A peer that has not closed its side yet keeps a connection closed after delivery longer than other closed ones.
#[test]
fn a_connection_closed_after_delivery_outlasts_other_closed_ones() {
    let (mut reactor, addr) = reactor_with_listener();
    let (_answered, answered) = accepted_client(&mut reactor, addr);
    let (_reading, reading) = accepted_client(&mut reactor, addr);
    reactor.close(answered);
    reactor.close_after_delivery(reading);
    let mut open_after_ms = |ms| {
        reactor.poll(MonotonicTime::ZERO + Duration::from_millis(ms), Duration::ZERO).expect("poll");
        [answered, reading].map(|token| is_open(&reactor, token))
    };
    assert_eq!(open_after_ms(900), [true, true]);
    assert_eq!(open_after_ms(5_000), [false, true]);
    assert_eq!(open_after_ms(29_000), [false, true]);
    assert_eq!(open_after_ms(35_000), [false, false]);
}

/// A shortage of descriptors evicts idle clients, which lose nothing, before peers that still read their last lines.
#[test]
fn a_connection_closed_after_delivery_is_evicted_last() {
    let (mut reactor, addr) = reactor_with_listener();
    let (_reading, reading) = accepted_client(&mut reactor, addr);
    let (_answered, answered) = accepted_client(&mut reactor, addr);
    let (_idle, idle) = accepted_client(&mut reactor, addr);
    reactor.close_after_delivery(reading);
    reactor.close(answered);
    let candidates = [answered, idle, reading];
    let mut open_after_eviction = || {
        assert!(reactor.candidates.evict(&mut reactor.sockets));
        candidates.map(|token| is_open(&reactor, token))
    };
    assert_eq!(open_after_eviction(), [false, true, true]);
    assert_eq!(open_after_eviction(), [false, false, true]);
    assert_eq!(open_after_eviction(), [false, false, false]);
    assert!(!reactor.candidates.evict(&mut reactor.sockets));
}

/// Reads what a peer has been sent until the connection ends.
fn read_to_close(peer: &mut TcpStream) -> String {
    let mut received = String::new();
    peer.read_to_string(&mut received).expect("read until an orderly close");
    received
}

/// Guards against a close without an answer: the owner has not seen the connection yet when it is evicted for the next
/// one, and a request may be on its way.
#[test]
fn a_connection_accepted_and_evicted_in_one_iteration_is_answered() {
    let (mut reactor, addr) = reactor_with_listener();
    // The listener and one connection leave fewer free descriptors than are kept for attempts.
    reactor.set_descriptor_limit(18);
    let mut evicted = TcpStream::connect(addr).expect("connect to the listener");
    let _next = TcpStream::connect(addr).expect("connect to the listener");
    let events = reactor.poll(MonotonicTime::ZERO, ITERATION).expect("poll");
    let kinds: Vec<SocketEventKind> = events.iter().map(|event| event.kind).collect();
    assert_eq!(
        kinds,
        [SocketEventKind::Accepted, SocketEventKind::Accepted, SocketEventKind::Evicted],
        "all in one iteration"
    );
    assert_eq!(read_to_close(&mut evicted), "BUSY\r\n");
}

/// A connection that a predecessor handed over before its request is answered as one that was accepted here.
#[test]
fn an_imported_connection_that_is_evicted_is_answered() {
    let (mut predecessor, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut predecessor, addr);
    let ExportedConnection { fd, connection } = predecessor.export_connection(token).expect("a connection");
    let (mut reactor, _) = reactor_with_listener();
    reactor.import_connection(fd, connection, OWNER).expect("import the connection");
    assert!(reactor.candidates.evict(&mut reactor.sockets));
    assert_eq!(read_to_close(&mut client), "BUSY\r\n");
}

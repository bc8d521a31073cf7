//! Tests of the reactor under temporary failures of system calls, with the errors that Linux documents for
//! them.

use crate::net::system::faults::{all_happened, fail};
use crate::net::system::SystemCall;
use crate::net::{SocketEventKind, SocketOwner, SocketReactor, Token};
use rstest::rstest;
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Limit on the reactor's descriptors.
const DESCRIPTORS: usize = 64;
/// Maximum wait of one iteration.
const ITERATION: Duration = Duration::from_millis(20);
/// A test fails after this many iterations without the expected event.
const MAX_ITERATIONS: u32 = 100;
const IO_TIMEOUT: Duration = Duration::from_secs(5);

fn reactor_with_listener() -> (SocketReactor, SocketAddr) {
    let mut net = SocketReactor::new(DESCRIPTORS).expect("epoll");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let addr = net.listen(any, SocketOwner::Admin).expect("a port");
    (net, addr)
}

/// Start time of an iteration.
fn time_of(iteration: u32) -> MonotonicTime {
    MonotonicTime::ZERO + iteration * ITERATION
}

/// Polls the reactor until an event of the wanted kind, and returns the event's token.
fn wait_for(net: &mut SocketReactor, wanted: impl Fn(SocketEventKind) -> bool) -> Token {
    for iteration in 0..MAX_ITERATIONS {
        let events = net.poll(time_of(iteration), ITERATION).expect("epoll");
        flush_connected(net);
        if let Some(event) = events.iter().find(|event| wanted(event.kind)) {
            return event.token;
        }
    }
    panic!("no such event; all planned faults happened: {}", all_happened())
}

fn flush_connected(net: &mut SocketReactor) {
    for connected in net.take_connected() {
        net.flush(connected.token);
    }
}

fn accepted_client(net: &mut SocketReactor, addr: SocketAddr) -> (TcpStream, Token) {
    let client = TcpStream::connect(addr).expect("it listens");
    client.set_read_timeout(Some(IO_TIMEOUT)).expect("a time-out");
    let token = wait_for(net, |kind| kind == SocketEventKind::Accepted);
    (client, token)
}

#[rstest]
#[case(Errno::NOMEM)]
#[case(Errno::NOSPC)]
fn an_accepted_connection_that_cannot_be_watched_at_once_is_read_later(#[case] error: Errno) {
    let (mut net, addr) = reactor_with_listener();
    fail(SystemCall::EpollAdd, error, 3);
    let (mut client, accepted) = accepted_client(&mut net, addr);
    client.write_all(b"OPEN\r\n").expect("written");
    let readable = wait_for(&mut net, |kind| kind == SocketEventKind::Readable);
    assert_eq!(readable, accepted);
    assert_eq!(net.input_buffer(readable).map(std::mem::take), Some(b"OPEN\r\n".to_vec()));
    assert!(all_happened());
}

/// Guards against a stalled connection: after the owner has consumed a full buffer, reading resumes even if
/// the change of the epoll interest fails once.
#[test]
fn a_change_of_interest_that_fails_is_repeated() {
    let (mut net, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut net, addr);
    net.set_read_limit(token, 4);
    client.write_all(b"12345678").expect("written");
    wait_for(&mut net, |kind| kind == SocketEventKind::Readable);
    fail(SystemCall::EpollModify, Errno::NOMEM, 1);
    assert_eq!(net.input_buffer(token).map(std::mem::take), Some(b"1234".to_vec()));
    net.update_interest(token);
    wait_for(&mut net, |kind| kind == SocketEventKind::Readable);
    assert_eq!(net.input_buffer(token).map(std::mem::take), Some(b"5678".to_vec()));
    assert!(all_happened());
}

/// The last answer before a close is written once the kernel has buffers again.
#[rstest]
fn an_answer_is_written_once_the_system_has_buffers(
    #[values(Errno::NOBUFS, Errno::NOMEM, Errno::INTR, Errno::AGAIN)] error: Errno,
) {
    for times in [1, 4] {
        write_an_answer_that_fails(error, times);
    }
}

fn write_an_answer_that_fails(error: Errno, times: usize) {
    let (mut net, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut net, addr);
    fail(SystemCall::Write, error, times);
    net.send(token, b"BUSY\r\n");
    net.close(token);
    let reading = std::thread::spawn(move || {
        let mut answer = String::new();
        client.read_to_string(&mut answer).expect("an orderly end");
        answer
    });
    for iteration in 0..MAX_ITERATIONS {
        net.poll(time_of(iteration), ITERATION).expect("epoll");
        if reading.is_finished() {
            break;
        }
    }
    assert_eq!(reading.join().expect("it reads"), "BUSY\r\n");
    assert!(all_happened());
}

/// Input that a peer sent before its reset is read, even if that read is interrupted once.
#[test]
fn an_interrupted_read_loses_no_answer_before_a_reset() {
    let (mut net, addr) = reactor_with_listener();
    let (mut client, token) = accepted_client(&mut net, addr);
    // The first read of the iteration returns the reset, the next one the bytes that were sent before it.
    client.write_all(b"BUSY\r\n").expect("written");
    rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).expect("linger");
    drop(client);
    fail(SystemCall::Read, Errno::CONNRESET, 1);
    fail(SystemCall::Read, Errno::INTR, 1);
    wait_for(&mut net, |kind| matches!(kind, SocketEventKind::Failed { .. }));
    assert_eq!(net.input_buffer(token).map(std::mem::take), Some(b"BUSY\r\n".to_vec()));
}

#[rstest]
#[case(Errno::CONNABORTED)]
#[case(Errno::INTR)]
#[case(Errno::PROTO)]
#[case(Errno::PERM)]
#[case(Errno::NFILE)]
#[case(Errno::NOBUFS)]
#[case(Errno::NOMEM)]
fn accepting_goes_on_after_a_failed_accept(#[case] error: Errno) {
    let (mut net, addr) = reactor_with_listener();
    fail(SystemCall::Accept, error, 20);
    accepted_client(&mut net, addr);
    assert!(all_happened());
}

/// A system-wide shortage must not evict a client of this node, because that would not relieve it.
#[rstest]
#[case(Errno::NFILE)]
#[case(Errno::NOBUFS)]
#[case(Errno::NOMEM)]
fn a_shortage_of_the_system_evicts_nobody(#[case] error: Errno) {
    let (mut net, addr) = reactor_with_listener();
    let (mut idle, token) = accepted_client(&mut net, addr);
    fail(SystemCall::Accept, error, 2);
    let _second = accepted_client(&mut net, addr);
    idle.write_all(b"PING\r\n").expect("written");
    assert_eq!(wait_for(&mut net, |kind| kind == SocketEventKind::Readable), token);
}

#[test]
fn an_interrupted_connect_goes_on() {
    let mut net = SocketReactor::new(DESCRIPTORS).expect("epoll");
    let server = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = server.local_addr().expect("an address");
    fail(SystemCall::Connect, Errno::INTR, 1);
    let token = net.connect(addr, SocketOwner::Discovery).expect("it has begun");
    net.send(token, b"GET\r\n");
    let (mut peer, _) = server.accept().expect("it connects");
    for nanos in 0..4 {
        net.poll(MonotonicTime::from_nanos(nanos), ITERATION).expect("epoll");
        flush_connected(&mut net);
    }
    let mut received = [0; 5];
    peer.read_exact(&mut received).expect("the line");
    assert_eq!(&received, b"GET\r\n");
}

use super::BufferedConnection;
use crate::frontend_id::FrontendId;
use crate::net::{ListeningSocket, SocketOwner, SocketReactor};
use rstest::rstest;
use sparbank_time::MonotonicTime;
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::time::Duration;

/// JSON written by version 00677b7, as a process of that version hands over to this one.
const AWAITING_HANDSHAKE: &str =
    r#"{"input":"T1BFTiA5Yg==","output":"UE9ORw0K","written":6,"word_by":2600000000}"#;
const ESTABLISHED: &str = r#"{"input":"","output":"AP8K","written":42,"word_by":null}"#;

#[rstest]
#[case::awaiting_handshake(
    AWAITING_HANDSHAKE,
    b"OPEN 9b",
    b"PONG\r\n",
    6,
    Some(MonotonicTime::from_nanos(2_600_000_000))
)]
#[case::established(ESTABLISHED, b"", &[0, 255, 10], 42, None)]
fn json_of_00677b7_is_read_and_written_unchanged(
    #[case] json: &str,
    #[case] input: &[u8],
    #[case] output: &[u8],
    #[case] bytes_written: u64,
    #[case] handshake_deadline: Option<MonotonicTime>,
) {
    let expected = BufferedConnection {
        input: input.to_vec(),
        output: output.to_vec(),
        bytes_written,
        handshake_deadline,
    };
    let connection: BufferedConnection = serde_json::from_str(json).expect("readable");
    assert_eq!(connection, expected);
    assert_eq!(serde_json::to_string(&connection).expect("writable"), json);
}

/// A process may hand over a connection or a listening socket in blocking mode. Calls on it must not block
/// here.
#[test]
fn what_was_handed_over_blocking_does_not_block() {
    let (done, is_done) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let client = TcpStream::connect(addr).expect("it listens");
        let (connection, _) = listener.accept().expect("it connects");
        let mut net = SocketReactor::new(64).expect("epoll");
        let connection = OwnedFd::from(connection);
        let imported = net.import_connection(connection, BufferedConnection::default(), SocketOwner::Admin);
        net.read_available(imported.expect("it is watched"));
        net.inherit_listeners(vec![ListeningSocket { addr, fd: OwnedFd::from(listener) }]);
        net.listen(addr, SocketOwner::Frontend(FrontendId { index: 0, name: "text" }))
            .expect("it is inherited");
        assert!(!net.accept_waiting(), "nobody waits");
        drop(client);
        done.send(()).expect("the test waits");
    });
    is_done.recv_timeout(Duration::from_secs(5)).expect("a call blocks");
}

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
    let connection: BufferedConnection = serde_json::from_str(json).expect("deserialize");
    assert_eq!(connection, expected);
    assert_eq!(serde_json::to_string(&connection).expect("serialize"), json);
}

/// A process may hand over a connection or a listening socket in blocking mode. Calls on it must not block
/// here.
#[test]
fn sockets_handed_over_in_blocking_mode_do_not_block() {
    let (done, finished) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let addr = listener.local_addr().expect("the local address");
        let client = TcpStream::connect(addr).expect("connect to the listener");
        let (connection, _) = listener.accept().expect("accept the connection");
        let mut reactor = SocketReactor::new(64).expect("create the reactor");
        let connection = OwnedFd::from(connection);
        let imported =
            reactor.import_connection(connection, BufferedConnection::default(), SocketOwner::Admin);
        reactor.read_available(imported.expect("import the connection"));
        reactor.inherit_listeners(vec![ListeningSocket { addr, fd: OwnedFd::from(listener) }]);
        reactor
            .listen(addr, SocketOwner::Frontend(FrontendId { index: 0, name: "text" }))
            .expect("listen on the inherited socket");
        assert!(!reactor.accept_pending(), "no connection is queued");
        drop(client);
        done.send(()).expect("notify the test");
    });
    finished.recv_timeout(Duration::from_secs(5)).expect("a call blocked for 5 s");
}

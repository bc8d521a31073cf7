//! Unit tests of the open attempts.

use super::*;
use std::net::{TcpListener, TcpStream};

/// The server's and the node's end of a connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let node = TcpStream::connect(listener.local_addr().expect("the local address")).expect("connect");
    let (server, _) = listener.accept().expect("accept");
    (server, node)
}

/// Guards against taking a retry for a concurrent attempt because the end of the previous one was not read yet.
#[test]
fn an_attempt_ends_with_its_node_s_close_although_no_end_was_read() {
    let mut attempts = OpenAttempts::default();
    let (first, first_node) = connection();
    let (second, _second_node) = connection();
    let first = attempts.insert("a", 3, &first).expect("a descriptor");
    let second = attempts.insert("a", 4, &second).expect("a descriptor");
    assert_eq!(attempts.remove_closed("a"), []);
    drop(first_node);
    assert_eq!(attempts.remove_closed("a"), [3]);
    assert!(!attempts.remove("a", first));
    assert!(attempts.remove("a", second));
}

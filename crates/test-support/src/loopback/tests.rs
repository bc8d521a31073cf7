//! Unit tests of the connection helpers.

use super::*;
use std::net::{TcpListener, TcpStream as BlockingStream};

/// A connection of which one end belongs to a runtime that has not polled since the other end was closed.
fn connection() -> (BlockingStream, BlockingStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let peer = BlockingStream::connect(listener.local_addr().expect("the local address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept");
    (stream, peer)
}

/// A stand-in must not count a node as notified by a write to a connection that the node has closed, even if the
/// runtime has not seen the close yet.
#[test]
fn a_closed_connection_is_detected_without_polling_the_runtime() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let (stream, peer) = connection();
        stream.set_nonblocking(true).expect("set non-blocking");
        let stream = TcpStream::from_std(stream).expect("register with the runtime");
        assert!(stream.try_read(&mut [0; 1]).is_err(), "nothing has been sent");
        assert!(!has_peer_closed(&stream));
        drop(peer);
        assert!(has_peer_closed(&stream));
    });
}

#[test]
fn a_reset_connection_counts_as_closed() {
    let (stream, peer) = connection();
    reset_on_drop(&peer);
    drop(peer);
    assert!(has_peer_closed(&stream));
}

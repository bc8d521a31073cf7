//! Only a listening TCP socket is accepted as the passed descriptor.

use super::open_listener;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;
use std::os::unix::net::UnixListener;

#[test]
fn a_listening_socket_is_duplicated_by_its_number() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = listener.local_addr().expect("an address");
    let opened =
        TcpListener::from(open_listener(&listener.as_raw_fd().to_string()).expect("a listening TCP socket"));
    drop(listener);
    assert_eq!(opened.local_addr().expect("an address"), at);
    TcpStream::connect(at).expect("it still listens");
}

#[rstest]
#[case("")]
#[case("-1")]
#[case("three")]
#[case("99999")]
fn text_that_is_not_the_number_of_an_open_descriptor_is_rejected(#[case] text: &str) {
    assert!(open_listener(text).is_err());
}

#[test]
fn a_descriptor_that_is_not_a_listening_tcp_socket_is_rejected() {
    let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at: SocketAddr = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(at).expect("a connection");
    let file = std::fs::File::open("/dev/null").expect("a file");
    let path = std::env::temp_dir().join(format!("sparbank-unix-{}", std::process::id()));
    let unix = UnixListener::bind(&path).expect("a path");
    let _ = std::fs::remove_file(&path);
    for fd in [udp.as_raw_fd(), stream.as_raw_fd(), file.as_raw_fd(), unix.as_raw_fd()] {
        assert!(open_listener(&fd.to_string()).is_err(), "{fd}");
    }
}

//! Stories over loopback for a new version under load: the listening socket is passed, and two processes are
//! one node for a while.

mod peers;

use peers::*;
use rstest::rstest;
use std::net::TcpListener;
use std::os::fd::AsRawFd;

/// The platform's listening socket, which every process inherits.
fn passed() -> (TcpListener, String) {
    let listener = listener();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("it can be inherited");
    let number = listener.as_raw_fd().to_string();
    (listener, number)
}

/// A node whose terminals come to a passed socket.
fn node(regions: usize) -> (Bench, TcpListener) {
    let (listener, number) = passed();
    let regions = (0..regions).map(|_| peers::listener()).collect();
    let bench = Bench::with_env(regions, None, &[], str::to_string, &[("NODE_PASSED_SOCKET", &number)]);
    assert_eq!(bench.addr, listener.local_addr().expect("an address"), "not the configuration's");
    (bench, listener)
}

#[rstest]
fn a_second_process_takes_terminals_from_the_same_socket() {
    let (mut bench, _held) = node(1);
    let (mut first, _task) = standing(&bench, 1);
    let mut old = bench.upgrade();
    bench.logged("started");
    old.signal("-TERM");
    old.logged("leaving");
    assert_eq!(first.line(), "MOVE");
    assert!(old.child.wait().expect("it ends").success());
    let (_second, _task) = standing(&bench, 2);
    assert_eq!(bench.counter("served"), 1);
}

#[rstest]
#[case::closed("987")]
#[case::no_number("x")]
#[case::no_socket("0")]
fn a_passed_descriptor_that_is_none_is_named(#[case] number: &str) {
    let text = config(listener().local_addr().expect("an address"), "", 256);
    let mut command = program(&["serve"], &file("node.json", &text));
    let said = command.env("NODE_PASSED_SOCKET", number).stdin(std::process::Stdio::null()).output();
    let said = said.expect("it ends");
    let line = String::from_utf8_lossy(&said.stderr).into_owned();
    assert_eq!(said.status.code(), Some(2), "{line}");
    assert!(line.starts_with(&format!("sparbank error NODE_PASSED_SOCKET: \"{number}\": ")), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

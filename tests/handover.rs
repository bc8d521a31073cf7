//! Stories over loopback for a new version under load: the listening socket is passed, and two processes are
//! one node for a while.

mod support;

use rstest::rstest;
use rustix::net::{recv, send, AddressFamily, RecvFlags, SendFlags, SocketAddrUnix, SocketFlags, SocketType};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::PathBuf;
use support::*;

/// The platform's listening socket, which every process inherits.
fn passed() -> (TcpListener, String) {
    let listener = listener();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("it can be inherited");
    let number = listener.as_raw_fd().to_string();
    (listener, number)
}

/// A node whose clients come to a passed socket.
struct Node {
    bench: Bench,
    _held: TcpListener,
    meets: PathBuf,
    operator: SocketAddr,
}

/// Where the node's processes meet, in a folder of this test's own.
fn place() -> (PathBuf, PathBuf) {
    let dir = temp_file("folder", "");
    std::fs::remove_file(&dir).expect("it was there");
    std::fs::create_dir(&dir).expect("a folder");
    let meets = dir.join("sparbank-n1.takeover");
    (dir, meets)
}

fn node_in(dir: &std::path::Path, meets: PathBuf, amqp: Option<&str>) -> Node {
    let (held, number) = passed();
    let env = [("NODE_PASSED_SOCKET", number.as_str()), ("TMPDIR", dir.to_str().expect("a path"))];
    let edit = |text: &str| text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#);
    let mut bench = Bench::with_env(vec![listener()], amqp, &[], edit, &env);
    assert_eq!(bench.addr, held.local_addr().expect("an address"), "not the configuration's");
    let operator = operator(&mut bench);
    Node { bench, _held: held, meets, operator }
}

/// Where operators call the process that has just started.
fn operator(bench: &mut Bench) -> SocketAddr {
    let line = bench.wait_for_log("operator");
    line.split("listen=").nth(1).and_then(|at| at.parse().ok()).expect("an address")
}

fn node() -> Node {
    let (dir, meets) = place();
    node_in(&dir, meets, None)
}

impl Node {
    /// Starts a successor and waits until it serves; gives the old process.
    fn upgraded(&mut self) -> NodeProcess {
        let mut old = self.bench.start_successor();
        self.operator = operator(&mut self.bench);
        self.bench.wait_for_log("handover-from-predecessor");
        old.wait_for_log("handover-to-successor");
        old
    }

    /// The same, until the old process is gone.
    fn replaced(&mut self) -> String {
        let mut old = self.upgraded();
        old.signal("-TERM");
        let counters = old.wait_for_log("counters");
        assert!(old.child.wait().expect("it ends").success());
        self.bench.wait_for_log("handover-complete");
        counters
    }
}

fn echo(client: &mut Peer, task: &mut Peer, text: &str) {
    client.send(text).send("\r\n");
    assert_eq!(task.read_line(), text);
    task.send(text).send("\r\n");
    assert_eq!(client.read_line(), text);
}

#[rstest]
fn what_stands_goes_on_and_nobody_hears_of_it() {
    let mut node = node();
    let mut watch = node.bench.accept_watch();
    let (mut client, mut task) = established_client(&node.bench, 1);
    echo(&mut client, &mut task, "M 1 x");
    // Half a line each way, and half of a first line.
    client.send("M 2");
    task.send("N 2");
    let mut slow = Peer::connect(node.bench.addr);
    slow.send("OPEN 2 2 c=live-rea");
    // What reached the node before this is answered has been read.
    assert_eq!(Peer::connect(node.bench.addr).send("PING\r\n").read_line(), "PONG");
    let counters = node.replaced();
    assert_eq!(
        ["handed_over", "migrated", "handovers"].map(|name| counter_value(&counters, name)),
        [1, 0, 1]
    );
    client.send(" y\r\n");
    assert_eq!(task.read_line(), "M 2 y");
    task.send(" y\r\n");
    assert_eq!(client.read_line(), "N 2 y");
    slow.send("dings,t=acme,d=1200,g=5c0f\r\n");
    let mut second = Peer::accept(&node.bench.servers[0]);
    second.read_line();
    second.send("UP r2\r\n");
    assert_eq!(slow.read_line(), "UP r2");
    // The same call to discovery goes on, and what it brings is heard by the new process.
    node.bench.update_lifecycle(&mut watch, 0, "draining");
    watch.send("0\r\n\r\n");
    node.bench.wait_for_log("list-lost");
    let counters = node.bench.counters();
    let counts = ["inherited", "requests", "migrated", "discovery_polls"].map(|name| counters[name]);
    assert_eq!(counts, [1, 1, 0, 0]);
    // Its id is that of an open connection here too.
    assert_eq!(node.bench.connect_client(&open_line(1)).read_line(), "ERR");
    drop(task);
    client.expect_closed();
}

#[rstest]
fn what_waits_for_its_answer_gets_it_and_goes_on() {
    let mut node = node();
    let mut client = node.bench.connect_client(&open_line(1));
    let mut task = Peer::accept(&node.bench.servers[0]);
    task.read_line();
    let mut old = node.upgraded();
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    old.signal("-TERM");
    assert_eq!(counter_value(&old.wait_for_log("counters"), "handed_over"), 1);
    assert!(old.child.wait().expect("it ends").success());
    echo(&mut client, &mut task, "M 1 x");
}

#[rstest]
fn two_upgrades_in_a_row_and_a_drained_node_stays_drained() {
    let mut node = node();
    let (mut client, mut task) = established_client(&node.bench, 1);
    node.replaced();
    node.replaced();
    echo(&mut client, &mut task, "M 1 x");
    let said = Peer::connect(node.operator).send("POST /-/drain HTTP/1.1\r\n\r\n").read_line();
    assert_eq!(said, "HTTP/1.1 200 OK");
    assert_eq!(client.read_line(), "MOVE");
    node.replaced();
    assert_eq!(Peer::connect(node.bench.addr).send("PING\r\n").read_line(), "BUSY");
}

/// It fails at its configuration: the one that runs hears nothing of it.
#[rstest]
fn a_successor_that_does_not_start_changes_nothing() {
    let mut node = node();
    let (mut client, mut task) = established_client(&node.bench, 1);
    node.bench.rewrite_config(|_| "{".to_string());
    let mut failed = node.bench.spawn_duplicate();
    assert_eq!(failed.child.wait().expect("it ends").code(), Some(2));
    echo(&mut client, &mut task, "M 1 x");
    let _second = established_client(&node.bench, 2);
    assert_eq!(node.bench.counter("handovers"), 0);
}

/// One that was told what the old process knows, serves, and dies before anything reached it.
#[rstest]
#[case::before_it_serves(false)]
#[case::after_that(true)]
fn a_successor_that_dies_leaves_the_old_one_serving(#[case] serves: bool) {
    let mut node = node();
    let watch = node.bench.accept_watch();
    let (mut client, mut task) = established_client(&node.bench, 1);
    let successor = connect(&node.meets);
    say(&successor, r#"{"Take":{"version":1,"name":"n1"}}"#);
    while hear(&successor) != "\"Whole\"" {}
    if serves {
        // It ends without having taken what is on its way: this client is lost with it.
        say(&successor, "\"Ready\"");
        node.bench.wait_for_log("handover-to-successor");
        assert!(hear(&successor).starts_with("{\"Terminal\""));
    }
    drop((successor, watch));
    node.bench.wait_for_log("handover-end successor");
    // Discovery is asked anew: the watch was given away.
    let _watch = node.bench.accept_watch();
    if serves {
        client.expect_closed();
    } else {
        echo(&mut client, &mut task, "M 1 x");
    }
    let _second = established_client(&node.bench, 2);
    assert_eq!(node.bench.counter("served"), 2);
}

#[rstest]
#[case::another_version(r#"{"Take":{"version":999,"name":"n1"}}"#)]
#[case::no_message("what")]
#[case::out_of_turn(r#"{"State":{"piece":""}}"#)]
fn who_is_no_successor_is_told_nothing(#[case] said: &str) {
    let mut node = node();
    let (mut client, mut task) = established_client(&node.bench, 1);
    let other = connect(&node.meets);
    say(&other, said);
    assert_eq!(hear(&other), "", "it ends");
    echo(&mut client, &mut task, "M 1 x");
    // The next one is a successor.
    node.replaced();
    echo(&mut client, &mut task, "M 2 x");
}

/// What a process that was killed left there, and what is nobody's.
#[rstest]
#[case::a_file(false)]
#[case::a_socket_that_nobody_holds(true)]
fn what_was_left_behind_is_replaced(#[case] socket: bool) {
    let (dir, meets) = place();
    if socket {
        drop(listening(&meets));
    } else {
        std::fs::write(&meets, "what").expect("a file");
    }
    let mut node = node_in(&dir, meets, None);
    let (mut client, mut task) = established_client(&node.bench, 1);
    node.replaced();
    echo(&mut client, &mut task, "M 1 x");
}

/// Whoever listens there says nothing of use: the process starts as if it were the first.
#[rstest]
fn a_predecessor_that_says_what_cannot_be_read_is_left_alone() {
    let (dir, meets) = place();
    let listener = listening(&meets);
    let speaker = std::thread::spawn(move || {
        let other = rustix::net::accept(&listener).expect("somebody comes");
        assert!(hear(&other).starts_with("{\"Take\""));
        say(&other, r#"{"State":{"piece":"{\"drained\":"}}"#);
        say(&other, "\"Whole\"");
        hear(&other)
    });
    let node = node_in(&dir, meets, None);
    let _stands = established_client(&node.bench, 1);
    assert_eq!(speaker.join().expect("it spoke"), "", "and it is left");
}

/// SIGTERM comes to the old process first: what stands still reaches the successor, and no line is lost.
#[rstest]
fn a_successor_that_comes_after_sigterm_takes_what_still_stands() {
    let mut node = node();
    let (mut client, mut task) = established_client(&node.bench, 1);
    node.bench.signal("-TERM");
    node.bench.wait_for_log("shutting-down");
    let mut old = node.upgraded();
    assert_eq!(counter_value(&old.wait_for_log("counters"), "handed_over"), 1);
    assert!(old.child.wait().expect("it ends").success());
    echo(&mut client, &mut task, "M 1 x");
}

/// AMQP connections are not passed on: they are told to come again, and do so where the successor listens.
#[rstest]
fn the_amqp_front_listens_on_in_the_new_process() {
    let (dir, meets) = place();
    let mut node = node_in(&dir, meets, Some(r#"{"listen":"127.0.0.1:0"}"#));
    let at = node.bench.amqp.expect("it is on");
    node.replaced();
    assert!(std::net::TcpStream::connect(at).is_ok());
}

#[rstest]
#[case::closed("987")]
#[case::no_number("x")]
#[case::no_socket("0")]
fn a_passed_descriptor_that_is_none_is_named(#[case] number: &str) {
    let text = config(listener().local_addr().expect("an address"), "", 256);
    let mut command = node_command(&["serve"], &temp_file("node.json", &text));
    let said = command.env("NODE_PASSED_SOCKET", number).stdin(std::process::Stdio::null()).output();
    let said = said.expect("it ends");
    let line = String::from_utf8_lossy(&said.stderr).into_owned();
    assert_eq!(said.status.code(), Some(2), "{line}");
    assert!(line.starts_with(&format!("sparbank error NODE_PASSED_SOCKET: \"{number}\": ")), "{line}");
    assert_eq!(line.lines().count(), 1, "{line}");
}

// ---- A scripted process at the meeting place ----------------------------------------------------

fn seqpacket() -> OwnedFd {
    rustix::net::socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
        .expect("a socket")
}

fn connect(at: &std::path::Path) -> OwnedFd {
    let fd = seqpacket();
    rustix::net::connect(&fd, &SocketAddrUnix::new(at).expect("a path")).expect("it listens");
    fd
}

fn listening(at: &std::path::Path) -> OwnedFd {
    let fd = seqpacket();
    rustix::net::bind(&fd, &SocketAddrUnix::new(at).expect("a path")).expect("a free path");
    rustix::net::listen(&fd, 1).expect("it listens");
    fd
}

fn say(fd: &OwnedFd, text: &str) {
    send(fd, text.as_bytes(), SendFlags::NOSIGNAL).expect("sent");
}

/// The next message; empty at the end. Its descriptors are closed with it.
fn hear(fd: &OwnedFd) -> String {
    let mut bytes = vec![0; 128 * 1024];
    match recv(fd, &mut bytes, RecvFlags::empty()) {
        Ok((count, _)) => String::from_utf8_lossy(&bytes[..count]).into_owned(),
        Err(_) => String::new(),
    }
}

//! Stories over loopback for the platform's front: one for each failure met or guarded against.

mod support;

use rstest::rstest;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::*;

const OPEN: &str = "OPEN 9b1f 7f3a c=live-readings,t=acme,d=1200,g=5c0f";

/// Accepts the attempt at whichever server it comes to.
fn task(bench: &Bench) -> (usize, Peer) {
    accept_any(&bench.servers)
}

#[rstest]
fn lines_pass_both_ways_unchanged_and_the_end_propagates() {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(OPEN);
    let (_, mut task) = task(&bench);
    let first = task.read_line();
    let (before, rest) = first.split_once("d=").expect("d is passed on");
    let (d, after) = rest.split_once(',').expect("what follows d");
    assert_eq!((before, after), ("OPEN 9b1f 7f3a c=live-readings,t=acme,", "g=5c0f"));
    assert!(d.parse::<u32>().expect("a number") < 1200, "d is what the node waits");
    // What comes in the same read as UP is passed on too.
    task.send("UP r1\r\nLOAD 12.5\r\nhel").send("lo\r\n");
    assert_eq!([client.read_line(), client.read_line(), client.read_line()], ["UP r1", "LOAD 12.5", "hello"]);
    client.send("M 1 x\r\n");
    assert_eq!(task.read_line(), "M 1 x");
    task.send("BYE\r\n");
    drop(task);
    assert_eq!(client.read_line(), "BYE");
    client.expect_closed();
    let counters = bench.stop();
    assert_eq!(
        [
            counter_value(&counters, "requests"),
            counter_value(&counters, "served"),
            counter_value(&counters, "ended")
        ],
        [1, 1, 1]
    );
}

/// Where the settings say that delays are told too, a `LOAD` is a load all the same, whenever it comes and
/// however small it is: servers tell it whenever it changes, so no beat and no ratio makes it a delay.
#[rstest]
fn every_load_note_is_a_load() {
    let tells = |text: &str| text.replace(r#""FamilyInfo":{"#, r#""FamilyInfo":{"TellsDelay":true,"#);
    let mut bench = Bench::with_args(vec![listener()], None, &["--trace"], tells);
    let mut client = bench.connect_client(OPEN);
    let (_, mut task) = task(&bench);
    task.read_line();
    task.send("UP r1\r\nLOAD 2727\r\n");
    assert!(bench.wait_for_log("trace load").ends_with("us=2727"));
    // A whole second later, and nearer to the class's aim in milliseconds than to the load before it.
    std::thread::sleep(Duration::from_millis(1_000));
    task.send("LOAD 90\r\n");
    assert!(bench.wait_for_log("trace load").ends_with("us=90"));
    assert_eq!(
        [client.read_line(), client.read_line(), client.read_line()],
        ["UP r1", "LOAD 2727", "LOAD 90"]
    );
}

#[rstest]
#[case::reset_before_an_answer("")]
#[case::error("ERR\r\n")]
#[case::full("BUSY\r\n")]
#[case::garbage("\u{1}what\r\n")]
fn a_task_that_fails_is_tried_elsewhere(#[case] answer: &str) {
    let bench = Bench::start(2);
    let mut client = bench.connect_client(OPEN);
    let (first, mut failing) = task(&bench);
    failing.read_line();
    failing.send(answer);
    drop(failing);
    let (second, mut task) = task(&bench);
    assert_ne!(first, second);
    task.read_line();
    task.send("UP r2\r\n");
    assert_eq!(client.read_line(), "UP r2");
}

/// A server that the list names and nobody serves: connections to it are refused.
fn unheard() -> TcpListener {
    use rustix::net::{bind, socket, AddressFamily, SocketType};
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
    bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    TcpListener::from(fd)
}

/// A server whose queue is full: connections to it never come up.
fn silent() -> TcpListener {
    let listener = unheard();
    rustix::net::listen(&listener, 0).expect("a short queue");
    let addr = listener.local_addr().expect("an address");
    while let Ok(held) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
        std::mem::forget(held);
    }
    listener
}

#[rstest]
#[case::refused(unheard())]
#[case::never_up(silent())]
fn a_server_that_cannot_be_reached_never_ran_it(#[case] server: TcpListener) {
    let mut bench = Bench::with(vec![server, listener()], None);
    for key in 0..6 {
        let mut client = bench.connect_client(&open_line(key));
        let mut task = Peer::accept(&bench.servers[1]);
        task.read_line();
        task.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
    assert!(bench.counter("attempt_connect_failed") > 0);
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "served"), counter_value(&counters, "attempt_reset")], [6, 0]);
}

#[rstest]
fn when_all_turn_it_away_the_answer_is_busy_with_advice_and_comes_at_once() {
    let bench = Bench::start(3);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=60000"));
    for _ in 0..3 {
        let (_, mut task) = task(&bench);
        task.read_line();
        task.send("BUSY\r\n");
    }
    // The deadline is a minute away; the helper's own time-out is not.
    let answer = client.read_line();
    assert!(answer.strip_prefix("BUSY ").is_some_and(|ms| ms.parse::<u32>().is_ok()), "{answer}");
    client.expect_closed();
}

#[rstest]
fn a_server_that_takes_and_never_answers_costs_no_answer() {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=400"));
    let (_, mut hung) = task(&bench);
    hung.read_line();
    assert!(client.read_line().starts_with("BUSY"));
    client.expect_closed();
    let counters = bench.stop();
    assert!(counter_value(&counters, "attempt_timeout") >= 1);
    assert_eq!([counter_value(&counters, "requests"), counter_value(&counters, "rejected")], [1, 1]);
}

#[rstest]
#[case::unknown_class("OPEN 1 2 c=nothing,t=a,d=100")]
#[case::no_class("OPEN 1 2 t=a,d=100")]
#[case::a_bad_deadline("OPEN 1 2 c=live-readings,d=soon")]
#[case::no_list("OPEN 1 2")]
#[case::no_id("OPEN  2 c=live-readings,d=100")]
#[case::a_negative_deadline("OPEN 1 2 c=live-readings,d=-5")]
#[case::a_signed_deadline("OPEN 1 2 c=live-readings,d=+5")]
#[case::an_absurd_deadline("OPEN 1 2 c=live-readings,d=4294967295")]
#[case::a_deadline_beyond_all("OPEN 1 2 c=live-readings,d=99999999999999999999999")]
#[case::two_deadlines("OPEN 1 2 c=live-readings,d=100,d=100")]
#[case::a_load_that_is_none("OPEN 1 2 c=live-readings,d=100,h=-1")]
#[case::control_bytes("OPEN 1 2 c=live-readings,t=a\u{7},d=100")]
#[case::a_name_without_a_value("OPEN 1 2 c=live-readings,d=100,g")]
#[case::another_verb("GET / HTTP/1.1")]
#[case::too_long(&"x".repeat(5000))]
#[case::no_text("\u{0}\u{1}")]
fn a_line_that_cannot_be_read_gets_one_failed_answer(#[case] line: &str) {
    let bench = Bench::start(1);
    let mut client = bench.connect_client(line);
    assert_eq!(client.read_line(), "ERR");
    client.expect_closed();
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "malformed"), counter_value(&counters, "requests")], [1, 0]);
}

#[rstest]
fn a_connection_from_before_goes_to_its_server_and_is_no_placement() {
    let mut bench = Bench::start(3);
    let mut client = bench.connect_client("PING");
    assert_eq!(client.read_line(), "PONG");
    client.send(&format!("{OPEN},at=s-2\r\n"));
    let mut task = Peer::accept(&bench.servers[2]);
    assert!(task.read_line().ends_with(",at=s-2"));
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    assert_eq!([bench.counter("resumed"), bench.counter("sent")], [1, 0]);
    drop(client);
    task.expect_closed();
}

#[rstest]
fn a_draining_server_gets_nothing_new_and_a_dead_watch_is_asked_for_again() {
    let mut bench = Bench::start(2);
    let mut watch = bench.accept_watch();
    bench.update_lifecycle(&mut watch, 0, "draining");
    // The watch ends after the change, so that its loss shows that the change was heard.
    watch.send("0\r\n\r\n");
    bench.wait_for_log("list-lost");
    for key in 0..4 {
        let mut client = bench.connect_client(&open_line(key));
        let mut task = Peer::accept(&bench.servers[1]);
        task.read_line();
        task.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
    }
    bench.accept_watch();
}

#[rstest]
fn a_connect_in_progress_to_a_server_that_drains_is_called_off() {
    // With a minute to connect in, only the drain can end the attempt.
    let patient = |text: &str| text.replace(r#""DialTimeoutNs":250000000"#, r#""DialTimeoutNs":60000000000"#);
    let mut bench = Bench::with_args(vec![silent(), listener()], None, &[], patient);
    let mut watch = bench.accept_watch();
    // Until the pick falls on the silent one, the other takes what comes.
    let mut key = 0;
    let mut client = loop {
        let mut client = bench.connect_client(&open_line(key).replace("1200", "60000"));
        bench.servers[1].set_nonblocking(true).expect("non-blocking");
        while bench.counter("sent") == key {}
        let Ok((stream, _)) = bench.servers[1].accept() else { break client };
        stream.set_nonblocking(false).expect("blocking");
        let mut task = Peer::new(stream);
        task.read_line();
        task.send("UP r1\r\n");
        assert_eq!(client.read_line(), "UP r1");
        key += 1;
    };
    bench.servers[1].set_nonblocking(false).expect("blocking");
    bench.update_lifecycle(&mut watch, 0, "draining");
    let mut task = Peer::accept(&bench.servers[1]);
    task.read_line();
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    assert_eq!(bench.counter("attempt_connect_failed"), 1);
}

#[rstest]
#[case::no_http("what\r\n\r\n")]
#[case::no_json("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{]\n\r\n")]
#[case::unavailable("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")]
fn what_discovery_should_not_say_is_a_failed_list(#[case] answer: &str) {
    let mut bench = Bench::start(1);
    let mut call = Peer::accept(&bench.discovery);
    call.send(answer);
    bench.wait_for_log("list-lost");
    let _stands = established_client(&bench, 0x9b1f);
    let _watch = bench.accept_watch();
    assert_eq!(bench.counter("discovery_failures"), 1);
}

#[rstest]
fn a_server_that_falls_silent_under_a_standing_client_has_it_moved() {
    let bench = Bench::start(1);
    let (mut client, mut task) = established_client(&bench, 0x9b1f);
    client.send("M 1 x\r\n");
    assert_eq!([task.read_line(), client.read_line()], ["M 1 x", "MOVE"]);
    client.expect_closed();
    task.expect_closed();
}

#[rstest]
fn sigterm_answers_what_still_comes_and_moves_what_stands() {
    let mut bench = Bench::start(1);
    let (mut first, _task) = established_client(&bench, 0x9b1f);
    bench.signal("-TERM");
    bench.wait_for_log("shutting-down");
    let mut second = bench.connect_client(&open_line(2));
    let (_, mut other) = task(&bench);
    other.read_line();
    other.send("UP r2\r\n");
    assert_eq!(second.read_line(), "UP r2");
    assert_eq!([first.read_line(), second.read_line()], ["MOVE", "MOVE"]);
    let counters = bench.wait_for_log("counters");
    assert_eq!([counter_value(&counters, "served"), counter_value(&counters, "migrated")], [2, 2]);
    assert!(bench.process.child.wait().expect("it ends").success());
}

/// SIGKILL comes 0.7 s after the longest deadline: a request that no server answers is not left to it.
#[rstest]
fn sigterm_leaves_no_request_without_an_answer() {
    let mut bench = Bench::start(1);
    let mut client = bench.connect_client(&OPEN.replace("d=1200", "d=60000"));
    let (_, mut hung) = task(&bench);
    hung.read_line();
    bench.signal("-TERM");
    assert_eq!(client.read_line(), "ERR");
    hung.expect_closed();
    client.expect_closed();
    assert_eq!(counter_value(&bench.wait_for_log("counters"), "failed"), 1);
    assert!(bench.process.child.wait().expect("it ends").success());
}

/// What is over, or has said nothing, makes room for a request; the oldest goes first.
#[rstest]
fn a_flood_that_says_nothing_takes_no_request_its_place() {
    let bench = Bench::start(1);
    // The node may hold 256 and keeps some for what stands.
    let mut idle: Vec<Peer> = (0..400).map(|_| Peer::connect(bench.addr)).collect();
    let _stands = established_client(&bench, 0x9b1f);
    idle[0].expect_closed();
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "capacity_rejected"), counter_value(&counters, "served")], [0, 1]);
    assert!(counter_value(&counters, "idle_closed") > 100);
}

/// An answer and a close are owed within 3 s of connecting, however slowly something comes: a request that arrives
/// in the instant of the close has its answer already.
#[rstest]
#[case::nothing("", "BUSY")]
#[case::half_a_line("OPEN 1 2 c=live-re", "BUSY")]
#[case::only_questions("PING\r\n", "PONG")]
fn a_client_that_says_no_whole_line_is_closed(#[case] said: &str, #[case] answer: &str) {
    let bench = Bench::start(1);
    let mut client = Peer::connect(bench.addr);
    client.send(said);
    let came = std::time::Instant::now();
    assert_eq!(client.read_line(), answer);
    client.expect_closed();
    assert!(came.elapsed() < Duration::from_secs(3));
    assert_eq!(counter_value(&bench.stop(), "idle_closed"), 1);
}

/// Megabytes without an end: the answer is not eaten by the reset that ends them.
#[rstest]
fn a_line_without_an_end_is_answered_while_it_still_comes() {
    let bench = Bench::start(1);
    let mut client = Peer::connect(bench.addr);
    let mut sender = client.stream.try_clone().expect("a second handle");
    let sends = std::thread::spawn(move || {
        let chunk = [b'x'; 64 * 1024];
        // The node reads no more than a bounded part of it.
        (0..960).take_while(|_| std::io::Write::write_all(&mut sender, &chunk).is_ok()).count()
    });
    assert_eq!(client.read_line(), "ERR");
    assert!(sends.join().expect("it ends") < 960);
}

#[rstest]
fn the_id_of_an_open_request_is_refused_and_that_one_goes_on() {
    let bench = Bench::start(2);
    let (mut client, mut task) = established_client(&bench, 0x9b1f);
    assert_eq!(bench.connect_client(OPEN).read_line(), "ERR");
    client.send("M 1 x\r\n");
    assert_eq!(task.read_line(), "M 1 x");
    drop(client);
    task.expect_closed();
    drop(task);
    // Over, it is free again.
    let _stands = established_client(&bench, 0x9b1f);
    let counters = bench.stop();
    assert_eq!([counter_value(&counters, "malformed"), counter_value(&counters, "requests")], [1, 2]);
}

#[rstest]
#[case::at_once("M 1 x\r\n", "")]
#[case::later("", "OPEN 8 9 c=live-readings,d=100\r\n")]
fn more_than_one_line_before_up_is_an_error(#[case] with: &str, #[case] after: &str) {
    let bench = Bench::start(1);
    let mut client = Peer::connect(bench.addr);
    client.send(&format!("{OPEN}\r\n{with}"));
    if !after.is_empty() {
        let (_, mut task) = task(&bench);
        task.read_line();
        client.send(after);
        task.expect_closed();
    }
    assert_eq!(client.read_line(), "ERR");
    client.expect_closed();
    assert_eq!(counter_value(&bench.stop(), "established"), 0);
}

fn descriptors(bench: &Bench, most: u64) {
    use rustix::process::{prlimit, Pid, Resource, Rlimit};
    let few = Rlimit { current: Some(most), maximum: Some(1024) };
    prlimit(Some(Pid::from_child(&bench.process.child)), Resource::Nofile, few).expect("a limit");
}

#[rstest]
fn when_the_system_gives_fewer_descriptors_than_told_the_silent_make_room() {
    let bench = Bench::start(1);
    descriptors(&bench, 32);
    let _idle: Vec<Peer> = (0..60).map(|_| Peer::connect(bench.addr)).collect();
    established_client(&bench, 0x9b1f);
    assert!(counter_value(&bench.stop(), "idle_closed") > 30);
}

#[rstest]
fn when_the_system_has_no_descriptors_left_accepting_rests_and_goes_on() {
    let mut bench = Bench::start(1);
    descriptors(&bench, 4);
    let mut client = bench.connect_client(OPEN);
    bench.wait_for_log("accept-rests");
    descriptors(&bench, 64);
    let (_, mut task) = task(&bench);
    task.read_line();
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
}

#[rstest]
#[case::not_json("{", "EOF")]
#[case::a_missing_field(r#"{"name":"n"}"#, "listen")]
#[case::a_wrong_type(r#"{"name":1}"#, "field name")]
#[case::settings(&config(([127, 0, 0, 1], 1).into(), "", 64).replace("read_like", "odd"), "field settings.Profiles[0].Effect")]
fn a_wrong_configuration_is_one_line_and_exit_2(#[case] text: &str, #[case] names: &str) {
    let path = temp_file("wrong.json", text);
    let output = node_command(&["serve"], &path).output().expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(told.lines().count() == 1 && told.contains("wrong.json") && told.contains(names), "{told}");
}

/// Found on reading the second deployment's protocol page: `BYE`, `ERR` and `BUSY` may end with a load report.
/// A `BYE` with one was taken for a broken line, and the connection that it ended counted as reset.
#[rstest]
#[case::report("BYE inflight=7,queue=2,util=0.61\r\n")]
#[case::wrong_report("BYE inflight\r\n")]
fn a_bye_with_a_report_is_served_to_its_end(#[case] bye: &str) {
    let mut bench = Bench::with_args(vec![listener()], None, &["--trace"], str::to_string);
    let mut client = bench.connect_client(OPEN);
    let (_, mut task) = task(&bench);
    task.read_line();
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    task.send(bye);
    drop(task);
    assert_eq!(client.read_line(), bye.trim_end());
    client.expect_closed();
    assert!(bench.wait_for_log("trace attempt").contains(" up "));
    let ended = bench.wait_for_log("trace attempt");
    assert!(ended.contains("ended=Ok"), "{ended}");
}

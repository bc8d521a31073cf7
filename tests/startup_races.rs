//! Races during the start: signals that arrive, and descriptors that are missing, before the node serves.

use rstest::rstest;
use rustix::fs::{mknodat, FileType, Mode, CWD};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit};
use sparbank_test_support::{config, is_log_of, listener, node_command, temp_file, Signal};
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};
use std::time::Duration;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// How long the process gets no descriptors.
const DESCRIPTOR_SHORTAGE: Duration = Duration::from_millis(700);

/// A signal arrives while the process reads its configuration: SIGHUP and SIGUSR1 do not end it, and SIGTERM shuts it
/// down in order. The configuration file is a FIFO, which blocks the process until the test has sent the signal.
#[rstest]
#[case::reload(Signal::HUP, "configuration reloaded")]
#[case::counters(Signal::USR1, "counters")]
#[case::shutdown(Signal::TERM, "node stopped")]
fn a_signal_during_start_up_does_not_kill_the_process(#[case] signal: Signal, #[case] message: &str) {
    let discovery = listener();
    let text = config(discovery.local_addr().expect("an address"), "", 256);
    let path = temp_file("node.json", "");
    std::fs::remove_file(&path).expect("the empty file existed");
    mknodat(CWD, &path, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0).expect("a FIFO");
    let mut child = node_command(PROGRAM, &["serve"], &path).spawn().expect("the node starts");
    // Opening blocks until the process has opened the FIFO for reading.
    let mut fifo = std::fs::OpenOptions::new().write(true).open(&path).expect("the process opened the FIFO");
    std::fs::remove_file(&path).expect("the FIFO existed");
    std::fs::write(&path, &text).expect("a file for the reload");
    kill_process(Pid::from_child(&child), signal).expect("the process runs");
    fifo.write_all(text.as_bytes()).expect("the process still reads the FIFO");
    drop(fifo);
    let log = BufReader::new(child.stderr.take().expect("its log"));
    let found = log.lines().map_while(Result::ok).any(|line| is_log_of(&line, message));
    if message != "node stopped" {
        child.kill().expect("the process still runs");
    }
    let status = child.wait().expect("the process exits");
    std::fs::remove_file(&path).expect("the file");
    assert!(found, "no log line with {message:?}: {status}");
}

/// The process gets no descriptors while it starts: it waits until some are available and then serves.
#[test]
fn a_shortage_of_descriptors_during_start_up_delays_it() {
    let discovery = listener();
    let text = config(discovery.local_addr().expect("an address"), "", 256);
    let path = temp_file("node.json", &text);
    let mut command = Command::new("sh");
    command.args(["-c", "ulimit -S -n 4; exec \"$0\" serve"]).arg(PROGRAM);
    let mut child =
        command.env("NODE_CONFIG", &path).stderr(Stdio::piped()).spawn().expect("the process starts");
    std::thread::sleep(DESCRIPTOR_SHORTAGE);
    let limit = Rlimit { current: Some(64), maximum: Some(1024) };
    prlimit(Some(Pid::from_child(&child)), Resource::Nofile, limit).expect("a limit");
    let log = BufReader::new(child.stderr.take().expect("its log"));
    let lines: Vec<String> = log.lines().map_while(Result::ok).take(1).collect();
    child.kill().expect("the process runs");
    child.wait().expect("the process exits");
    std::fs::remove_file(&path).expect("the file");
    assert!(lines.concat().starts_with(" INFO node started"), "{lines:?}");
}

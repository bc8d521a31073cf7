//! The program `sparbank-soak`: what it leaves behind when it is killed, and its errors.

use rustix::process::{test_kill_process, Pid, Signal};
use sparbank_test_support::{child_command, ChildProcess};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank-soak");
const NODES: usize = 3;
/// The test fails if the nodes have not started, or have not ended, within this time.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A new folder for the test's files.
fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sparbank-soak-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir(&path).expect("a new folder");
    path
}

/// A program in place of a node, which appends its process id to a file and never becomes ready.
fn node_stand_in(folder: &Path) -> PathBuf {
    let program = folder.join("node");
    let script = format!("#!/bin/sh\necho $$ >> {}\nexec sleep 600\n", folder.join("pids").display());
    std::fs::write(&program, script).expect("written");
    std::fs::set_permissions(&program, PermissionsExt::from_mode(0o700)).expect("executable");
    program
}

fn started_nodes(folder: &Path) -> Vec<Pid> {
    let text = std::fs::read_to_string(folder.join("pids")).unwrap_or_default();
    text.lines().filter_map(|line| Pid::from_raw(line.parse().ok()?)).collect()
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "{what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Starts the program under test with a stand-in for its nodes.
fn start_soak(folder: &Path, node: &Path, arguments: &[&str]) -> ChildProcess {
    let mut command = child_command(PROGRAM);
    command.arg("--program").arg(node).arg("--folder").arg(folder).args(arguments);
    command.stdin(Stdio::null()).stdout(Stdio::null());
    ChildProcess::spawn(command)
}

/// A test run that is killed takes its nodes with it: left behind, they would go on to poll the address of their discovery,
/// which may be that of a later run.
#[test]
fn a_killed_soak_leaves_no_node_behind() {
    let folder = folder("killed");
    let mut soak =
        start_soak(&folder, &node_stand_in(&folder), &["--seeds", "1..4", "--cells", "3", "--nodes", "1"]);
    wait_until("the nodes have not started", || started_nodes(&folder).len() == NODES);
    soak.signal(Signal::KILL).expect("the soak runs");
    soak.wait();
    for node in started_nodes(&folder) {
        wait_until("a node still runs", || test_kill_process(node).is_err());
    }
    let _ = std::fs::remove_dir_all(&folder);
}

/// Two programs that run the same seed keep apart the configurations of their nodes, and with these their addresses.
#[test]
fn programs_that_run_the_same_seed_share_no_file() {
    let folder = folder("same-seed");
    let node = node_stand_in(&folder);
    let _soaks = [(), ()].map(|()| start_soak(&folder, &node, &["--seeds", "1..2", "--nodes", "1"]));
    wait_until("the nodes have not started", || started_nodes(&folder).len() == 2);
    let names =
        std::fs::read_dir(&folder).expect("readable").map(|entry| entry.expect("readable").file_name());
    let configurations = names.filter(|name| name.to_string_lossy().ends_with("config.json")).count();
    assert_eq!(configurations, 2);
    let _ = std::fs::remove_dir_all(&folder);
}

/// Runs the program with arguments that it must refuse with one line; returns this line.
fn argument_error(arguments: &[&str]) -> String {
    let output = Command::new(PROGRAM)
        .args(["--program", "node"])
        .args(arguments)
        .output()
        .expect("the program starts");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{error:?}");
    assert_eq!(error.lines().count(), 1, "{error:?}");
    error
}

#[test]
fn a_folder_that_does_not_exist_is_a_one_line_error() {
    let error = argument_error(&["--seeds", "1..2", "--folder", "/nonexistent/folder"]);
    assert!(error.contains("/nonexistent/folder"), "{error:?}");
}

/// A range without a seed would be reported as a run without a failure.
#[test]
fn a_range_without_a_seed_is_a_one_line_error() {
    let error = argument_error(&["--seeds", "7006..7006"]);
    assert!(error.contains("7006..7006"), "{error:?}");
}

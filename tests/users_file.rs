//! The users file of the AMQP frontend survives a power cut and failing disks: `amqp-user` replaces it as a whole. A
//! preloaded library records the program's syncs and lets them fail.

use sparbank_test_support::{node_command, preload_library, temp_file};
use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_sparbank");

/// A users file without users, in a folder of its own.
fn empty_users_file() -> PathBuf {
    let folder = temp_file("users", "");
    std::fs::remove_file(&folder).expect("removed");
    std::fs::create_dir(&folder).expect("a new folder");
    let path = folder.join("users.json");
    std::fs::write(&path, r#"{"users":{}}"#).expect("written");
    path
}

/// Adds a user with the recording library preloaded, which is also given these environment variables.
fn add_user(users: &Path, env: &[(&str, &str)]) -> Output {
    let library = preload_library(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/sync_log.c"));
    let args = ["amqp-user", users.to_str().expect("a path"), "anna"];
    let mut command = node_command(PROGRAM, &args, users);
    command.stdin(Stdio::piped()).env("LD_PRELOAD", library).envs(env.iter().copied());
    let mut child = command.spawn().expect("the program starts");
    let mut stdin = child.stdin.take().expect("standard input");
    stdin.write_all(b"the password\n").expect("written");
    drop(stdin);
    child.wait_with_output().expect("the program ends")
}

/// A power cut leaves the old users file or the new one, never an empty one: the new content is on the disk before it
/// takes the name, and the name is on the disk before the program reports success.
#[test]
fn a_replaced_users_file_is_synced_before_and_after_it_takes_its_name() {
    let users = empty_users_file();
    let log = temp_file("sync.log", "");
    let output = add_user(&users, &[("SYNC_LOG", log.to_str().expect("a path"))]);
    assert!(output.status.success(), "{output:?}");
    assert!(std::fs::read_to_string(&users).expect("the file").contains("anna"));
    let text = std::fs::read_to_string(&log).expect("the log");
    let events: Vec<&str> = text.lines().collect();
    let rename = events.iter().position(|event| *event == "rename").expect("a rename");
    assert!(events[..rename].contains(&"sync file"), "{events:?}");
    assert!(events[rename..].contains(&"sync folder"), "{events:?}");
}

/// A disk that reports an error leaves the old file in place, and nothing beside it.
#[test]
fn a_users_file_that_cannot_be_synced_is_not_replaced() {
    let users = empty_users_file();
    let output = add_user(&users, &[("SYNC_FAILS", "1")]);
    assert!(!output.status.success(), "{output:?}");
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(error.contains("users.json") && error.lines().count() == 1, "{error:?}");
    assert_eq!(std::fs::read_to_string(&users).expect("the file"), r#"{"users":{}}"#);
    let folder = users.parent().expect("a folder");
    assert_eq!(std::fs::read_dir(folder).expect("a folder").count(), 1, "a file is left behind");
}

/// The file has salted keys in it: who may read it stays as its owner has set it.
#[test]
fn a_replaced_users_file_keeps_its_permissions() {
    let users = empty_users_file();
    std::fs::set_permissions(&users, PermissionsExt::from_mode(0o600)).expect("the permissions are set");
    assert!(add_user(&users, &[]).status.success());
    let mode = std::fs::metadata(&users).expect("the file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
}

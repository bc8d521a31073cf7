//! Node configurations and request lines for tests.

use crate::watch_protocol::endpoint_json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// A request line with this number as its id and key. Numbers must differ between open requests, because the node
/// rejects a duplicate id. Each number has its own group, because requests of one group are placed on the same few
/// servers.
pub fn request_line(number: u64) -> String {
    format!("OPEN {number:x} {number:x} c=live-readings,t=acme,d=1200,g=5c{number:x}")
}

/// The configuration of a node with these endpoint list entries. The class `station-notes` is non-idempotent here, so
/// that tests can cover requests that must not be retried; on the platform its requests may be retried too.
pub fn config(discovery: SocketAddr, instances: &str, sockets: u32) -> String {
    include_str!("node_config.json.template")
        .replace("@DISCOVERY@", &discovery.to_string())
        .replace("@SOCKETS@", &sockets.to_string())
        .replace("@INSTANCES@", instances)
}

/// The entry of a server in the endpoint list.
pub fn endpoint_entry(server: usize, address: SocketAddr, lifecycle: &str) -> String {
    endpoint_json(server, address, lifecycle, 0)
}

/// Writes a temporary file under a unique name and returns its path.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sparbank-{}-{name}", unique_suffix()));
    std::fs::write(&path, text).expect("failed to write a temporary file");
    path
}

/// Compiles a C source file to a library that a test preloads into the program (`LD_PRELOAD`), and returns its path.
pub fn preload_library(source: &str) -> PathBuf {
    let library = temp_file("preload.so", "");
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(source);
    let compiled = compiler.status().expect("a C compiler, which links Rust programs too");
    assert!(compiled.success(), "{source} does not compile");
    library
}

/// A suffix that makes a file name unique among all test processes of the machine. The process id alone is not enough:
/// ids are reused, and an earlier process with the same id may have left its files behind.
fn unique_suffix() -> String {
    static FILE_COUNT: AtomicU32 = AtomicU32::new(0);
    static STARTED_AT: OnceLock<u128> = OnceLock::new();
    let since_epoch =
        || SystemTime::now().duration_since(UNIX_EPOCH).expect("system time is before 1970").as_nanos();
    let started_at = STARTED_AT.get_or_init(since_epoch);
    let file = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{}-{started_at:x}-{file}", std::process::id())
}

//! Configurations of a node, and request lines of its classes.

use crate::watch_protocol::endpoint_json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

/// A request line whose id and key are this number: the node rejects the id of an open request. Each number has a
/// group of its own, since the requests of a group are placed on the same few servers.
pub fn open_line(number: u64) -> String {
    format!("OPEN {number:x} {number:x} c=live-readings,t=acme,d=1200,g=5c{number:x}")
}

/// The configuration of a node whose servers have these entries. On the platform requests of the class `station-notes`
/// may be repeated too; here they show what must not be.
pub fn config(discovery: SocketAddr, instances: &str, sockets: u32) -> String {
    include_str!("node_config.json.template")
        .replace("@DISCOVERY@", &discovery.to_string())
        .replace("@SOCKETS@", &sockets.to_string())
        .replace("@INSTANCES@", instances)
}

/// A server's entry in the endpoint list.
pub fn instance(server: usize, address: SocketAddr, lifecycle: &str) -> String {
    endpoint_json(server, address, lifecycle, 0)
}

/// Writes a file that only this test uses; yields its path.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sparbank-{}-{name}", unique_number()));
    std::fs::write(&path, text).expect("a file");
    path
}

/// A number that no other file of this machine's tests has. The process id alone is not enough: ids are used again, and
/// an earlier process may have left its files behind.
fn unique_number() -> String {
    static FILE_COUNT: AtomicU32 = AtomicU32::new(0);
    static STARTED_AT: OnceLock<u128> = OnceLock::new();
    let since_epoch = || SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_nanos();
    let started_at = STARTED_AT.get_or_init(since_epoch);
    let file = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{}-{started_at:x}-{file}", std::process::id())
}

//! Configurations of a node, and request lines of its classes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A request line whose id and key are this number: the node rejects the id of an open request. Each number has a
/// group of its own, since the requests of a group are placed on the same few servers.
pub fn open_line(number: u64) -> String {
    format!("OPEN {number:x} {number:x} c=live-readings,t=acme,d=1200,g=5c{number:x}")
}

/// The configuration of a node whose servers are at these addresses.
pub fn config(discovery: SocketAddr, instances: &str, sockets: u32) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"Effect":"{effect}","HardLimitNs":1200000000,"Name":"{name}","ObjectiveNs":300000000,"Worth":2.0}}"#
        )
    };
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"7","limits":{{"sockets":{sockets}}},
        "known":{{"generation":1,"reset":true,"instances":[{instances}]}},
        "settings":{{"Profiles":[{},{}],"Discovery":"ask","Zones":["a"],
        "FamilyInfo":{{"MessageAimNs":[100000000,250000000]}},
        "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":250000000}},
        "Rules":{{"AskWithinNs":1600000000,"ColdFrom":0.12,"ColdNs":23000000000,"FallMultiple":3.0,"TipAfterNs":2000000000}}}}}}"#,
        class("live-readings", "read_like"),
        // On the platform requests of this class may be repeated too; here they show what must not be.
        class("station-notes", "non_idempotent"),
    )
}

/// A server's entry in the endpoint list.
pub fn instance(at: usize, addr: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{at}","hostPort":"{addr}","zone":"a","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// Writes a file that only this test uses; yields its path.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    static FILE_COUNT: AtomicU32 = AtomicU32::new(0);
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("sparbank-{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

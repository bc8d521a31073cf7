//! The processes under test: started, killed, stopped and continued, each by its own process id alone.

use super::{ConnectionQuota, Shared};
use crate::loopback::AddressBlock;
use crate::process::{configure_node, ChildProcess};
use rustix::process::Signal;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Port at which a node listens to other nodes.
const QUOTA_PORT: u16 = 7100;
/// The node that grants leases on a shared quota.
const GRANTOR: &str = "n0";

struct Node {
    address: SocketAddr,
    discovery: SocketAddr,
    config_file: PathBuf,
    child: Option<ChildProcess>,
    starts: u64,
}

impl Node {
    fn quota_file(&self) -> PathBuf {
        self.config_file.with_extension("fleet")
    }
}

/// All nodes of a run, by number.
pub struct Nodes {
    shared: Shared,
    nodes: RefCell<Vec<Node>>,
    program: String,
    seed: u64,
}

impl Nodes {
    /// The nodes of a run, none of them started. `discovery_addresses` is by node.
    pub fn new(
        shared: &Shared,
        addresses: &AddressBlock,
        discovery_addresses: Vec<SocketAddr>,
        program: &str,
        seed: u64,
    ) -> Nodes {
        let node = |(number, discovery): (usize, SocketAddr)| {
            let address = addresses.of_node(number, super::NODE_PORT);
            let config_file = std::env::temp_dir().join(format!("sparbank-cluster-{}.json", address.ip()));
            Node { address, discovery, config_file, child: None, starts: 0 }
        };
        let nodes = discovery_addresses.into_iter().enumerate().map(node).collect();
        Nodes { shared: shared.clone(), nodes: RefCell::new(nodes), program: program.to_string(), seed }
    }

    /// Starts a node that has saved this list. Its random numbers are others at each start, from the run's seed.
    pub fn start(&self, number: usize, saved_list: &str) {
        let members = self.members_json();
        let node = &mut self.nodes.borrow_mut()[number];
        assert!(node.child.is_none(), "node {number} runs already");
        node.starts += 1;
        let seed = self.seed.wrapping_mul(1_000_003) + (number as u64) * 1_000 + node.starts;
        let config = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{seed:x}","limits":{{"sockets":1024}},
            "known":{saved_list},"settings":{}}}"#,
            node.address,
            node.discovery,
            self.shared.config.node_settings(),
        );
        std::fs::write(&node.config_file, config).expect("a configuration");
        let mut command = Command::new(&self.program);
        command.arg("serve").stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        configure_node(&mut command, &node.config_file);
        if let Some(quota) = self.shared.config.quota {
            let file = node.quota_file();
            std::fs::write(&file, quota_json(&members, quota)).expect("a quota file");
            command.arg("--fleet").arg(file);
        }
        if let Ok(folder) = std::env::var("FLEET_LOGS") {
            write_log(&mut command, Path::new(&folder), number, node.starts);
        }
        node.child = Some(ChildProcess::spawn(&mut command));
        self.shared.auditor.borrow_mut().on_node_up(number);
    }

    /// The members of a shared quota, as its file names them.
    fn members_json(&self) -> String {
        let nodes = self.nodes.borrow();
        let member = |(number, node): (usize, &Node)| {
            format!(r#"{{"name":"n{number}","address":"{}:{QUOTA_PORT}"}}"#, node.address.ip())
        };
        nodes.iter().enumerate().map(member).collect::<Vec<_>>().join(",")
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.nodes.borrow()[number].child {
            child.signal(signal).expect("a child that was not waited for");
        }
    }

    /// Where a node listens to other nodes.
    pub fn member_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.nodes.borrow()[number].address.ip(), QUOTA_PORT)
    }

    /// SIGKILL; the node's requests and connections are excused.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.nodes.borrow_mut()[number].child.take() {
            self.shared.auditor.borrow_mut().on_node_down(number);
            child.kill();
        }
    }

    /// SIGTERM: nothing is excused until the node has ended.
    pub fn terminate(&self, number: usize) {
        self.signal(number, Signal::TERM);
    }

    /// Whether a node has ended by itself, after [`Nodes::terminate`].
    pub fn has_ended(&self, number: usize) -> bool {
        let node = &mut self.nodes.borrow_mut()[number];
        if node.child.as_mut().is_some_and(|child| child.try_wait().is_some()) {
            node.child = None;
            self.shared.auditor.borrow_mut().on_node_down(number);
        }
        node.child.is_none()
    }

    /// SIGSTOP: what the node owes until it is continued is excused.
    pub fn pause(&self, number: usize) {
        self.shared.auditor.borrow_mut().on_node_down(number);
        self.signal(number, Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&self, number: usize) {
        self.signal(number, Signal::CONT);
        self.shared.auditor.borrow_mut().on_node_up(number);
    }

    /// Ends all nodes and removes their files.
    pub fn kill_all(&self) {
        for node in self.nodes.borrow_mut().iter_mut() {
            node.child = None;
            let _ = std::fs::remove_file(&node.config_file);
            let _ = std::fs::remove_file(node.quota_file());
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.kill_all();
    }
}

fn quota_json(members: &str, quota: ConnectionQuota) -> String {
    format!(
        r#"{{"members":[{members}],"grantors":["{GRANTOR}"],"lease_ms":{},"clear_ms":{},
                "budgets":[{{"name":"standing","limits":"connections","total":{},"floor_percent":45}}]}}"#,
        quota.lease_ms, quota.clear_ms, quota.total
    )
}

/// Writes a node's log to a file, for who looks into a failure: nothing is judged by it.
fn write_log(command: &mut Command, folder: &Path, number: usize, start: u64) {
    if start > 1 || std::fs::create_dir_all(folder).is_ok() {
        let log = folder.join(format!("n{number}-{start}.log"));
        command.arg("--trace").stderr(std::fs::File::create(log).expect("a log"));
    }
}

//! The node processes under test: starting, signalling and stopping them, each by its own process id only.

use super::{ConnectionQuota, Shared};
use crate::child_command::child_command;
use crate::loopback::AddressBlock;
use crate::process::{configure_node, ChildProcess};
use rustix::process::Signal;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Port on which a node listens for other nodes.
const QUOTA_PORT: u16 = 7100;
/// Name of the node that grants leases on a shared quota.
const GRANTOR: &str = "n0";

struct Node {
    address: SocketAddr,
    discovery: SocketAddr,
    config_file: PathBuf,
    child: Option<ChildProcess>,
    /// How often the node has been started.
    start_count: u64,
}

impl Node {
    fn quota_file(&self) -> PathBuf {
        self.config_file.with_extension("fleet")
    }
}

/// All nodes of a run, addressed by number.
pub struct Nodes {
    shared: Shared,
    nodes: RefCell<Vec<Node>>,
    program: String,
    seed: u64,
}

impl Nodes {
    /// Creates the nodes of a run without starting them. `discovery_addresses` is indexed by node.
    pub fn new(
        shared: &Shared,
        addresses: &AddressBlock,
        discovery_addresses: Vec<SocketAddr>,
        program: &str,
        seed: u64,
    ) -> Nodes {
        let node = |(number, discovery): (usize, SocketAddr)| {
            let address = addresses.node_address(number, super::NODE_PORT);
            let config_file = std::env::temp_dir().join(format!("sparbank-cluster-{}.json", address.ip()));
            Node { address, discovery, config_file, child: None, start_count: 0 }
        };
        let nodes = discovery_addresses.into_iter().enumerate().map(node).collect();
        Nodes { shared: shared.clone(), nodes: RefCell::new(nodes), program: program.to_string(), seed }
    }

    /// Starts a node with this saved endpoint list. The node's seed is derived from the run's seed and differs at each
    /// start.
    pub fn start(&self, number: usize, saved_list: &str) {
        let members = self.members_json();
        let node = &mut self.nodes.borrow_mut()[number];
        assert!(node.child.is_none(), "node {number} is already running");
        node.start_count += 1;
        let seed = self.seed.wrapping_mul(1_000_003) + (number as u64) * 1_000 + node.start_count;
        let config = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{seed:x}","limits":{{"sockets":1024}},
            "known":{saved_list},"settings":{}}}"#,
            node.address,
            node.discovery,
            self.shared.config.node_settings(),
        );
        std::fs::write(&node.config_file, config).expect("failed to write the configuration");
        let mut command = child_command(&self.program);
        command.arg("serve").stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        configure_node(&mut command, &node.config_file);
        if let Some(quota) = self.shared.config.quota {
            let file = node.quota_file();
            std::fs::write(&file, quota_json(&members, quota)).expect("failed to write the quota file");
            command.arg("--fleet").arg(file);
        }
        if let Ok(folder) = std::env::var("FLEET_LOGS") {
            write_log(&mut command, Path::new(&folder), number, node.start_count);
        }
        node.child = Some(ChildProcess::spawn(command));
        self.shared.auditor.borrow_mut().on_node_up(number);
    }

    /// The members of a shared quota, as JSON for the quota file.
    fn members_json(&self) -> String {
        let nodes = self.nodes.borrow();
        let member = |(number, node): (usize, &Node)| {
            format!(r#"{{"name":"n{number}","address":"{}:{QUOTA_PORT}"}}"#, node.address.ip())
        };
        nodes.iter().enumerate().map(member).collect::<Vec<_>>().join(",")
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.nodes.borrow()[number].child {
            child.signal(signal).expect("failed to signal a node");
        }
    }

    /// Address on which a node listens for other nodes.
    pub fn member_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.nodes.borrow()[number].address.ip(), QUOTA_PORT)
    }

    /// Kills a node with SIGKILL. Its missing answers and lost connections are no violations.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.nodes.borrow_mut()[number].child.take() {
            self.shared.auditor.borrow_mut().on_node_down(number);
            child.kill();
        }
    }

    /// Sends SIGTERM to a node. Until it has ended, its missing answers are violations.
    pub fn terminate(&self, number: usize) {
        self.signal(number, Signal::TERM);
    }

    /// Whether a node has ended, as it should after [`Nodes::terminate`].
    pub fn has_ended(&self, number: usize) -> bool {
        let node = &mut self.nodes.borrow_mut()[number];
        if node.child.as_mut().is_some_and(|child| child.try_wait().is_some()) {
            node.child = None;
            self.shared.auditor.borrow_mut().on_node_down(number);
        }
        node.child.is_none()
    }

    /// Stops a node with SIGSTOP. Requests sent to it before it is continued may stay unanswered.
    pub fn pause(&self, number: usize) {
        self.shared.auditor.borrow_mut().on_node_down(number);
        self.signal(number, Signal::STOP);
    }

    /// Continues a node with SIGCONT.
    pub fn resume(&self, number: usize) {
        self.signal(number, Signal::CONT);
        self.shared.auditor.borrow_mut().on_node_up(number);
    }

    /// Kills all nodes and removes their files.
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

/// Writes a node's log to a file for debugging. No check reads it.
fn write_log(command: &mut Command, folder: &Path, number: usize, start_number: u64) {
    if start_number > 1 || std::fs::create_dir_all(folder).is_ok() {
        let log = folder.join(format!("n{number}-{start_number}.log"));
        command.arg("--trace").stderr(std::fs::File::create(log).expect("failed to create the log file"));
    }
}

//! The processes under test: started, killed, stopped and continued, by their own ids alone.

use super::{Addresses, World};
use rustix::process::{kill_process, Pid, Signal};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

struct Node {
    address: SocketAddr,
    discovery: SocketAddr,
    file: PathBuf,
    child: Option<Child>,
    starts: u64,
}

/// All nodes of a run, by number.
pub struct Nodes {
    world: World,
    list: RefCell<Vec<Node>>,
    program: String,
    seed: u64,
}

impl Nodes {
    pub fn new(
        world: &World,
        addresses: &Addresses,
        calls: Vec<SocketAddr>,
        program: &str,
        seed: u64,
    ) -> Nodes {
        let node = |(number, discovery): (usize, SocketAddr)| {
            let address = addresses.at(number, 8080);
            let file = std::env::temp_dir().join(format!("sparbank-rig-{}.json", address.ip()));
            Node { address, discovery, file, child: None, starts: 0 }
        };
        let list = RefCell::new(calls.into_iter().enumerate().map(node).collect());
        Nodes { world: world.clone(), list, program: program.to_string(), seed }
    }

    /// Starts a node that knows this list. Its random numbers are new with each start, from the run's seed.
    pub fn start(&self, number: usize, known: &str) {
        let addresses: Vec<SocketAddr> = self.list.borrow().iter().map(|n| n.address).collect();
        let member =
            |(i, n): (usize, &SocketAddr)| format!(r#"{{"name":"n{i}","address":"{}:7100"}}"#, n.ip());
        let members = addresses.iter().enumerate().map(member).collect::<Vec<_>>().join(",");
        let node = &mut self.list.borrow_mut()[number];
        assert!(node.child.is_none(), "node {number} runs already");
        node.starts += 1;
        let seed = self.seed.wrapping_mul(1_000_003) + (number as u64) * 1_000 + node.starts;
        let config = format!(
            r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"{seed:x}","limits":{{"sockets":1024}},
            "known":{known},"settings":{}}}"#,
            node.address,
            node.discovery,
            self.world.figures.settings(),
        );
        std::fs::write(&node.file, config).expect("a configuration");
        let mut command = Command::new(&self.program);
        command.arg("serve").env("NODE_CONFIG", &node.file).stdin(Stdio::null()).stdout(Stdio::null());
        for name in ["NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"] {
            command.env_remove(name);
        }
        if let Some(quota) = self.world.figures.quota {
            let quota_file = format!(
                r#"{{"members":[{members}],"grantors":["n0"],"lease_ms":{},"clear_ms":{},
                "budgets":[{{"name":"standing","limits":"connections","total":{},"floor_percent":45}}]}}"#,
                quota.lease_ms, quota.clear_ms, quota.total
            );
            let path = node.file.with_extension("fleet");
            std::fs::write(&path, quota_file).expect("a quota file");
            command.arg("--fleet").arg(path);
        }
        // Logs are for whoever looks into a failure: nothing is judged by them.
        match std::env::var("FLEET_LOGS") {
            Ok(folder) => {
                if node.starts > 1 || std::fs::create_dir_all(&folder).is_ok() {
                    let path = format!("{folder}/n{number}-{}.log", node.starts);
                    command.arg("--trace").stderr(std::fs::File::create(path).expect("a log"));
                }
            }
            Err(_) => drop(command.stderr(Stdio::null())),
        }
        node.child = Some(command.spawn().expect("the program starts"));
        self.world.books.borrow_mut().node(number, true);
    }

    fn signal(&self, number: usize, signal: Signal) {
        if let Some(child) = &self.list.borrow()[number].child {
            let pid = Pid::from_child(child);
            kill_process(pid, signal).expect("a child that was not waited for");
        }
    }

    /// Where it listens to other nodes.
    pub fn member_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.list.borrow()[number].address.ip(), 7100)
    }

    /// SIGKILL; its requests and connections are excused.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.list.borrow_mut()[number].child.take() {
            self.world.books.borrow_mut().node(number, false);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM: nothing of its is excused until it has ended.
    pub fn terminate(&self, number: usize) {
        self.signal(number, Signal::TERM);
    }

    /// Whether it has ended by itself, after [`Nodes::terminate`].
    pub fn has_ended(&self, number: usize) -> bool {
        let node = &mut self.list.borrow_mut()[number];
        let ended = node.child.as_mut().is_some_and(|child| child.try_wait().is_ok_and(|s| s.is_some()));
        if ended {
            node.child = None;
            self.world.books.borrow_mut().node(number, false);
        }
        ended || node.child.is_none()
    }

    /// SIGSTOP and SIGCONT: what it owes meanwhile is excused.
    pub fn stop(&self, number: usize) {
        self.world.books.borrow_mut().node(number, false);
        self.signal(number, Signal::STOP);
    }

    pub fn go_on(&self, number: usize) {
        self.signal(number, Signal::CONT);
        self.world.books.borrow_mut().node(number, true);
    }

    pub fn end(&self) {
        for node in self.list.borrow_mut().iter_mut() {
            if let Some(mut child) = node.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            let _ = std::fs::remove_file(&node.file);
            let _ = std::fs::remove_file(node.file.with_extension("fleet"));
        }
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.end();
    }
}

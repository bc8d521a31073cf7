//! A node whose process can be replaced by a successor.

use crate::bench::Bench;
use crate::listeners::listener;
use crate::log::log_field;
use crate::node_config::temp_file;
use crate::process::NodeProcess;
use rustix::process::Signal;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;

/// The `$TMPDIR` of one node, and the path of the handover socket in it.
#[derive(Debug)]
pub struct HandoverFolder {
    /// The folder.
    pub path: PathBuf,
    /// The handover socket.
    pub socket: PathBuf,
}

impl HandoverFolder {
    /// A new empty folder.
    pub fn create() -> HandoverFolder {
        let path = temp_file("folder", "");
        std::fs::remove_file(&path).expect("it was there");
        std::fs::create_dir(&path).expect("a folder");
        let socket = path.join("sparbank-n1.takeover");
        HandoverFolder { path, socket }
    }
}

/// A node whose clients' listening socket is passed by the platform, which is this test.
pub struct HandoverNode {
    /// The node, with its discovery and its server.
    pub bench: Bench,
    /// The handover socket.
    pub socket: PathBuf,
    /// The address of the admin API of the newest process.
    pub admin: SocketAddr,
    _passed_listener: TcpListener,
}

impl HandoverNode {
    /// Starts a node in a new folder, without AMQP.
    pub fn start(program: &str) -> HandoverNode {
        HandoverNode::start_in(program, &HandoverFolder::create(), None)
    }

    /// Starts a node in a folder; the AMQP frontend is on where its settings are given.
    pub fn start_in(program: &str, folder: &HandoverFolder, amqp: Option<&str>) -> HandoverNode {
        HandoverNode::start_with_env(program, folder, amqp, &[])
    }

    /// The same, in an environment with these variables too.
    pub fn start_with_env(
        program: &str,
        folder: &HandoverFolder,
        amqp: Option<&str>,
        further_env: &[(&str, &str)],
    ) -> HandoverNode {
        let passed_listener = listener();
        // Every process inherits it.
        rustix::io::fcntl_setfd(&passed_listener, rustix::io::FdFlags::empty()).expect("it can be inherited");
        let number = passed_listener.as_raw_fd().to_string();
        let own_env =
            [("NODE_PASSED_SOCKET", number.as_str()), ("TMPDIR", folder.path.to_str().expect("a path"))];
        let env = [&own_env, further_env].concat();
        let edit = |text: &str| text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#);
        let mut bench = Bench::with_env(program, vec![listener()], amqp, &[], edit, &env);
        let passed = passed_listener.local_addr().expect("an address");
        assert_eq!(bench.addr, passed, "not the configuration's");
        let admin = admin_address(&mut bench);
        HandoverNode { bench, socket: folder.socket.clone(), admin, _passed_listener: passed_listener }
    }

    /// Starts a successor and waits until it serves. The process that served before is the result.
    pub fn start_successor(&mut self) -> NodeProcess {
        let mut predecessor = self.bench.start_successor();
        self.admin = admin_address(&mut self.bench);
        self.bench.wait_for_log("handover from predecessor started");
        predecessor.wait_for_log("handover to successor started");
        predecessor
    }

    /// Replaces the process by a successor. The last counters of the process that served before are the result.
    pub fn replace(&mut self) -> String {
        let mut predecessor = self.start_successor();
        predecessor.signal(Signal::TERM);
        let counters = predecessor.wait_for_log("counters");
        predecessor.expect_success();
        self.bench.wait_for_log("handover from predecessor complete");
        counters
    }
}

/// Where the process that has just started serves its admin API.
fn admin_address(bench: &mut Bench) -> SocketAddr {
    let line = bench.wait_for_log("admin API ready");
    log_field(&line, "listen").parse().expect("an address")
}

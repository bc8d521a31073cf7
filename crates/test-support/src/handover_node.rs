//! A node whose process can be replaced by a successor.

use crate::bench::TestNode;
use crate::listeners::listener;
use crate::log::log_field;
use crate::node_config::temp_file;
use crate::process::NodeProcess;
use rustix::process::Signal;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;

/// The folder that a node gets as `$TMPDIR`, and the path of the handover socket in it.
#[derive(Debug)]
pub struct HandoverFolder {
    /// Path of the folder.
    pub path: PathBuf,
    /// Path of the handover socket.
    pub socket: PathBuf,
}

impl HandoverFolder {
    /// Creates a new empty folder.
    pub fn create() -> HandoverFolder {
        let path = temp_file("folder", "");
        std::fs::remove_file(&path).expect("failed to remove the temporary file");
        std::fs::create_dir(&path).expect("failed to create a temporary folder");
        let socket = path.join("sparbank-n1.takeover");
        HandoverFolder { path, socket }
    }
}

/// A node that gets the listening socket for its clients from the test, in place of the platform.
pub struct HandoverNode {
    /// The node, with its discovery and its server.
    pub bench: TestNode,
    /// Path of the handover socket.
    pub socket: PathBuf,
    /// Address of the newest process's admin API.
    pub admin: SocketAddr,
    /// Kept open, so that successors can inherit the socket.
    _passed_listener: TcpListener,
}

impl HandoverNode {
    /// Starts a node in a new folder, without AMQP.
    pub fn start(program: &str) -> HandoverNode {
        HandoverNode::start_in(program, &HandoverFolder::create(), None)
    }

    /// Starts a node in a folder, with an AMQP frontend if its settings are given.
    pub fn start_in(program: &str, folder: &HandoverFolder, amqp: Option<&str>) -> HandoverNode {
        HandoverNode::start_with_env(program, folder, amqp, &[])
    }

    /// Like [`HandoverNode::start_in`], with additional environment variables.
    pub fn start_with_env(
        program: &str,
        folder: &HandoverFolder,
        amqp: Option<&str>,
        extra_env: &[(&str, &str)],
    ) -> HandoverNode {
        let passed_listener = listener();
        // Clears FD_CLOEXEC: every process of the node inherits the socket.
        rustix::io::fcntl_setfd(&passed_listener, rustix::io::FdFlags::empty())
            .expect("failed to clear FD_CLOEXEC");
        let descriptor = passed_listener.as_raw_fd().to_string();
        let handover_env = [
            ("NODE_PASSED_SOCKET", descriptor.as_str()),
            ("TMPDIR", folder.path.to_str().expect("the path is not UTF-8")),
        ];
        let env = [&handover_env, extra_env].concat();
        let edit = |text: &str| text.replace(r#""listen":"#, r#""operator":"127.0.0.1:0","listen":"#);
        let mut bench = TestNode::start_with_env(program, vec![listener()], amqp, &[], edit, &env);
        let passed_addr = passed_listener.local_addr().expect("failed to read a socket address");
        assert_eq!(
            bench.text_addr, passed_addr,
            "the node must use the passed socket, not the configured address"
        );
        let admin = admin_address(&mut bench);
        HandoverNode { bench, socket: folder.socket.clone(), admin, _passed_listener: passed_listener }
    }

    /// Starts a successor, waits until both processes have logged the start of the handover, and returns the
    /// predecessor.
    pub fn start_successor(&mut self) -> NodeProcess {
        let mut predecessor = self.bench.start_successor();
        self.admin = admin_address(&mut self.bench);
        self.bench.wait_for_log("handover from predecessor started");
        predecessor.wait_for_log("handover to successor started");
        predecessor
    }

    /// Replaces the process with a successor and returns the predecessor's last `counters` line.
    pub fn replace(&mut self) -> String {
        let mut predecessor = self.start_successor();
        predecessor.signal(Signal::TERM);
        let counters = predecessor.wait_for_log("counters");
        predecessor.expect_success();
        self.bench.wait_for_log("handover from predecessor complete");
        counters
    }
}

/// Reads the address of the admin API from the log of the newest process.
fn admin_address(bench: &mut TestNode) -> SocketAddr {
    let line = bench.wait_for_log("admin API ready");
    log_field(&line, "listen").parse().expect("invalid address in the log")
}

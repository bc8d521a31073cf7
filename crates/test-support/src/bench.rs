//! A node under test with its discovery and its servers, which the test drives step by step.

use crate::listeners::{accept_any, listener, try_accept};
use crate::log::{counter_value, log_field};
use crate::node_config::{config, endpoint_entry, request_line, temp_file};
use crate::peer::Peer;
use crate::process::{NodeProcess, StartOptions};
use crate::watch_protocol::{chunk, list_json, ListKind, WATCH_RESPONSE_HEAD};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// The node's limit on sockets, unless a test edits the configuration.
const NODE_SOCKETS: u32 = 256;
/// The log message with the addresses of the AMQP frontend's listeners.
const AMQP_READY: &str = "AMQP frontend ready";

/// One node under test, with its discovery and its servers.
pub struct TestNode {
    /// The newest process of the node.
    pub process: NodeProcess,
    start_options: StartOptions,
    /// Address of the node's listener for clients of the text protocol.
    pub text_addr: SocketAddr,
    /// Address of the AMQP frontend's listener, if the frontend is enabled.
    pub amqp_addr: Option<SocketAddr>,
    /// The log line with the AMQP frontend's listeners; empty if the frontend is disabled.
    pub amqp_log_line: String,
    /// Listener of discovery.
    pub discovery: TcpListener,
    /// Listeners of the servers, by number.
    pub servers: Vec<TcpListener>,
    /// Generation of the endpoint list.
    pub generation: u64,
    config_path: PathBuf,
    config: String,
}

impl TestNode {
    /// Starts a node with this many servers and with the text protocol only.
    pub fn start(program: &str, servers: usize) -> TestNode {
        TestNode::start_with_servers(program, (0..servers).map(|_| listener()).collect(), None)
    }

    /// Starts a node with these servers, and with an AMQP frontend if its settings are given.
    pub fn start_with_servers(program: &str, servers: Vec<TcpListener>, amqp: Option<&str>) -> TestNode {
        TestNode::start_with_args(program, servers, amqp, &[], str::to_string)
    }

    /// Like [`TestNode::start_with_servers`], with additional arguments and an edited configuration.
    pub fn start_with_args(
        program: &str,
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
    ) -> TestNode {
        TestNode::start_with_env(program, servers, amqp, args, edit, &[])
    }

    /// Like [`TestNode::start_with_args`], with additional environment variables.
    pub fn start_with_env(
        program: &str,
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
        env: &[(&str, &str)],
    ) -> TestNode {
        let discovery = listener();
        let discovery_addr = local_addr(&discovery);
        let instances: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| endpoint_entry(index, local_addr(server), "ready"))
            .collect();
        let config = edit(&config(discovery_addr, &instances.join(","), NODE_SOCKETS));
        let config_path = temp_file("node.json", &config);
        let start_options = start_options(program, amqp, args, env);
        let mut process = start_options.spawn(&config_path);
        let text_addr = listen_addr(&process.wait_for_log("node started"));
        let amqp_log_line = amqp.map(|_| process.wait_for_log(AMQP_READY));
        TestNode {
            process,
            start_options,
            text_addr,
            amqp_addr: amqp_log_line.as_deref().map(listen_addr),
            amqp_log_line: amqp_log_line.unwrap_or_default(),
            discovery,
            servers,
            generation: 1,
            config_path,
            config,
        }
    }

    /// Starts a successor next to the running process and returns the predecessor.
    pub fn start_successor(&mut self) -> NodeProcess {
        let successor = self.start_options.spawn(&self.config_path);
        std::mem::replace(&mut self.process, successor)
    }

    /// Kills the node's process, and starts another one with the same configuration, which may listen at other addresses.
    pub fn kill_and_restart(&mut self) {
        self.process.kill_and_read_log();
        self.process = self.start_options.spawn(&self.config_path);
        self.text_addr = listen_addr(&self.process.wait_for_log("node started"));
        if self.amqp_addr.is_some() {
            self.amqp_log_line = self.process.wait_for_log(AMQP_READY);
            self.amqp_addr = Some(listen_addr(&self.amqp_log_line));
        }
    }

    /// Starts a second process with the node's configuration, for tests in which that process must fail to start.
    pub fn spawn_duplicate(&self) -> NodeProcess {
        self.start_options.spawn(&self.config_path)
    }

    /// Accepts the node's watch at discovery and sends the head of the response, without any changes.
    pub fn accept_watch(&mut self) -> Peer {
        let mut watch = Peer::accept(&self.discovery);
        assert!(watch.read_line().starts_with("GET /registry/instances?watch=1&from="));
        while !watch.read_line().is_empty() {}
        watch.send(WATCH_RESPONSE_HEAD);
        watch
    }

    /// Sends an incremental list that changes the lifecycle of a server.
    pub fn update_lifecycle(&mut self, watch: &mut Peer, server: usize, lifecycle: &str) {
        let entry = endpoint_entry(server, local_addr(&self.servers[server]), lifecycle);
        self.send_endpoint(watch, &entry);
    }

    /// Sends an incremental list with this entry, under the next generation.
    pub fn send_endpoint(&mut self, watch: &mut Peer, entry: &str) {
        self.generation += 1;
        self.send_endpoints(watch, ListKind::Incremental, entry);
    }

    /// Sends a list with these entries, under the current generation.
    pub fn send_endpoints(&mut self, watch: &mut Peer, kind: ListKind, entries: &str) {
        watch.send(&chunk(&list_json(self.generation, kind, entries)));
    }

    /// Moves discovery to another address and has the node reload its configuration.
    pub fn move_discovery(&mut self) {
        let old = std::mem::replace(&mut self.discovery, listener());
        let old_addr = local_addr(&old).to_string();
        let new_addr = local_addr(&self.discovery).to_string();
        self.config = self.config.replace(&old_addr, &new_addr);
        self.reconfigure(str::to_string);
    }

    /// Overwrites the configuration file with an edited version of the configuration.
    pub fn rewrite_config(&mut self, edit: impl FnOnce(&str) -> String) {
        std::fs::write(&self.config_path, edit(&self.config)).expect("failed to write the configuration");
    }

    /// Like [`TestNode::rewrite_config`], and then sends SIGHUP.
    pub fn reconfigure(&mut self, edit: impl FnOnce(&str) -> String) {
        self.rewrite_config(edit);
        self.signal(Signal::HUP);
    }

    /// Sends a signal to the newest process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Stops the newest process; see [`NodeProcess::pause`].
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Continues the process after [`TestNode::pause`].
    pub fn resume(&self) {
        self.process.resume();
    }

    /// Connects a client and sends a request line.
    pub fn connect_client(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.text_addr);
        client.send(line).send("\r\n");
        client
    }

    /// Checks that no connection is pending at any server, so no attempt was made beyond those already accepted.
    pub fn assert_no_attempts(&mut self) {
        // Waiting for the counters makes sure that the node has already started any attempt that was due.
        self.counters();
        for server in &self.servers {
            assert!(try_accept(server).is_none(), "unexpected attempt at {server:?}");
        }
    }

    /// Reads the log up to a line with this message; see [`NodeProcess::wait_for_log`].
    pub fn wait_for_log(&mut self, message: &str) -> String {
        self.process.wait_for_log(message)
    }

    /// Has the node log its counters (SIGUSR1) and returns the line.
    fn counters_line(&mut self) -> String {
        self.signal(Signal::USR1);
        self.wait_for_log("counters")
    }

    /// Returns the current value of a counter.
    pub fn counter(&mut self, name: &str) -> u64 {
        counter_value(&self.counters_line(), name)
    }

    /// Returns the line with a frontend's own counters.
    pub fn frontend_counters(&mut self, frontend: &str) -> String {
        // The log may still contain a frontend line from an earlier signal; the current one follows these counters.
        self.counters_line();
        self.wait_for_log(&format!("{frontend}-counters"))
    }

    /// Returns the current values of all counters, by name.
    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        let line = self.counters_line();
        let pairs = line.split(' ').filter_map(|word| word.split_once('='));
        pairs.map(|(name, count)| (name.to_string(), count.parse().expect("invalid counter value"))).collect()
    }

    /// Stops the node with SIGTERM and returns its last `counters` line.
    pub fn stop(mut self) -> String {
        self.signal(Signal::TERM);
        let counters = self.wait_for_log("counters");
        self.process.expect_success();
        counters
    }
}

impl Drop for TestNode {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("unread log of the node:\n{}", self.process.kill_and_read_log());
        }
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Establishes a connection for a new client with this number, at the server that the node selects. Returns the
/// client's end and the server's end.
pub fn established_client(bench: &TestNode, number: u64) -> (Peer, Peer) {
    let mut client = bench.connect_client(&request_line(number));
    let (_, mut attempt) = accept_any(&bench.servers);
    establish(&mut client, &mut attempt);
    (client, attempt)
}

/// Accepts an attempt at its server and checks that the client is notified of the established connection.
pub fn establish(client: &mut Peer, attempt: &mut Peer) {
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
}

fn start_options(program: &str, amqp: Option<&str>, args: &[&str], env: &[(&str, &str)]) -> StartOptions {
    let mut all_args = vec!["serve".to_string()];
    if let Some(text) = amqp {
        let path = temp_file("amqp.json", text);
        all_args.extend(["--amqp", path.to_str().expect("the path is not UTF-8")].map(str::to_string));
    }
    all_args.extend(args.iter().map(|arg| arg.to_string()));
    let env = env.iter().map(|(name, value)| (name.to_string(), value.to_string()));
    StartOptions { program: program.to_string(), args: all_args, env: env.collect() }
}

fn local_addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("failed to read a socket address")
}

/// Parses the address in a log line about a listener.
fn listen_addr(line: &str) -> SocketAddr {
    log_field(line, "listen").parse().expect("invalid address in the log")
}

//! The test bench: one node with its discovery and its servers.

use crate::listeners::{accept_any, listener, try_accept};
use crate::log::{counter_value, log_field};
use crate::node_config::{config, instance, open_line, temp_file};
use crate::peer::Peer;
use crate::process::{NodeProcess, StartOptions};
use crate::watch_protocol::{chunk, list_json, ListKind, WATCH_RESPONSE_HEAD};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

/// Sockets that the node may hold, unless a test edits its configuration.
const NODE_SOCKETS: u32 = 256;

/// A node with its discovery and its servers.
pub struct Bench {
    /// The newest process of the node.
    pub process: NodeProcess,
    start_options: StartOptions,
    /// Where the node listens for clients of the text protocol.
    pub addr: SocketAddr,
    /// Where its AMQP frontend listens, if it is on.
    pub amqp: Option<SocketAddr>,
    /// The AMQP frontend's log line about its listeners.
    pub amqp_line: String,
    /// Where the node finds discovery.
    pub discovery: TcpListener,
    /// The listeners of its servers.
    pub servers: Vec<TcpListener>,
    /// The version of the endpoint list.
    pub generation: u64,
    config_path: PathBuf,
    config: String,
}

impl Bench {
    // ---- Starting ------------------------------------------------------------------------------

    /// Starts a node that knows this many servers and speaks text only.
    pub fn start(program: &str, servers: usize) -> Bench {
        Bench::with(program, (0..servers).map(|_| listener()).collect(), None)
    }

    /// Starts a node; the AMQP frontend is on where its settings are given.
    pub fn with(program: &str, servers: Vec<TcpListener>, amqp: Option<&str>) -> Bench {
        Bench::with_args(program, servers, amqp, &[], str::to_string)
    }

    /// Starts a node with further arguments and an edited configuration.
    pub fn with_args(
        program: &str,
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
    ) -> Bench {
        Bench::with_env(program, servers, amqp, args, edit, &[])
    }

    /// The same, in an environment with these variables.
    pub fn with_env(
        program: &str,
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
        env: &[(&str, &str)],
    ) -> Bench {
        let discovery = listener();
        let discovery_addr = local_addr(&discovery);
        let instances: Vec<String> = servers
            .iter()
            .enumerate()
            .map(|(index, server)| instance(index, local_addr(server), "ready"))
            .collect();
        let config = edit(&config(discovery_addr, &instances.join(","), NODE_SOCKETS));
        let config_path = temp_file("node.json", &config);
        let start_options = start_options(program, amqp, args, env);
        let mut process = start_options.spawn(&config_path);
        let addr = listen_addr(&process.wait_for_log("node started"));
        let amqp_line = amqp.map(|_| process.wait_for_log("AMQP frontend ready"));
        Bench {
            process,
            start_options,
            addr,
            amqp: amqp_line.as_deref().map(listen_addr),
            amqp_line: amqp_line.unwrap_or_default(),
            discovery,
            servers,
            generation: 1,
            config_path,
            config,
        }
    }

    /// Starts the next process of the node beside the present one; yields the process that ran before.
    pub fn start_successor(&mut self) -> NodeProcess {
        let successor = self.start_options.spawn(&self.config_path);
        std::mem::replace(&mut self.process, successor)
    }

    /// Starts the program once more with the node's configuration, for a process that is not to come up.
    pub fn spawn_duplicate(&self) -> NodeProcess {
        self.start_options.spawn(&self.config_path)
    }

    // ---- Discovery -----------------------------------------------------------------------------

    /// Discovery accepts the node's watch and begins its answer: there are no changes yet.
    pub fn accept_watch(&mut self) -> Peer {
        let mut watch = Peer::accept(&self.discovery);
        assert!(watch.read_line().starts_with("GET /registry/instances?watch=1&from="));
        while !watch.read_line().is_empty() {}
        watch.send(WATCH_RESPONSE_HEAD);
        watch
    }

    /// Sends a change of a server's lifecycle.
    pub fn update_lifecycle(&mut self, watch: &mut Peer, server: usize, lifecycle: &str) {
        let entry = instance(server, local_addr(&self.servers[server]), lifecycle);
        self.send_endpoint(watch, &entry);
    }

    /// Sends a change that brings this entry.
    pub fn send_endpoint(&mut self, watch: &mut Peer, entry: &str) {
        self.generation += 1;
        self.send_endpoints(watch, ListKind::Incremental, entry);
    }

    /// Sends a list of these entries, at the present version.
    pub fn send_endpoints(&mut self, watch: &mut Peer, kind: ListKind, entries: &str) {
        watch.send(&chunk(&list_json(self.generation, kind, entries)));
    }

    /// Discovery is at another address from now on, and the node reloads its configuration.
    pub fn move_discovery(&mut self) {
        let old = std::mem::replace(&mut self.discovery, listener());
        let old_addr = local_addr(&old).to_string();
        let new_addr = local_addr(&self.discovery).to_string();
        self.config = self.config.replace(&old_addr, &new_addr);
        self.reconfigure(str::to_string);
    }

    // ---- Configuration and signals -------------------------------------------------------------

    /// Replaces the configuration file by an edited one.
    pub fn rewrite_config(&mut self, edit: impl FnOnce(&str) -> String) {
        std::fs::write(&self.config_path, edit(&self.config)).expect("a file");
    }

    /// The same, and sends SIGHUP.
    pub fn reconfigure(&mut self, edit: impl FnOnce(&str) -> String) {
        self.rewrite_config(edit);
        self.signal(Signal::HUP);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Stops the process where it is ([`NodeProcess::pause`]).
    pub fn pause(&self) {
        self.process.pause();
    }

    /// Lets the process go on after [`Bench::pause`].
    pub fn resume(&self) {
        self.process.resume();
    }

    // ---- Clients and servers -------------------------------------------------------------------

    /// Connects a client and sends its line.
    pub fn connect_client(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.addr);
        client.send(line).send("\r\n");
        client
    }

    /// No attempt has reached a server that has not been accepted.
    pub fn assert_no_attempts(&mut self) {
        // A round trip through the node first: what it was to send then has been sent.
        self.counters();
        for server in &self.servers {
            assert!(try_accept(server).is_none(), "an attempt was made");
        }
    }

    // ---- Log and counters ----------------------------------------------------------------------

    /// The next log line whose text after the level begins with this message.
    pub fn wait_for_log(&mut self, message: &str) -> String {
        self.process.wait_for_log(message)
    }

    /// Makes the node log its counters; yields their line.
    fn counters_line(&mut self) -> String {
        self.signal(Signal::USR1);
        self.wait_for_log("counters")
    }

    /// The value of a counter.
    pub fn counter(&mut self, name: &str) -> u64 {
        counter_value(&self.counters_line(), name)
    }

    /// The line of a frontend's own counters.
    pub fn frontend_counters(&mut self, frontend: &str) -> String {
        // The line of an earlier signal may be in the log: the one behind these counters is the last.
        self.counters_line();
        self.wait_for_log(&format!("{frontend}-counters"))
    }

    /// All counters by name.
    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        let line = self.counters_line();
        let pairs = line.split(' ').filter_map(|word| word.split_once('='));
        pairs.map(|(name, count)| (name.to_string(), count.parse().expect("a number"))).collect()
    }

    /// Stops the node; yields the line of its last counters.
    pub fn stop(mut self) -> String {
        self.signal(Signal::TERM);
        let counters = self.wait_for_log("counters");
        self.process.expect_success();
        counters
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("the node's log:\n{}", self.process.kill_and_read_log());
        }
        let _ = std::fs::remove_file(&self.config_path);
    }
}

/// Establishes a new client with this number at whichever server; yields its two ends, the client's first.
pub fn established_client(bench: &Bench, number: u64) -> (Peer, Peer) {
    let mut client = bench.connect_client(&open_line(number));
    let (_, mut attempt) = accept_any(&bench.servers);
    establish(&mut client, &mut attempt);
    (client, attempt)
}

/// The server accepts the client of an attempt: both sides of the session are established.
pub fn establish(client: &mut Peer, attempt: &mut Peer) {
    attempt.read_line();
    attempt.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
}

fn start_options(program: &str, amqp: Option<&str>, args: &[&str], env: &[(&str, &str)]) -> StartOptions {
    let mut all_args = vec!["serve".to_string()];
    if let Some(text) = amqp {
        let path = temp_file("amqp.json", text);
        all_args.extend(["--amqp", path.to_str().expect("a path")].map(str::to_string));
    }
    all_args.extend(args.iter().map(|arg| arg.to_string()));
    let env = env.iter().map(|(name, value)| (name.to_string(), value.to_string()));
    StartOptions { program: program.to_string(), args: all_args, env: env.collect() }
}

fn local_addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("an address")
}

/// The address in a log line about a listener.
fn listen_addr(line: &str) -> SocketAddr {
    log_field(line, "listen").parse().expect("an address")
}

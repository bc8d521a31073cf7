//! One node on loopback, and the scripted peers round it: discovery, servers, clients. Every wait is
//! on an event; the time-out only ends a test that has gone wrong.
#![allow(dead_code)]

mod amqp;
mod handover;

#[allow(unused_imports)]
pub use amqp::*;
#[allow(unused_imports)]
pub use handover::{listen_for_handover, HandoverFolder, HandoverNode, HandoverPeer};

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const IO_TIMEOUT: Duration = Duration::from_secs(20);

/// One end of a connection, read by lines.
pub struct Peer {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(IO_TIMEOUT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        let reader = BufReader::new(stream.try_clone().expect("a second handle"));
        Peer { stream, reader }
    }

    pub fn connect(addr: SocketAddr) -> Peer {
        Peer::new(TcpStream::connect(addr).expect("the node listens"))
    }

    pub fn accept(listener: &TcpListener) -> Peer {
        accept_any(std::slice::from_ref(listener)).1
    }

    pub fn send(&mut self, text: &str) -> &mut Peer {
        self.stream.write_all(text.as_bytes()).expect("written");
        self
    }

    /// All that comes until the end of the connection, in order or by a reset.
    pub fn read_to_end(&mut self) -> String {
        let (mut all, mut chunk) = (Vec::new(), [0; 4096]);
        while let Ok(count) = self.reader.read(&mut chunk) {
            if count == 0 {
                break;
            }
            all.extend_from_slice(&chunk[..count]);
        }
        String::from_utf8_lossy(&all).into_owned()
    }

    /// Leaves with a reset.
    pub fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).expect("linger");
    }

    /// The next line without its end; empty at the end of the connection.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(_) => line.trim_end().to_string(),
            Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => String::new(),
            Err(e) => panic!("no line: {e}"),
        }
    }

    pub fn read_exact(&mut self, bytes: &mut [u8]) {
        self.reader.read_exact(bytes).expect("more bytes");
    }

    /// Reads whatever comes until the connection ends, which must be within this time.
    pub fn drain_until_closed(&mut self, within: Duration) {
        let until = Instant::now() + within;
        let mut chunk = [0; 4096];
        while matches!(self.reader.read(&mut chunk), Ok(count) if count > 0) {
            assert!(Instant::now() < until, "it goes on");
        }
        assert!(Instant::now() < until, "it was left open");
    }

    pub fn expect_closed(&mut self) {
        assert_eq!(self.read_line(), "", "the connection ends");
    }
}

/// Accepts a connection at whichever of these it comes to.
pub fn accept_any(listeners: &[TcpListener]) -> (usize, Peer) {
    let until = Instant::now() + IO_TIMEOUT;
    while Instant::now() < until {
        for (at, listener) in listeners.iter().enumerate() {
            listener.set_nonblocking(true).expect("non-blocking");
            let accepted = listener.accept();
            listener.set_nonblocking(false).expect("blocking");
            if let Ok((stream, _)) = accepted {
                return (at, Peer::new(stream));
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("nothing came")
}

/// A server whose queue is full: connections to it come up once it lets them in.
pub struct FullBacklogServer {
    pub listener: TcpListener,
    held: Vec<TcpStream>,
}

impl FullBacklogServer {
    pub fn new() -> FullBacklogServer {
        use rustix::net::{bind, listen, socket, AddressFamily, SocketType};
        let fd = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&fd, &SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        listen(&fd, 0).expect("a short queue");
        let listener = TcpListener::from(fd);
        let addr = listener.local_addr().expect("an address");
        let mut held = Vec::new();
        while let Ok(one) = TcpStream::connect_timeout(&addr, Duration::from_millis(100)) {
            held.push(one);
        }
        FullBacklogServer { listener, held }
    }

    /// Lets those in that wait; gives the first that is not one of its own.
    pub fn accept_next(&mut self) -> Peer {
        loop {
            let (_, peer) = accept_any(std::slice::from_ref(&self.listener));
            let from = peer.stream.peer_addr().expect("an address");
            if !self.held.iter().any(|one| one.local_addr().is_ok_and(|own| own == from)) {
                return peer;
            }
        }
    }
}

/// A new client with this number stands at whichever server.
pub fn established_client(bench: &Bench, number: u64) -> (Peer, Peer) {
    let mut client = bench.connect_client(&open_line(number));
    let (_, mut task) = accept_any(&bench.servers);
    task.read_line();
    task.send("UP r1\r\n");
    assert_eq!(client.read_line(), "UP r1");
    (client, task)
}

/// A node with its discovery and its servers.
pub struct Bench {
    pub child: Child,
    log: BufReader<std::process::ChildStderr>,
    start: Start,
    pub addr: SocketAddr,
    pub amqp: Option<SocketAddr>,
    /// What the AMQP front said of where it listens.
    pub amqp_line: String,
    pub discovery: TcpListener,
    pub servers: Vec<TcpListener>,
    pub generation: u64,
    files: PathBuf,
    config: String,
}

/// How a node's processes are started.
#[derive(Clone, Default)]
pub struct Start {
    pub args: Vec<String>,
    pub env: Vec<(String, String)>,
}

impl Start {
    fn process(&self, config: &std::path::Path) -> (Child, BufReader<std::process::ChildStderr>) {
        let args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        let env = self.env.iter().map(|(name, value)| (name, value));
        let mut child = node_command(&args, config).envs(env).spawn().expect("the node starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        (child, log)
    }
}

/// A first line whose id and key are this number's: the id of one that is open is refused.
/// Each in a group of its own, since a group draws the same few servers.
pub fn open_line(number: u64) -> String {
    format!("OPEN {number:x} {number:x} c=live-readings,t=acme,d=1200,g=5c{number:x}")
}

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
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
        // On the platform this class may be repeated too; here it shows what must not be.
        class("station-notes", "non_idempotent"),
    )
}

pub fn instance(at: usize, addr: SocketAddr, lifecycle: &str) -> String {
    format!(
        r#"{{"instanceId":"s-{at}","hostPort":"{addr}","zone":"a","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}"#
    )
}

/// A file of this test's own.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("sparbank-{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

pub fn node_command(args: &[&str], config: &std::path::Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparbank"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::piped()).stderr(Stdio::piped());
    for name in ["NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"] {
        command.env_remove(name);
    }
    command
}

impl Bench {
    /// Starts a node that knows this many servers and speaks text only.
    pub fn start(servers: usize) -> Bench {
        Bench::with((0..servers).map(|_| listener()).collect(), None)
    }

    /// Starts a node; the AMQP front is on where its settings are given.
    pub fn with(servers: Vec<TcpListener>, amqp: Option<&str>) -> Bench {
        Bench::with_args(servers, amqp, &[], str::to_string)
    }

    /// Starts a node with further arguments and an edited configuration.
    pub fn with_args(
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
    ) -> Bench {
        Bench::with_env(servers, amqp, args, edit, &[])
    }

    /// The same, in an environment with these variables.
    pub fn with_env(
        servers: Vec<TcpListener>,
        amqp: Option<&str>,
        args: &[&str],
        edit: fn(&str) -> String,
        env: &[(&str, &str)],
    ) -> Bench {
        let discovery = listener();
        let address = |l: &TcpListener| l.local_addr().expect("an address");
        let list: Vec<String> =
            servers.iter().enumerate().map(|(at, l)| instance(at, address(l), "ready")).collect();
        let config = edit(&config(address(&discovery), &list.join(","), 256));
        let files = temp_file("node.json", &config);
        let amqp_file = amqp.map(|text| temp_file("amqp.json", text));
        let mut start = Start::default();
        start.args.push("serve".to_string());
        if let Some(path) = &amqp_file {
            start.args.extend(["--amqp", path.to_str().expect("a path")].map(str::to_string));
        }
        start.args.extend(args.iter().map(|arg| arg.to_string()));
        start.env.extend(env.iter().map(|(name, value)| (name.to_string(), value.to_string())));
        let (child, log) = start.process(&files);
        let addr = discovery.local_addr().expect("an address");
        let mut bench = Bench {
            child,
            log,
            start,
            addr,
            amqp: None,
            amqp_line: String::new(),
            discovery,
            servers,
            generation: 1,
            files,
            config,
        };
        let started = bench.wait_for_log("started");
        bench.addr = listen(&started);
        if amqp.is_some() {
            bench.amqp_line = bench.wait_for_log("amqp");
            bench.amqp = Some(listen(&bench.amqp_line));
        }
        bench
    }

    /// Starts the program once more beside itself; gives the process that ran before.
    pub fn start_successor(&mut self) -> Process {
        let (child, log) = self.start.process(&self.files);
        let (child, log) = (std::mem::replace(&mut self.child, child), std::mem::replace(&mut self.log, log));
        Process { child, log }
    }

    /// The next log line about this.
    pub fn wait_for_log(&mut self, event: &str) -> String {
        next_line(&mut self.log, event)
    }

    /// Discovery accepts the node's watch and brings the list that the node knows.
    pub fn accept_watch(&mut self) -> Peer {
        let mut watch = Peer::accept(&self.discovery);
        assert!(watch.read_line().starts_with("GET /registry/instances?watch=1&from="));
        while !watch.read_line().is_empty() {}
        watch.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch
    }

    /// One entry of the list has changed.
    pub fn update_lifecycle(&mut self, watch: &mut Peer, at: usize, lifecycle: &str) {
        let entry = instance(at, self.servers[at].local_addr().expect("an address"), lifecycle);
        self.send_endpoint(watch, &entry);
    }

    /// A change that brings this entry.
    pub fn send_endpoint(&mut self, watch: &mut Peer, entry: &str) {
        self.generation += 1;
        self.send_endpoints(watch, false, entry);
    }

    /// A list that brings these entries, of the present version.
    pub fn send_endpoints(&mut self, watch: &mut Peer, reset: bool, entries: &str) {
        let list =
            format!(r#"{{"generation":{},"reset":{reset},"instances":[{entries}]}}"#, self.generation) + "\n";
        watch.send(&format!("{:x}\r\n{list}\r\n", list.len()));
    }

    pub fn connect_client(&self, line: &str) -> Peer {
        let mut client = Peer::connect(self.addr);
        client.send(line).send("\r\n");
        client
    }

    /// Replaces the configuration file by an edited one.
    pub fn rewrite_config(&mut self, edit: impl FnOnce(&str) -> String) {
        std::fs::write(&self.files, edit(&self.config)).expect("a file");
    }

    /// The same, and sends SIGHUP.
    pub fn reconfigure(&mut self, edit: impl FnOnce(&str) -> String) {
        self.rewrite_config(edit);
        self.signal("-HUP");
    }

    /// Starts the program once more, which is not to come up.
    pub fn spawn_duplicate(&self) -> Child {
        self.start.process(&self.files).0
    }

    /// Discovery is from now on at another address, and the node is told.
    pub fn move_discovery(&mut self) {
        let old = std::mem::replace(&mut self.discovery, listener());
        let [old, new] = [&old, &self.discovery].map(|l| l.local_addr().expect("an address").to_string());
        self.config = self.config.replace(&old, &new);
        self.reconfigure(str::to_string);
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Stops the process where it is: what happens until [`Bench::resume`] meets it in one turn.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Nothing came to any server since it was looked last.
    pub fn assert_no_attempts(&mut self) {
        self.counters();
        for server in &self.servers {
            server.set_nonblocking(true).expect("non-blocking");
            assert!(server.accept().is_err(), "an attempt was made");
            server.set_nonblocking(false).expect("blocking");
        }
    }

    /// The counters, once they say this of a name.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("-USR1");
        let line = self.wait_for_log("counters");
        counter_value(&line, name)
    }

    /// A line of a front's own counters.
    pub fn front_counters(&mut self, front: &str) -> String {
        self.signal("-USR1");
        // Lines of earlier prints may still be there: the last one counts.
        self.wait_for_log("counters");
        self.wait_for_log(&format!("{front}-counters"))
    }

    /// All counters by name.
    pub fn counters(&mut self) -> BTreeMap<String, u64> {
        self.signal("-USR1");
        let line = self.wait_for_log("counters");
        let pairs = line.split(' ').filter_map(|word| word.split_once('='));
        pairs.map(|(name, count)| (name.to_string(), count.parse().expect("a number"))).collect()
    }

    /// Stops the node and gives its last counters.
    pub fn stop(mut self) -> String {
        self.signal("-TERM");
        let counters = self.wait_for_log("counters");
        assert!(self.child.wait().expect("it ends").success(), "exit 0");
        counters
    }
}

/// A process of a node that has been started once more since.
pub struct Process {
    pub child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl Process {
    /// The next log line about this.
    pub fn wait_for_log(&mut self, event: &str) -> String {
        next_line(&mut self.log, event)
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn next_line(log: &mut impl BufRead, event: &str) -> String {
    let mut line = String::new();
    loop {
        line.clear();
        assert!(log.read_line(&mut line).expect("a log line") > 0, "the log ended before {event}");
        if line.starts_with(&format!("sparbank {event}")) {
            return line.trim_end().to_string();
        }
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // What the node had to say of it.
            let _ = self.child.kill();
            let mut log = String::new();
            let _ = self.log.read_to_string(&mut log);
            eprintln!("the node's log:\n{log}");
        }
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.files);
    }
}

pub fn counter_value(line: &str, name: &str) -> u64 {
    let found = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name} is not in {line}"))
}

fn listen(line: &str) -> SocketAddr {
    let at = line.split("listen=").nth(1).expect("an address in the log");
    at.parse().expect("an address")
}

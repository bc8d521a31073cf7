//! A node: a process that the deploy file's `run` starts, and its configuration.

use crate::record::Record;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A running node.
pub struct Node {
    child: Child,
    pub text: SocketAddr,
    pub amqp: SocketAddr,
}

/// What differs between the nodes of the cases.
pub struct NodeOptions {
    pub discovery: SocketAddr,
    /// The list of servers as the node last held it.
    pub known: String,
    /// The effect of each of the three classes.
    pub effects: [&'static str; 3],
    /// The zones' names.
    pub zones: Vec<String>,
    /// The node's name, and further arguments of `serve`.
    pub name: &'static str,
    pub arguments: String,
    pub max_attempts: u32,
    /// The text and the AMQP address; free ones are picked if absent.
    pub addresses: Option<(SocketAddr, SocketAddr)>,
}

/// An address that nothing listens on.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The folder of the case's files, which `run.sh` removes.
pub fn folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE_FOLDER").expect("run.sh sets CASE_FOLDER"))
}

fn settings(options: &NodeOptions) -> String {
    let names = ["live-readings", "series-replay", "station-notes"];
    let class = |(name, effect): (&&str, &&str)| {
        format!(
            r#"{{"DedupScope":"all","Effect":"{effect}","HardLimitNs":1200000000,"LateShare":0.0,"Name":"{name}","ObjectiveNs":300000000,"Stream":true,"WindowNs":5000000000,"Worth":2.0}}"#
        )
    };
    let classes: Vec<String> = names.iter().zip(&options.effects).map(class).collect();
    let zones: Vec<String> = options.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
    let tenant = |n: usize| format!(r#"{{"Name":"subscriber-{n}","QuotaPerS":2.0,"Share":0.125}}"#);
    let tenants: Vec<String> = (1..=8).map(tenant).collect();
    format!(
        r#"{{"Callers":{{"MarksRetry":true}},"Discovery":"ask","Family":"conn",
"FamilyInfo":{{"Groups":true,"MessageAimNs":[100000000,250000000,150000000],"Mode":"proxy","ParkNs":0,"TellsDelay":true,"TellsLoad":true,"TenantQuotaConnections":[80.0,80.0,80.0,80.0,80.0,80.0,80.0,80.0]}},
"Feedback":{{"Fields":[],"Source":"off"}},"Goal":{{"Whole":1.0}},"Instances":1,"Kinds":["big-fast","big-std","small-slow"],
"Limits":{{"ConnIdleNs":15000000000,"DialTimeoutNs":250000000,"MaxAttempts":{},"MaxOpen":1000000,"MaxRetryAfterNs":600000000,"MayCancel":true,"Peers":false,"Probes":false,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576}},
"Me":0,"OverShareWorth":0.05,"Parties":[{}],"Profiles":[{}],"ResolutionNs":5000000,
"Rules":{{"AnswerSlackNs":20000000,"AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":23000000000,"FallMultiple":3.0,"StopSendingWithinNs":250000000,"TipAfterNs":2000000000}},
"Stages":["feed-servers"],"Tier":0,"WeightSource":"rough","WorthBy":"request","Zone":0,"Zones":[{}]}}"#,
        options.max_attempts,
        tenants.join(","),
        classes.join(","),
        zones.join(",")
    )
}

impl Node {
    /// Writes the configuration, starts the process and waits until it has answered `PING` with `PONG`.
    pub fn start(record: &Record, options: &NodeOptions) -> Node {
        let folder = folder().join(options.name);
        std::fs::create_dir_all(&folder).expect("a folder");
        let (text, amqp) = options.addresses.unwrap_or_else(|| (free_address(), free_address()));
        let config = format!(
            r#"{{"name":"{}","listen":"{text}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            options.name,
            options.discovery,
            options.known,
            settings(options)
        );
        std::fs::write(folder.join("node.json"), config).expect("the configuration can be written");
        std::fs::write(folder.join("amqp.json"), format!(r#"{{"listen":"{amqp}"}}"#)).expect("as above");
        let run = std::env::var("DEPLOY_RUN").expect("run.sh sets DEPLOY_RUN");
        let command = format!("{run} --amqp '{}' {}", folder.join("amqp.json").display(), options.arguments);
        let log =
            File::options().create(true).append(true).open(folder.join("node.log")).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("NODE_CONFIG", folder.join("node.json"))
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the node can be started");
        let mut pids =
            File::options().create(true).append(true).open(self::folder().join("pids")).expect("a file");
        writeln!(pids, "{}", child.id()).expect("as above");
        let node = Node { child, text, amqp };
        let started = Instant::now();
        while !node.answers_ping() {
            if started.elapsed() > Duration::from_secs(30) {
                eprintln!("the node is not ready within 30 s");
                std::process::exit(2);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        record.line("platform", "the node runs and answers PING with PONG");
        node
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.text) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut answer = [0; 6];
        stream.write_all(b"PING\r\n").is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer == b"PONG\r\n"
            && TcpStream::connect(self.amqp).is_ok()
    }

    /// Stops the process (SIGSTOP) or continues it (SIGCONT).
    pub fn set_stopped(&self, is_stopped: bool) {
        let signal = if is_stopped { 19 } else { 18 };
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        unsafe { kill(self.child.id() as i32, 9) };
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, and SIGKILL after the time that the pages give.
    pub fn stop(&mut self) {
        unsafe { kill(self.child.id() as i32, 15) };
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(3_700) {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

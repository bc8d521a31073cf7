//! A process of a node, and its log.

use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

/// How often the state of a process is looked up while it stops.
const PROCESS_STATE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Variables of the environment that configure a node: a test sets those that it needs.
const NODE_VARIABLES: [&str; 5] =
    ["NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"];

/// The levels of log lines, as they are printed.
const LOG_LEVELS: [&str; 5] = ["ERROR ", " WARN ", " INFO ", "DEBUG ", "TRACE "];

/// Whether a log line's text after the level begins with this message.
pub fn is_log_of(line: &str, message: &str) -> bool {
    LOG_LEVELS.iter().any(|level| line.strip_prefix(level).is_some_and(|text| text.starts_with(message)))
}

/// The value of a field of a log line.
pub fn log_field<'a>(line: &'a str, name: &str) -> &'a str {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    value.unwrap_or_else(|| panic!("{name} is not in {line}"))
}

/// The program with these arguments and this configuration file.
pub fn node_command(args: &[&str], config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sparbank"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::piped()).stderr(Stdio::piped());
    for name in NODE_VARIABLES {
        command.env_remove(name);
    }
    command
}

/// How a node's processes are started.
#[derive(Clone, Default)]
pub struct StartOptions {
    pub args: Vec<String>,
    pub env: Vec<(String, String)>,
}

impl StartOptions {
    pub fn spawn(&self, config: &Path) -> NodeProcess {
        let args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        let env = self.env.iter().map(|(name, value)| (name, value));
        let mut child = node_command(&args, config).envs(env).spawn().expect("the node starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        NodeProcess { child, log }
    }
}

/// A running process of a node. It is killed when this is dropped.
pub struct NodeProcess {
    pub child: Child,
    log: BufReader<ChildStderr>,
}

impl NodeProcess {
    /// The next log line whose text after the level begins with this message.
    pub fn wait_for_log(&mut self, message: &str) -> String {
        self.wait_for_any_log(&[message])
    }

    /// The next log line whose text after the level begins with any of these messages.
    pub fn wait_for_any_log(&mut self, messages: &[&str]) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(
                self.log.read_line(&mut line).expect("a log line") > 0,
                "the log ended before {messages:?}"
            );
            if messages.iter().any(|message| is_log_of(&line, message)) {
                return line.trim_end().to_string();
            }
        }
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Stops the process where it is: what happens until [`NodeProcess::resume`] reaches it in one iteration of its event
    /// loop.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
            std::thread::sleep(PROCESS_STATE_POLL_INTERVAL);
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for the end of the process, which must be exit 0.
    pub fn expect_success(&mut self) {
        assert!(self.child.wait().expect("it ends").success(), "exit 0");
    }

    fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process; yields the log lines that nobody has read.
    pub fn kill_and_read_log(&mut self) -> String {
        self.kill();
        let mut log = String::new();
        let _ = self.log.read_to_string(&mut log);
        log
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

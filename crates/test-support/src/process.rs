//! Processes of the program under test: how they are started, signalled and ended, and what they log.

use crate::log::is_log_of;
use rustix::io::Errno;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// How often the state of a process is looked up while it stops.
const PROCESS_STATE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Variables of the environment that configure a node: a test sets those that it needs.
const NODE_VARIABLES: [&str; 5] =
    ["NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"];

/// Has a command read this configuration file, whatever the environment of the test says of nodes.
pub fn configure_node(command: &mut Command, config: &Path) {
    command.env("NODE_CONFIG", config);
    for name in NODE_VARIABLES {
        command.env_remove(name);
    }
}

/// The program under test with these arguments and this configuration file. Its output is captured.
pub fn node_command(program: &str, args: &[&str], config: &Path) -> Command {
    let mut command = Command::new(program);
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    configure_node(&mut command, config);
    command
}

/// A running process. It is killed when this is dropped.
#[derive(Debug)]
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Starts a process.
    pub fn spawn(command: &mut Command) -> ChildProcess {
        ChildProcess(command.spawn().expect("the program starts"))
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.0.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// The process has ended.
    pub fn signal(&self, signal: Signal) -> Result<(), Errno> {
        kill_process(Pid::from_child(&self.0), signal)
    }

    /// Changes how many descriptors the system gives the process, and up to which number that can be raised again.
    ///
    /// # Errors
    /// The process has ended, or had a lower maximum.
    pub fn limit_descriptors(&self, current: u64, maximum: u64) -> Result<(), Errno> {
        let limit = Rlimit { current: Some(current), maximum: Some(maximum) };
        prlimit(Some(Pid::from_child(&self.0)), Resource::Nofile, limit).map(drop)
    }

    /// How the process has ended, if it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.0.wait().expect("it ends")
    }

    /// Kills the process, if it has not ended already, and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How a node's processes are started.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// The path of the program under test.
    pub program: String,
    /// Its arguments.
    pub args: Vec<String>,
    /// Further variables of its environment, by name.
    pub env: Vec<(String, String)>,
}

impl StartOptions {
    /// Starts a process with this configuration file.
    pub fn spawn(&self, config: &Path) -> NodeProcess {
        let args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        let env = self.env.iter().map(|(name, value)| (name, value));
        let mut process = ChildProcess::spawn(node_command(&self.program, &args, config).envs(env));
        let log = BufReader::new(process.0.stderr.take().expect("its log"));
        NodeProcess { process, log }
    }
}

/// A running process of a node, and its log. It is killed when this is dropped.
#[derive(Debug)]
pub struct NodeProcess {
    process: ChildProcess,
    log: BufReader<ChildStderr>,
}

impl NodeProcess {
    /// The next log line whose text after the level begins with this message.
    pub fn wait_for_log(&mut self, message: &str) -> String {
        self.wait_for_any_log(&[message])
    }

    /// The next log line whose text after the level begins with any of these messages.
    ///
    /// # Panics
    /// The process ends before it logs such a line.
    pub fn wait_for_any_log(&mut self, messages: &[&str]) -> String {
        let mut skipped = String::new();
        loop {
            let mut line = String::new();
            if self.log.read_line(&mut line).expect("a log line") == 0 {
                let status = self.process.wait();
                panic!("the log ended before {messages:?}, with {status}, after:\n{skipped}");
            }
            if messages.iter().any(|message| is_log_of(&line, message)) {
                return line.trim_end().to_string();
            }
            skipped.push_str(&line);
        }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("the process was not waited for");
    }

    /// Stops the process where it is: what happens until [`NodeProcess::resume`] reaches it in one iteration of its event
    /// loop.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.id());
        while !std::fs::read_to_string(&stat).expect("its state").contains(") T ") {
            std::thread::sleep(PROCESS_STATE_POLL_INTERVAL);
        }
    }

    /// Lets the process go on after [`NodeProcess::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Changes how many descriptors the system gives the process, and up to which number that can be raised again.
    pub fn limit_descriptors(&self, current: u64, maximum: u64) {
        self.process.limit_descriptors(current, maximum).expect("a limit");
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait()
    }

    /// Waits for the end of the process, which must be exit 0.
    pub fn expect_success(&mut self) {
        assert!(self.wait().success(), "exit 0");
    }

    /// Kills the process; yields the log lines that nobody has read.
    pub fn kill_and_read_log(&mut self) -> String {
        self.process.kill();
        let mut log = String::new();
        let _ = self.log.read_to_string(&mut log);
        log
    }
}

//! Processes of the program under test: starting, signalling and stopping them, and reading their logs.

use crate::child_command::{child_command, spawn};
use crate::log::is_log_of;
use rustix::io::Errno;
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io::{BufRead, BufReader, Read};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::time::Duration;

/// Interval between checks of a process's state after SIGSTOP.
const PROCESS_STATE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Environment variables that configure a node. They are not inherited; a test sets those that it needs.
const NODE_VARIABLES: [&str; 5] =
    ["NODE_NAME", "NODE_LISTEN", "NODE_OPERATOR", "NODE_DISCOVERY", "NODE_PASSED_SOCKET"];

/// Sets the configuration file of a command and removes the node variables inherited from the test's environment.
pub fn configure_node(command: &mut Command, config: &Path) {
    command.env("NODE_CONFIG", config);
    for name in NODE_VARIABLES {
        command.env_remove(name);
    }
}

/// A command that runs the program under test with these arguments and this configuration file, its output captured.
pub fn node_command(program: &str, args: &[&str], config: &Path) -> Command {
    let mut command = child_command(program);
    command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
    configure_node(&mut command, config);
    command
}

/// A running process, killed on drop and when this process ends.
#[derive(Debug)]
pub struct ChildProcess(Child);

impl ChildProcess {
    /// Spawns the process of a [`child_command`].
    pub fn spawn(command: Command) -> ChildProcess {
        ChildProcess(spawn(command).expect("failed to start the program under test"))
    }

    /// The operating system's id of the process.
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

    /// Sets the soft and the hard limit on the process's open file descriptors.
    ///
    /// # Errors
    /// The process has ended, or its hard limit was lower.
    pub fn limit_descriptors(&self, current: u64, maximum: u64) -> Result<(), Errno> {
        let limit = Rlimit { current: Some(current), maximum: Some(maximum) };
        prlimit(Some(Pid::from_child(&self.0)), Resource::Nofile, limit).map(drop)
    }

    /// The exit status of the process, if it has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.0.try_wait().ok().flatten()
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        self.0.wait().expect("failed to wait for the process")
    }

    /// Kills the process, unless it has ended already, and waits for it.
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

/// The program, arguments and environment of a node's processes.
#[derive(Clone, Debug)]
pub struct StartOptions {
    /// The path of the program under test.
    pub program: String,
    /// Arguments that follow the program on the command line.
    pub args: Vec<String>,
    /// Additional environment variables, as pairs of name and value.
    pub env: Vec<(String, String)>,
}

impl StartOptions {
    /// Starts a node process with this configuration file.
    pub fn spawn(&self, config: &Path) -> NodeProcess {
        let args: Vec<&str> = self.args.iter().map(String::as_str).collect();
        let env = self.env.iter().map(|(name, value)| (name, value));
        let mut command = node_command(&self.program, &args, config);
        command.envs(env);
        let mut process = ChildProcess::spawn(command);
        let log = BufReader::new(process.0.stderr.take().expect("stderr is piped"));
        NodeProcess { process, log }
    }
}

/// A running node process and its log. The process is killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    process: ChildProcess,
    log: BufReader<ChildStderr>,
}

impl NodeProcess {
    /// Reads the log up to the next line whose text after the level begins with this message, and returns that line.
    pub fn wait_for_log(&mut self, message: &str) -> String {
        self.wait_for_any_log(&[message])
    }

    /// Reads the log up to the next line whose text after the level begins with any of these messages, and returns
    /// that line.
    ///
    /// # Panics
    /// The process ended before it logged such a line.
    pub fn wait_for_any_log(&mut self, messages: &[&str]) -> String {
        let mut skipped = String::new();
        loop {
            let mut line = String::new();
            if self.log.read_line(&mut line).expect("failed to read the log") == 0 {
                let status = self.process.wait();
                panic!(
                    "process ended ({status}) without logging any of {messages:?}; its log was:\n{skipped}"
                );
            }
            if messages.iter().any(|message| is_log_of(&line, message)) {
                return line.trim_end().to_string();
            }
            skipped.push_str(&line);
        }
    }

    /// The operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// The peak of the process's resident memory, in octets.
    pub fn peak_memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.id());
        let status = std::fs::read_to_string(path).expect("the status of the process");
        let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("VmHWM");
        let kilobytes = line.split_whitespace().nth(1).and_then(|number| number.parse::<u64>().ok());
        kilobytes.expect("a number of kB") * 1024
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("failed to signal the process");
    }

    /// Stops the process (SIGSTOP) and waits until it has stopped. Events that occur before [`NodeProcess::resume`]
    /// are handled in a single iteration of its event loop.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
        let stat = format!("/proc/{}/stat", self.id());
        while !std::fs::read_to_string(&stat).expect("failed to read the process state").contains(") T ") {
            std::thread::sleep(PROCESS_STATE_POLL_INTERVAL);
        }
    }

    /// Continues the process after [`NodeProcess::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sets the soft and the hard limit on the process's open file descriptors.
    pub fn limit_descriptors(&self, current: u64, maximum: u64) {
        self.process.limit_descriptors(current, maximum).expect("failed to set the descriptor limit");
    }

    /// The exit status of the process, if it has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.process.try_wait()
    }

    /// Waits for the process to end.
    pub fn wait(&mut self) -> ExitStatus {
        self.process.wait()
    }

    /// Waits for the process to end and checks that it exited with code 0.
    pub fn expect_success(&mut self) {
        let status = self.wait();
        assert!(status.success(), "the process failed: {status}");
    }

    /// Kills the process and returns the rest of its log that has not been read.
    pub fn kill_and_read_log(&mut self) -> String {
        self.process.kill();
        let mut log = String::new();
        let _ = self.log.read_to_string(&mut log);
        log
    }
}

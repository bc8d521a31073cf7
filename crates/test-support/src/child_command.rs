//! Commands whose processes end with the process that has started them, even if that one is killed.

use std::ffi::OsStr;
use std::io;
use std::process::{Child, Command};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Mutex, OnceLock};

/// A command to be spawned, and where its process is returned.
struct SpawnRequest {
    command: Command,
    reply: Sender<io::Result<Child>>,
}

/// A command that runs a program; arguments are appended as usual. The kernel kills its process when the thread that has
/// spawned it ends, see `spawn`.
pub fn child_command(program: impl AsRef<OsStr>) -> Command {
    let mut command = Command::new(env!("TEST_LAUNCHER"));
    command.arg(std::process::id().to_string()).arg(program);
    command
}

/// Spawns the process of a [`child_command`] from a thread that lives as long as this process, so that the child ends
/// with this process and not with the calling thread.
pub(crate) fn spawn(command: Command) -> io::Result<Child> {
    static SPAWNER: OnceLock<Mutex<Sender<SpawnRequest>>> = OnceLock::new();
    let (reply, spawned) = channel();
    let spawner = SPAWNER.get_or_init(|| Mutex::new(start_spawner()));
    let sender = spawner.lock().expect("no thread panics while it sends a request").clone();
    sender.send(SpawnRequest { command, reply }).expect("the spawning thread runs");
    spawned.recv().expect("the spawning thread runs")
}

fn start_spawner() -> Sender<SpawnRequest> {
    let (sender, requests) = channel::<SpawnRequest>();
    std::thread::spawn(move || {
        for SpawnRequest { mut command, reply } in requests {
            // Fails if the caller has given up waiting.
            let _ = reply.send(command.spawn());
        }
    });
    sender
}

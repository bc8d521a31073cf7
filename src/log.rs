//! The log on standard error: the subscriber for the events of the `tracing` macros. `docs/ON-CALL.md` lists them.
//!
//! A line is `LEVEL MESSAGE key=value ...`. The node has one thread, which serves all clients, so a log that nobody reads
//! must not block it: a line that standard error does not take at once is dropped, and the next one that it takes is
//! preceded by a warning with the number of those dropped.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// What a pipe that is writable takes without blocking (`PIPE_BUF`).
const MAX_WRITE_BYTES: usize = 4096;

/// Lines dropped since the last one that was written.
static DROPPED_UNREPORTED: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Which events are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verbosity {
    /// What an operator needs.
    #[default]
    Normal,
    /// Besides, an event for each attempt, timer and call to discovery (`--trace`).
    Trace,
}

/// Writes the events of this process to standard error from now on. A second call changes nothing.
pub fn init(verbosity: Verbosity) {
    let max_level = match verbosity {
        Verbosity::Normal => Level::INFO,
        Verbosity::Trace => Level::TRACE,
    };
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(max_level)
        .with_writer(NonBlockingStderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .finish();
    // It fails where a subscriber is set already, as in a process that runs several tests.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes each line to standard error, or drops it. Errors are ignored: a closed standard error is no reason to stop
/// serving.
#[derive(Clone, Copy, Debug)]
struct NonBlockingStderr;

impl<'a> MakeWriter<'a> for NonBlockingStderr {
    type Writer = NonBlockingStderr;

    fn make_writer(&'a self) -> NonBlockingStderr {
        NonBlockingStderr
    }
}

impl Write for NonBlockingStderr {
    /// The subscriber passes one complete line in each call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let dropped = DROPPED_UNREPORTED.load(Ordering::Relaxed);
        if dropped > 0 && write_at_once(format!(" WARN log lines dropped lines={dropped}\n").as_bytes()) {
            DROPPED_UNREPORTED.store(0, Ordering::Relaxed);
        }
        if !write_at_once(line) {
            DROPPED_UNREPORTED.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes text in pieces that do not block. False where standard error takes nothing now; of a long text a part may have
/// been written then.
fn write_at_once(text: &[u8]) -> bool {
    text.chunks(MAX_WRITE_BYTES).all(|piece| {
        let is_writable = is_writable();
        if is_writable {
            let _ = io::stderr().write_all(piece);
        }
        is_writable
    })
}

/// Whether standard error takes bytes now. Where the system does not say, it is written to.
fn is_writable() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut descriptors, Some(&at_once)) {
        Ok(0) => false,
        Ok(_) | Err(_) => true,
    }
}

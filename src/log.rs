//! Logging to standard error: the subscriber for `tracing` events. `docs/ON-CALL.md` lists the events.
//!
//! A line is `LEVEL MESSAGE key=value ...`. One thread serves all clients, so it must not block when the reader of the
//! log falls behind: a line that cannot be written to standard error without blocking is dropped. The next line that is
//! written is preceded by a warning with the number of dropped lines.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use tracing::Level;
use tracing_subscriber::fmt::MakeWriter;

/// The number of bytes that a writable pipe accepts without blocking (`PIPE_BUF`).
const MAX_WRITE_BYTES: usize = 4096;

/// Dropped lines that no warning has reported yet.
static UNREPORTED_DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Verbosity {
    /// Errors, warnings and informational events, for operators.
    #[default]
    Normal,
    /// Additionally one event for each attempt, timer and discovery request (`--trace`).
    Trace,
}

/// Starts writing the events of this process to standard error. A second call has no effect.
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
    // Fails if a subscriber is already set, as in a process that runs several tests.
    let _ = tracing::subscriber::set_global_default(subscriber);
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Writes each line to standard error, or drops it if that would block. Errors are ignored: the node continues to serve
/// clients if standard error is closed.
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
        let dropped = UNREPORTED_DROPPED_LINES.load(Ordering::Relaxed);
        if dropped > 0 && try_write(format!(" WARN log lines dropped lines={dropped}\n").as_bytes()) {
            UNREPORTED_DROPPED_LINES.store(0, Ordering::Relaxed);
        }
        if !try_write(line) {
            UNREPORTED_DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes text in pieces, each without blocking. Returns false if a piece would block; the pieces before it have been
/// written then.
fn try_write(text: &[u8]) -> bool {
    text.chunks(MAX_WRITE_BYTES).all(|piece| {
        let is_writable = is_writable();
        if is_writable {
            let _ = io::stderr().write_all(piece);
        }
        is_writable
    })
}

/// Returns whether standard error can be written without blocking. If polling fails, it is assumed to be writable.
fn is_writable() -> bool {
    let stderr = io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut descriptors, Some(&no_wait)) {
        Ok(0) => false,
        Ok(_) | Err(_) => true,
    }
}

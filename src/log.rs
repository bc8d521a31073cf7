//! Log lines on standard error, one an event: `sparbank EVENT key=value ...`. `docs/ON-CALL.md` lists them.
//!
//! A log whose reader stands still must not stop the node, whose one thread serves all clients: a line that standard
//! error does not take at once is dropped, and the next one that it takes is preceded by the number of those dropped.

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::fmt::Arguments;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What a pipe that is writable takes without blocking (`PIPE_BUF`).
const MAX_WRITE_BYTES: usize = 4096;

static TRACE_ENABLED: AtomicBool = AtomicBool::new(false);
/// Lines dropped since the last one that was written.
static DROPPED_UNREPORTED: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Writes trace lines from now on (`--trace`): a line for each attempt and each call to discovery.
pub fn enable_trace() {
    TRACE_ENABLED.store(true, Ordering::Relaxed);
}

/// Whether trace lines are written.
pub fn is_trace_enabled() -> bool {
    TRACE_ENABLED.load(Ordering::Relaxed)
}

/// Writes a trace line, where these are enabled.
pub fn trace(text: Arguments<'_>) {
    if is_trace_enabled() {
        line(text);
    }
}

/// Writes a log line, or drops it where its reader stands still. An error is ignored: a closed standard error is no
/// reason to stop serving.
pub fn line(text: Arguments<'_>) {
    let dropped = DROPPED_UNREPORTED.load(Ordering::Relaxed);
    if dropped > 0 && write_complete(&format!("sparbank log-dropped lines={dropped}\n")) {
        DROPPED_UNREPORTED.store(0, Ordering::Relaxed);
    }
    if !write_complete(&format!("sparbank {text}\n")) {
        DROPPED_UNREPORTED.fetch_add(1, Ordering::Relaxed);
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Lines dropped since the start of the process.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writes text in pieces that do not block. False where standard error takes nothing now; of a long text a part may have
/// been written then.
fn write_complete(text: &str) -> bool {
    text.as_bytes().chunks(MAX_WRITE_BYTES).all(|piece| {
        let is_taken = is_writable();
        if is_taken {
            let _ = std::io::stderr().write_all(piece);
        }
        is_taken
    })
}

/// Whether standard error takes bytes now. Where the system does not say, it is written to.
fn is_writable() -> bool {
    let stderr = std::io::stderr();
    let mut descriptors = [PollFd::new(&stderr, PollFlags::OUT)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    match poll(&mut descriptors, Some(&at_once)) {
        Ok(0) => false,
        Ok(_) | Err(_) => true,
    }
}

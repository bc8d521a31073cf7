//! Log lines on standard error, one an event: `sparbank EVENT key=value ...`. `docs/ON-CALL.md` lists them.

use std::fmt::Arguments;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};

static TRACE_ENABLED: AtomicBool = AtomicBool::new(false);

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

/// Writes a log line. An error is ignored: a closed standard error is no reason to stop serving.
pub fn line(text: Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "sparbank {text}");
}

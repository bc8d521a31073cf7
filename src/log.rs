//! One line an event on standard error: `sparbank EVENT key=value ...`. `docs/ON-CALL.md` lists them.

use std::sync::atomic::{AtomicBool, Ordering};

static TRACING: AtomicBool = AtomicBool::new(false);

/// From now on a line is written for each attempt and each call to discovery (`--trace`).
pub fn trace_on() {
    TRACING.store(true, Ordering::Relaxed);
}

/// Whether those lines are written.
pub fn tracing() -> bool {
    TRACING.load(Ordering::Relaxed)
}

/// Writes a line of the trace, where it is on.
pub fn trace(text: std::fmt::Arguments<'_>) {
    if tracing() {
        line(text);
    }
}

/// Writes a log line; a closed standard error is no reason to stop.
pub fn line(text: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "sparbank {text}");
}

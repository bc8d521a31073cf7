//! One line an event on standard error: `sparbank EVENT key=value ...`. `docs/ON-CALL.md` lists them.

/// Writes a log line; a closed standard error is no reason to stop.
pub fn line(text: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = writeln!(std::io::stderr(), "sparbank {text}");
}

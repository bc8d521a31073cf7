//! Splitting an input buffer into lines.

/// The maximum length of a line, including the line end.
pub(super) const MAX_LINE_BYTES: usize = 4096;

/// The result of reading the first line of an input buffer.
pub(super) enum LineRead {
    /// The buffer does not contain a complete line yet.
    Incomplete,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// A complete line, including the line end.
    Complete(Vec<u8>),
}

/// Removes the first complete line from an input buffer.
pub(super) fn take_line(input: &mut Vec<u8>) -> LineRead {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end < MAX_LINE_BYTES => LineRead::Complete(input.drain(..=end).collect()),
        None if input.len() < MAX_LINE_BYTES => LineRead::Incomplete,
        _ => LineRead::TooLong,
    }
}

#[cfg(test)]
mod tests;

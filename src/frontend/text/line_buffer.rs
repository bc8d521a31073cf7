//! Lines out of an input buffer.

/// The longest line, its end included.
pub(super) const MAX_LINE_BYTES: usize = 4096;

/// The first line of an input buffer.
pub(super) enum LineRead {
    /// No line is complete yet.
    Incomplete,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// A line with its end.
    Complete(Vec<u8>),
}

/// Takes the first complete line out of an input buffer.
pub(super) fn take_line(input: &mut Vec<u8>) -> LineRead {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end < MAX_LINE_BYTES => LineRead::Complete(input.drain(..=end).collect()),
        None if input.len() < MAX_LINE_BYTES => LineRead::Incomplete,
        _ => LineRead::TooLong,
    }
}

#[cfg(test)]
mod tests;

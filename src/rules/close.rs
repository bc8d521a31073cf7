//! What must be true when a client's connection is closed.

use super::Violation;

/// What is known of a client's connection that this node ends.
#[derive(Clone, Copy, Debug)]
pub struct CloseInputs {
    /// Its request has been read.
    pub has_request: bool,
    /// The request's final answer has been written.
    pub is_answered: bool,
    /// The request's session was established: its end needs `MOVE`, or the end of one side.
    pub is_established: bool,
    /// The client was told to come again, or one of the two sides had ended.
    pub is_announced: bool,
}

/// Checks a close.
///
/// # Errors
/// The rule that it breaks.
pub fn check_close(inputs: &CloseInputs) -> Result<(), Violation> {
    if inputs.has_request && !inputs.is_answered {
        return Err(Violation::ClosedUnanswered);
    }
    if inputs.is_established && !inputs.is_announced {
        return Err(Violation::CutOff);
    }
    Ok(())
}

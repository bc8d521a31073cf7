//! Whether a client's connection may be closed.

use super::Violation;

/// The state of a client's connection that this node is about to close.
#[derive(Clone, Copy, Debug)]
pub struct CloseInputs {
    /// Its request has been read.
    pub has_request: bool,
    /// The request's final answer has been written.
    pub is_answered: bool,
    /// The request's session is established: it ends after a `MOVE`, or when the client or the server ends it.
    pub is_established: bool,
    /// A `MOVE` was sent to the client, or the client or the server had ended the session.
    pub is_announced: bool,
}

/// Checks that a connection may be closed.
///
/// # Errors
/// The rule that closing it now breaks.
pub fn check_close(inputs: &CloseInputs) -> Result<(), Violation> {
    if inputs.has_request && !inputs.is_answered {
        return Err(Violation::ClosedUnanswered);
    }
    if inputs.is_established && !inputs.is_announced {
        return Err(Violation::CutOff);
    }
    Ok(())
}

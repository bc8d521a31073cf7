//! The check before a client's connection is closed.

use super::Violation;

/// The state of a client connection that this node is about to close.
#[derive(Clone, Copy, Debug)]
pub struct CloseInputs {
    /// The client's request has been read.
    pub has_request: bool,
    /// The request's final answer has been written.
    pub is_answered: bool,
    /// The request's session is established. It may only end after a `MOVE`, or when the client or the server ends it.
    pub is_established: bool,
    /// A `MOVE` was sent to the client, or the client or the server has ended the session.
    pub is_end_announced: bool,
}

/// Checks whether a connection may be closed.
///
/// # Errors
/// Returns the rule that closing the connection now would break.
pub fn check_close(inputs: &CloseInputs) -> Result<(), Violation> {
    if inputs.has_request && !inputs.is_answered {
        return Err(Violation::ClosedUnanswered);
    }
    if inputs.is_established && !inputs.is_end_announced {
        return Err(Violation::CutOff);
    }
    Ok(())
}

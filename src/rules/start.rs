//! The check before a request that has been read is started.

/// The state of the node and of the client when the request line is complete.
#[derive(Clone, Copy, Debug)]
pub struct StartInputs {
    /// The process is about to exit and could not forward the answer any more.
    pub is_closing: bool,
    /// The client restores a session from before this process started. It waits until its attempt can be made.
    pub is_restored: bool,
    /// The client has sent more than the request line.
    pub has_more_input: bool,
    /// A request with the same id is open at this node.
    pub is_duplicate_id: bool,
    /// A descriptor for the connection to a server is available.
    pub has_descriptor: bool,
}

/// Why a request is answered without an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The client sent more than the request line before it was answered.
    #[error("more-input")]
    MoreInput,
    /// A request with the same id is open at this node. Servers close the connection when they receive a second one.
    #[error("duplicate-id")]
    DuplicateId,
    /// The process is about to exit.
    #[error("closing")]
    Closing,
    /// No descriptor is available.
    #[error("no-descriptor")]
    NoDescriptor,
}

/// Checks whether the request may be started.
///
/// # Errors
/// Returns the first reason against it.
pub fn may_start(inputs: &StartInputs) -> Result<(), StartRefusal> {
    if inputs.has_more_input {
        return Err(StartRefusal::MoreInput);
    }
    if inputs.is_duplicate_id {
        return Err(StartRefusal::DuplicateId);
    }
    if inputs.is_closing && !inputs.is_restored {
        return Err(StartRefusal::Closing);
    }
    if !inputs.has_descriptor && !inputs.is_restored {
        return Err(StartRefusal::NoDescriptor);
    }
    Ok(())
}

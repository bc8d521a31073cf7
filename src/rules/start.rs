//! Whether a request that has been read may be started.

/// The state of the node and the client when the client's request line is complete.
#[derive(Clone, Copy, Debug)]
pub struct StartInputs {
    /// The process is about to exit: it would not be there to forward the answer.
    pub is_closing: bool,
    /// The client restores a session that it had before this process started; no server is selected for it.
    pub is_restored: bool,
    /// The client has sent more than the request line.
    pub has_more_input: bool,
    /// A request with this id is open here.
    pub is_duplicate_id: bool,
    /// A descriptor is available for the connection to a server.
    pub has_descriptor: bool,
}

/// Why a request is answered without any attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The client sent more than the request line before its answer.
    #[error("more-input")]
    MoreInput,
    /// A request with this id is open here: servers close the connection on a second one.
    #[error("duplicate-id")]
    DuplicateId,
    /// The process is about to exit.
    #[error("closing")]
    Closing,
    /// No descriptor is available.
    #[error("no-descriptor")]
    NoDescriptor,
}

/// Whether the request may be started.
///
/// # Errors
/// The first reason against it.
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
    if !inputs.has_descriptor {
        return Err(StartRefusal::NoDescriptor);
    }
    Ok(())
}

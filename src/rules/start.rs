//! Whether a request that has been read is taken on.

use std::fmt;

/// What is known when a client's request line is complete.
#[derive(Clone, Copy, Debug)]
pub struct StartInputs {
    /// The process is about to end: what is forwarded now would not be answered from there.
    pub is_closing: bool,
    /// It is the connection of a client that was connected before the run, which is no placement.
    pub is_restored: bool,
    /// The client has sent more than its one line.
    pub has_more_input: bool,
    /// A request with this id is open here.
    pub is_duplicate_id: bool,
    /// There is a descriptor for the connection to a server.
    pub has_descriptor: bool,
}

/// Why a request is answered without any attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// Nothing may follow the line before the answer.
    MoreInput,
    /// Servers close on a second request with an open id.
    DuplicateId,
    /// The process is about to end.
    Closing,
    /// Descriptors run short.
    NoDescriptor,
}

impl fmt::Display for StartRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartRefusal::MoreInput => "more-input",
            StartRefusal::DuplicateId => "duplicate-id",
            StartRefusal::Closing => "closing",
            StartRefusal::NoDescriptor => "no-descriptor",
        })
    }
}

/// Whether the request is taken on.
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

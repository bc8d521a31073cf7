//! Whether a request may be written to a server now.

use crate::model::MAX_STALL;
use sparbank_time::MonotonicTime;
use std::fmt;

/// What is known at the moment at which the first byte of a request would be written to a server.
#[derive(Clone, Copy, Debug)]
pub struct SendInputs {
    /// The time, read after all that is stated here.
    pub now: MonotonicTime,
    /// The client has ended or reset its connection, or cancelled its request.
    pub client_gone: bool,
    /// The endpoint list has the server as one that takes new requests.
    pub server_ready: bool,
    /// The request waits for this attempt and no other.
    pub is_current_attempt: bool,
    /// The latest time for the write; see [`send_by`].
    pub send_by: MonotonicTime,
}

/// Why a request may not be written to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// Nobody waits for the answer.
    ClientGone,
    /// The request has been answered, or has another attempt.
    NotCurrent,
    /// The server drains or is gone.
    ServerNotReady,
    /// The deadline, or the window in which a repeat is discarded, is over.
    TooLate,
}

impl fmt::Display for SendRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SendRefusal::ClientGone => "client-gone",
            SendRefusal::NotCurrent => "not-current",
            SendRefusal::ServerNotReady => "server-not-ready",
            SendRefusal::TooLate => "too-late",
        })
    }
}

/// Whether the request may be written now.
///
/// # Errors
/// The first reason against it.
pub fn may_send(inputs: &SendInputs) -> Result<(), SendRefusal> {
    if inputs.client_gone {
        return Err(SendRefusal::ClientGone);
    }
    if !inputs.is_current_attempt {
        return Err(SendRefusal::NotCurrent);
    }
    if !inputs.server_ready {
        return Err(SendRefusal::ServerNotReady);
    }
    if inputs.now >= inputs.send_by {
        return Err(SendRefusal::TooLate);
    }
    Ok(())
}

/// The latest time at which an attempt may be written: before its request's deadline, and where it may repeat a run
/// that servers discard until `dedup_window_end`, so long before that end that a stall does not carry the write past it.
pub fn send_by(deadline: MonotonicTime, dedup_window_end: Option<MonotonicTime>) -> MonotonicTime {
    match dedup_window_end {
        Some(end) => deadline.min(end - MAX_STALL),
        None => deadline,
    }
}

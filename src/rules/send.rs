//! Whether a request may be written to a server now.

use crate::model::MAX_STALL;
use sparbank_time::MonotonicTime;

/// The client's and the server's side of an attempt, as a frontend observes them right before it sends the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The client has ended or reset its connection, or cancelled its request.
    pub client_gone: bool,
    /// The endpoint list has the server as one that takes new requests.
    pub server_ready: bool,
}

/// The state of an attempt right before the first byte of its request is written to the server.
#[derive(Clone, Copy, Debug)]
pub struct SendInputs {
    /// The time, read after `peers` was observed.
    pub now: MonotonicTime,
    /// The client's and the server's side.
    pub peers: PeerStatus,
    /// The request waits for this attempt and no other.
    pub is_current_attempt: bool,
    /// The latest time for the write; see [`send_by`].
    pub send_by: MonotonicTime,
}

/// Why a request may not be written to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The client no longer waits for the answer.
    #[error("client-gone")]
    ClientGone,
    /// The request has been answered, or has another attempt.
    #[error("not-current")]
    NotCurrent,
    /// The server is draining or was removed.
    #[error("server-not-ready")]
    ServerNotReady,
    /// The request's deadline, or the window in which servers discard a retry, is over.
    #[error("too-late")]
    TooLate,
}

/// Whether the request may be written now.
///
/// # Errors
/// The first reason against it.
pub fn may_send(inputs: &SendInputs) -> Result<(), SendRefusal> {
    if inputs.peers.client_gone {
        return Err(SendRefusal::ClientGone);
    }
    if !inputs.is_current_attempt {
        return Err(SendRefusal::NotCurrent);
    }
    if !inputs.peers.server_ready {
        return Err(SendRefusal::ServerNotReady);
    }
    if inputs.now >= inputs.send_by {
        return Err(SendRefusal::TooLate);
    }
    Ok(())
}

/// The time before which an attempt has to be written: its request's deadline, or, for a retry that servers discard only
/// until `dedup_window_end`, [`MAX_STALL`] before that end if it is earlier.
pub fn send_by(deadline: MonotonicTime, dedup_window_end: Option<MonotonicTime>) -> MonotonicTime {
    match dedup_window_end {
        Some(end) => deadline.min(end - MAX_STALL),
        None => deadline,
    }
}

//! The check before a request is written to a server.

use crate::model::MAX_STALL;
use sparbank_time::MonotonicTime;

/// The state of client and server, as observed by a frontend immediately before it sends the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The client has closed or reset its connection, or cancelled its request.
    pub client_disconnected: bool,
    /// The server is in the endpoint list and accepts new requests.
    pub server_ready: bool,
}

/// The state of an attempt immediately before the first byte of its request is written to the server.
#[derive(Clone, Copy, Debug)]
pub struct SendInputs {
    /// The current time, read after `peers` was observed.
    pub now: MonotonicTime,
    /// The state of client and server.
    pub peers: PeerStatus,
    /// The attempt is the request's current one.
    pub is_current_attempt: bool,
    /// The node's connections exceed a quota that applies to the request: the lease on which it was admitted is over.
    pub exceeds_quota: bool,
    /// The time before which the request must be written; see [`send_by`].
    pub send_by: MonotonicTime,
}

/// Why a request may not be written to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendRefusal {
    /// The client is no longer waiting for the answer.
    #[error("client-gone")]
    ClientDisconnected,
    /// The request has been answered, or another attempt is its current one.
    #[error("not-current")]
    NotCurrent,
    /// The lease on which the request was admitted is over.
    #[error("over-quota")]
    OverQuota,
    /// The server is draining or was removed.
    #[error("server-not-ready")]
    ServerNotReady,
    /// The request's deadline or the window in which servers discard a retry has passed.
    #[error("too-late")]
    TooLate,
}

/// Checks whether the request may be written now.
///
/// # Errors
/// Returns the first reason against it.
pub fn may_send(inputs: &SendInputs) -> Result<(), SendRefusal> {
    if inputs.peers.client_disconnected {
        return Err(SendRefusal::ClientDisconnected);
    }
    if !inputs.is_current_attempt {
        return Err(SendRefusal::NotCurrent);
    }
    if inputs.exceeds_quota {
        return Err(SendRefusal::OverQuota);
    }
    if !inputs.peers.server_ready {
        return Err(SendRefusal::ServerNotReady);
    }
    if inputs.now >= inputs.send_by {
        return Err(SendRefusal::TooLate);
    }
    Ok(())
}

/// Returns the time before which a request must be written to the server: its deadline or, for a retry that servers
/// discard only until `dedup_window_end`, [`MAX_STALL`] before that end if this is earlier.
pub fn send_by(deadline: MonotonicTime, dedup_window_end: Option<MonotonicTime>) -> MonotonicTime {
    match dedup_window_end {
        Some(end) => deadline.min(end - MAX_STALL),
        None => deadline,
    }
}

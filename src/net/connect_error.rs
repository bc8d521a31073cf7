//! Errors from starting a connection, classified by cause.

use crate::model::Outcome;
use rustix::io::Errno;

/// An error from starting a connection. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// This machine is temporarily short of descriptors, ports or memory. The peer may be healthy.
    #[error("shortage: {0}")]
    Shortage(#[source] Errno),
    /// This machine currently has no route to the peer. Other peers may be reachable.
    #[error("no route: {0}")]
    Unroutable(#[source] Errno),
    /// The peer refused the connection, or the system call failed for another reason.
    #[error("{0}")]
    Failed(#[source] Errno),
}

impl ConnectError {
    /// Returns the outcome of an attempt that needed the connection.
    pub fn outcome(self) -> Outcome {
        match self {
            ConnectError::Shortage(_) => Outcome::LocalShortage,
            ConnectError::Unroutable(_) => Outcome::NotSent,
            ConnectError::Failed(_) => Outcome::ConnectFailed,
        }
    }
}

impl From<Errno> for ConnectError {
    fn from(error: Errno) -> ConnectError {
        match error {
            Errno::MFILE
            | Errno::NFILE
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE
            | Errno::AGAIN => ConnectError::Shortage(error),
            Errno::NETUNREACH | Errno::NETDOWN => ConnectError::Unroutable(error),
            _ => ConnectError::Failed(error),
        }
    }
}

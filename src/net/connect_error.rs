//! Why a connection could not be started, and whose fault that is.

use crate::model::Outcome;
use rustix::io::Errno;

/// Why a connection could not be started. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// This machine is short of descriptors, ports or memory, which passes. It says nothing of the peer.
    #[error("shortage: {0}")]
    Shortage(#[source] Errno),
    /// This machine has no route to the peer now. Another peer may be reached.
    #[error("no route: {0}")]
    Unroutable(#[source] Errno),
    /// The peer refused, or the system will not connect to it.
    #[error("{0}")]
    Failed(#[source] Errno),
}

impl ConnectError {
    /// The outcome of an attempt that needed the connection.
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

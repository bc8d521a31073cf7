//! Why a connection could not be started, and whose fault that is.

use crate::model::Outcome;
use rustix::io::Errno;
use std::fmt;

/// Why a connection could not be started. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// This machine is short of descriptors, ports or memory, which passes. It says nothing of the peer.
    Shortage(Errno),
    /// This machine has no route to the peer now. Another peer may be reached.
    Unroutable(Errno),
    /// The peer refused, or the system will not connect to it.
    Failed(Errno),
}

impl ConnectError {
    /// What an attempt that needed the connection comes to.
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

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Shortage(error) => write!(f, "shortage: {error}"),
            ConnectError::Unroutable(error) => write!(f, "no route: {error}"),
            ConnectError::Failed(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for ConnectError {}

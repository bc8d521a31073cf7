//! The clients' listening socket, where the platform opens it and passes it to every process.

use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily};
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::env::VarError;
use std::io;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// The environment variable with the number of the passed descriptor, in decimal.
pub const VARIABLE: &str = "NODE_PASSED_SOCKET";

/// Why the descriptor that [`VARIABLE`] names cannot be used. The text is one line that names the variable.
#[derive(Debug, Error)]
pub enum PassedListenerError {
    /// The value of the variable is not Unicode.
    #[error("{VARIABLE}: {0}")]
    NotUnicode(#[source] VarError),
    /// The descriptor is no listening TCP socket.
    #[error("{VARIABLE}: {value:?}: {problem}")]
    Unusable {
        /// The value of the variable.
        value: String,
        /// What is wrong with the descriptor.
        #[source]
        problem: ListenerProblem,
    },
}

/// What is wrong with a passed descriptor.
#[derive(Debug, Error)]
pub enum ListenerProblem {
    /// The value is not the number of a descriptor.
    #[error("no descriptor's number")]
    NoNumber,
    /// No such descriptor is open.
    #[error("no open descriptor: {0}")]
    NotOpen(#[source] io::Error),
    /// The descriptor is not a socket.
    #[error("no socket: {0}")]
    NoSocket(#[source] Errno),
    /// The system does not report the socket's address family.
    #[error(transparent)]
    UnknownDomain(Errno),
    /// The socket does not listen.
    #[error("that socket does not listen")]
    NotListening,
    /// The socket listens for another protocol.
    #[error("that socket is no TCP socket")]
    NotTcp,
}

/// The listening TCP socket that [`VARIABLE`] names; none where the variable is not set.
///
/// # Errors
/// Where the variable names anything else.
pub fn passed_listener() -> Result<Option<OwnedFd>, PassedListenerError> {
    let value = match std::env::var(VARIABLE) {
        Ok(value) => value,
        Err(VarError::NotPresent) => return Ok(None),
        Err(error) => return Err(PassedListenerError::NotUnicode(error)),
    };
    match open_listener(&value) {
        Ok(listener) => Ok(Some(listener)),
        Err(problem) => Err(PassedListenerError::Unusable { value, problem }),
    }
}

/// Opens the listening TCP socket with this descriptor number.
fn open_listener(number: &str) -> Result<OwnedFd, ListenerProblem> {
    let number: i32 = number.parse().map_err(|_| ListenerProblem::NoNumber)?;
    if number < 0 {
        return Err(ListenerProblem::NoNumber);
    }
    let fd = duplicate(number).map_err(ListenerProblem::NotOpen)?;
    let is_listening = sockopt::socket_acceptconn(&fd).map_err(ListenerProblem::NoSocket)?;
    let domain = sockopt::socket_domain(&fd).map_err(ListenerProblem::UnknownDomain)?;
    if !is_listening {
        return Err(ListenerProblem::NotListening);
    }
    if domain != AddressFamily::INET && domain != AddressFamily::INET6 {
        return Err(ListenerProblem::NotTcp);
    }
    Ok(fd)
}

/// Duplicates a descriptor that is known by its number alone. To own the number itself would be `unsafe`, so the system
/// duplicates it through this process's pidfd. The inherited one remains open; this process starts no other that
/// could inherit it.
fn duplicate(number: i32) -> io::Result<OwnedFd> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(this_process, number, PidfdGetfdFlags::empty())?)
}

#[cfg(test)]
mod tests;

//! The listening socket for clients, if the platform opens it and passes it to each process of the node.

use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily};
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::env::VarError;
use std::io;
use std::os::fd::OwnedFd;
use thiserror::Error;

/// The environment variable that has the number of the passed descriptor, in decimal.
const PASSED_SOCKET_VARIABLE: &str = "NODE_PASSED_SOCKET";

/// Why the descriptor in [`PASSED_SOCKET_VARIABLE`] cannot be used. The text is one line that names the variable.
#[derive(Debug, Error)]
pub enum PassedListenerError {
    /// The value of the variable is not valid Unicode.
    #[error("{PASSED_SOCKET_VARIABLE}: {0}")]
    NotUnicode(#[source] VarError),
    /// The value is not the number of a listening TCP socket.
    #[error("{PASSED_SOCKET_VARIABLE}: {value:?}: {problem}")]
    Unusable {
        /// The value of the variable.
        value: String,
        /// Why the descriptor with this number cannot be used.
        #[source]
        problem: ListenerProblem,
    },
}

/// Why a passed descriptor cannot be used as the listening socket for clients.
#[derive(Debug, Error)]
pub enum ListenerProblem {
    /// The value is not the number of a descriptor.
    #[error("not a descriptor number")]
    NotANumber,
    /// No such descriptor is open.
    #[error("not an open descriptor: {0}")]
    NotOpen(#[source] io::Error),
    /// The descriptor is not a socket.
    #[error("not a socket: {0}")]
    NotASocket(#[source] Errno),
    /// The address family of the socket cannot be determined.
    #[error("unknown address family: {0}")]
    UnknownAddressFamily(#[source] Errno),
    /// The socket is not listening.
    #[error("not a listening socket")]
    NotListening,
    /// The socket listens for another protocol than TCP.
    #[error("not a TCP socket")]
    NotTcp,
}

/// The listening TCP socket whose descriptor is in [`PASSED_SOCKET_VARIABLE`]; `None` if the variable is not set.
///
/// # Errors
/// If the value of the variable is not the number of a listening TCP socket.
pub fn passed_listener() -> Result<Option<OwnedFd>, PassedListenerError> {
    let value = match std::env::var(PASSED_SOCKET_VARIABLE) {
        Ok(value) => value,
        Err(VarError::NotPresent) => return Ok(None),
        Err(error) => return Err(PassedListenerError::NotUnicode(error)),
    };
    match open_listener(&value) {
        Ok(listener) => Ok(Some(listener)),
        Err(problem) => Err(PassedListenerError::Unusable { value, problem }),
    }
}

/// Duplicates the descriptor with this number and checks that it is a listening TCP socket.
fn open_listener(number: &str) -> Result<OwnedFd, ListenerProblem> {
    let number: i32 = number.parse().map_err(|_| ListenerProblem::NotANumber)?;
    if number < 0 {
        return Err(ListenerProblem::NotANumber);
    }
    let fd = duplicate(number).map_err(ListenerProblem::NotOpen)?;
    let is_listening = sockopt::socket_acceptconn(&fd).map_err(ListenerProblem::NotASocket)?;
    let domain = sockopt::socket_domain(&fd).map_err(ListenerProblem::UnknownAddressFamily)?;
    if !is_listening {
        return Err(ListenerProblem::NotListening);
    }
    if domain != AddressFamily::INET && domain != AddressFamily::INET6 {
        return Err(ListenerProblem::NotTcp);
    }
    Ok(fd)
}

/// Duplicates a descriptor of which only the number is known. Taking ownership of the number itself would be `unsafe`,
/// so the kernel duplicates the descriptor through the pidfd of this process. The inherited descriptor stays open; that
/// is harmless, since this process starts no child that could inherit it.
fn duplicate(number: i32) -> io::Result<OwnedFd> {
    let this_process = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(this_process, number, PidfdGetfdFlags::empty())?)
}

#[cfg(test)]
mod tests;

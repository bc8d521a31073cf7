//! The clients' listening socket, where the platform opens it and passes it to every process.

use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily};
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::env::VarError;
use std::fmt;
use std::io;
use std::os::fd::OwnedFd;

/// The environment variable with the number of the passed descriptor, in decimal.
pub const VARIABLE: &str = "NODE_PASSED_SOCKET";

/// Why the descriptor that [`VARIABLE`] names cannot be used. The text is one line that names the variable.
#[derive(Debug)]
pub struct PassedListenerError {
    /// The value of the variable; none where it is not Unicode.
    value: Option<String>,
    problem: ListenerProblem,
}

/// What is wrong with a passed descriptor.
#[derive(Debug)]
enum ListenerProblem {
    NotUnicode(VarError),
    NoNumber,
    NotOpen(io::Error),
    NoSocket(Errno),
    UnknownDomain(Errno),
    NotListening,
    NotTcp,
}

impl fmt::Display for ListenerProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListenerProblem::NotUnicode(error) => write!(f, "{error}"),
            ListenerProblem::NoNumber => write!(f, "no descriptor's number"),
            ListenerProblem::NotOpen(error) => write!(f, "no open descriptor: {error}"),
            ListenerProblem::NoSocket(error) => write!(f, "no socket: {error}"),
            ListenerProblem::UnknownDomain(error) => write!(f, "{error}"),
            ListenerProblem::NotListening => write!(f, "that socket does not listen"),
            ListenerProblem::NotTcp => write!(f, "that socket is no TCP socket"),
        }
    }
}

impl fmt::Display for PassedListenerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{VARIABLE}: {value:?}: {}", self.problem),
            None => write!(f, "{VARIABLE}: {}", self.problem),
        }
    }
}

impl std::error::Error for PassedListenerError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.problem {
            ListenerProblem::NotUnicode(error) => Some(error),
            ListenerProblem::NotOpen(error) => Some(error),
            ListenerProblem::NoSocket(error) | ListenerProblem::UnknownDomain(error) => Some(error),
            ListenerProblem::NoNumber | ListenerProblem::NotListening | ListenerProblem::NotTcp => None,
        }
    }
}

/// The listening TCP socket that [`VARIABLE`] names; none where the variable is not set.
pub fn passed_listener() -> Result<Option<OwnedFd>, PassedListenerError> {
    let value = match std::env::var(VARIABLE) {
        Ok(value) => value,
        Err(VarError::NotPresent) => return Ok(None),
        Err(error) => {
            return Err(PassedListenerError { value: None, problem: ListenerProblem::NotUnicode(error) })
        }
    };
    match open_listener(&value) {
        Ok(listener) => Ok(Some(listener)),
        Err(problem) => Err(PassedListenerError { value: Some(value), problem }),
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

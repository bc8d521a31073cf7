//! The clients' listening socket, where the platform holds it and every process inherits it.

use rustix::io::Errno;
use rustix::net::{sockopt, AddressFamily};
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::env::VarError;
use std::fmt;
use std::io;
use std::os::fd::OwnedFd;

/// Names the inherited descriptor, as a decimal number.
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

/// A descriptor known by its number alone, under a number of our own. To take the number itself for a
/// descriptor would be `unsafe`; so we ask the system for one of this process's own. The inherited one stays
/// open, and goes on to nobody: what we start ourselves is nothing.
fn duplicate(number: i32) -> io::Result<OwnedFd> {
    let myself = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(myself, number, PidfdGetfdFlags::empty())?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;
    use std::os::unix::net::UnixListener;

    #[test]
    fn a_listening_socket_is_taken_by_its_number() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("an address");
        let taken = TcpListener::from(open_listener(&listener.as_raw_fd().to_string()).expect("it is taken"));
        drop(listener);
        assert_eq!(taken.local_addr().expect("an address"), at);
        TcpStream::connect(at).expect("it still listens");
    }

    #[rstest::rstest]
    #[case("")]
    #[case("-1")]
    #[case("three")]
    #[case("99999")]
    fn what_names_no_open_descriptor_is_an_error(#[case] text: &str) {
        assert!(open_listener(text).is_err());
    }

    #[test]
    fn what_takes_no_clients_is_an_error() {
        let udp = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at: SocketAddr = listener.local_addr().expect("an address");
        let stream = TcpStream::connect(at).expect("a connection");
        let file = std::fs::File::open("/dev/null").expect("a file");
        let path = std::env::temp_dir().join(format!("sparbank-unix-{}", std::process::id()));
        let unix = UnixListener::bind(&path).expect("a path");
        let _ = std::fs::remove_file(&path);
        for fd in [udp.as_raw_fd(), stream.as_raw_fd(), file.as_raw_fd(), unix.as_raw_fd()] {
            assert!(open_listener(&fd.to_string()).is_err(), "{fd}");
        }
    }
}

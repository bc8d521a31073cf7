//! The clients' listening socket, where the platform holds it and every process inherits it.

use rustix::net::sockopt;
use rustix::process::{getpid, pidfd_getfd, pidfd_open, PidfdFlags, PidfdGetfdFlags};
use std::io;
use std::os::fd::OwnedFd;

/// Names the inherited descriptor, as a decimal number.
pub const VARIABLE: &str = "NODE_PASSED_SOCKET";

/// The listening socket that `$NODE_PASSED_SOCKET` names; none where it is not set. The error is one line
/// that names the variable.
pub fn passed() -> Result<Option<OwnedFd>, String> {
    match std::env::var(VARIABLE) {
        Ok(text) => named(&text).map(Some).map_err(|e| format!("{VARIABLE}: {text:?}: {e}")),
        Err(std::env::VarError::NotPresent) => Ok(None),
        Err(e) => Err(format!("{VARIABLE}: {e}")),
    }
}

fn named(text: &str) -> Result<OwnedFd, String> {
    let number = text.parse().ok().filter(|number| *number >= 0).ok_or("no descriptor's number")?;
    let fd = duplicate(number).map_err(|e| format!("no open descriptor: {e}"))?;
    let listens = sockopt::socket_acceptconn(&fd).map_err(|e| format!("no socket: {e}"))?;
    let family = sockopt::socket_domain(&fd).map_err(|e| e.to_string())?;
    if !listens {
        return Err("that socket does not listen".to_string());
    }
    if family != rustix::net::AddressFamily::INET && family != rustix::net::AddressFamily::INET6 {
        return Err("that socket is no TCP socket".to_string());
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
        let taken = TcpListener::from(named(&listener.as_raw_fd().to_string()).expect("it is taken"));
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
        assert!(named(text).is_err());
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
            assert!(named(&fd.to_string()).is_err(), "{fd}");
        }
    }
}

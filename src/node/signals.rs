//! Signals, received as readable sockets.

use crate::net::{SocketOwner, SocketReactor, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The handlers of all signals, and the sockets that get a byte whenever one arrives. They are installed before
/// anything is read, since until then each of these signals kills the process; what arrives waits in its socket.
pub(super) struct SignalPipes {
    shutdown: OwnedFd,
    log_counters: OwnedFd,
    reload: OwnedFd,
}

impl SignalPipes {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Where the system gives no sockets, or no handlers.
    pub(super) fn install() -> io::Result<SignalPipes> {
        Ok(SignalPipes {
            shutdown: install(&[SIGTERM, SIGINT])?,
            log_counters: install(&[SIGUSR1])?,
            reload: install(&[SIGHUP])?,
        })
    }
}

/// Has a socket get a byte whenever one of the signals arrives.
fn install(signals: &[i32]) -> io::Result<OwnedFd> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(OwnedFd::from(reader))
}

/// The request that a signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// SIGUSR1: log the counters.
    LogCounters,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// The sockets that become readable when a signal arrives.
pub(super) struct SignalSockets {
    shutdown: Token,
    log_counters: Token,
    reload: Token,
}

impl SignalSockets {
    /// Watches the signals' sockets.
    ///
    /// # Errors
    /// Where a socket cannot be added to the epoll set.
    pub(super) fn register(net: &mut SocketReactor, pipes: SignalPipes) -> io::Result<SignalSockets> {
        let mut register = |pipe| net.register_reader(pipe, SocketOwner::Signal);
        Ok(SignalSockets {
            shutdown: register(pipes.shutdown)?,
            log_counters: register(pipes.log_counters)?,
            reload: register(pipes.reload)?,
        })
    }

    /// Reads a readable socket. The result is the request of its signal, which may have arrived several times.
    pub(super) fn receive(&self, net: &mut SocketReactor, token: Token) -> Option<SignalRequest> {
        if let Some(input) = net.input_buffer(token) {
            input.clear();
        }
        net.update_interest(token);
        if token == self.log_counters {
            Some(SignalRequest::LogCounters)
        } else if token == self.reload {
            Some(SignalRequest::Reload)
        } else if token == self.shutdown {
            Some(SignalRequest::ShutDown)
        } else {
            None
        }
    }
}

//! Signals, each delivered as a byte on a socket of the event loop.

use crate::net::{SocketOwner, SocketReactor, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The sockets to which the signal handlers write a byte for each signal. The handlers are installed before the
/// configuration is read, since each of these signals kills the process until then. A signal that arrives before the
/// event loop runs stays in its socket.
pub(super) struct SignalPipes {
    shutdown: OwnedFd,
    log_counters: OwnedFd,
    reload: OwnedFd,
}

impl SignalPipes {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Returns an error if a socket pair cannot be created or a handler cannot be installed.
    pub(super) fn install() -> io::Result<SignalPipes> {
        Ok(SignalPipes {
            shutdown: install(&[SIGTERM, SIGINT])?,
            log_counters: install(&[SIGUSR1])?,
            reload: install(&[SIGHUP])?,
        })
    }
}

/// Installs a handler for each of the signals. Each arrival makes the returned socket readable.
fn install(signals: &[i32]) -> io::Result<OwnedFd> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in signals {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    Ok(OwnedFd::from(reader))
}

/// The action that a signal requests from the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// SIGTERM or SIGINT: shut down gracefully.
    ShutDown,
    /// SIGUSR1: log the counters.
    LogCounters,
    /// SIGHUP: reload the configuration.
    Reload,
}

/// The signals' sockets on the reactor; each becomes readable when one of its signals arrives.
pub(super) struct SignalSockets {
    shutdown: Token,
    log_counters: Token,
    reload: Token,
}

impl SignalSockets {
    /// Registers the signals' sockets with the reactor.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be added to the epoll set.
    pub(super) fn register(net: &mut SocketReactor, pipes: SignalPipes) -> io::Result<SignalSockets> {
        let mut register = |pipe| net.register_reader(pipe, SocketOwner::Signal);
        Ok(SignalSockets {
            shutdown: register(pipes.shutdown)?,
            log_counters: register(pipes.log_counters)?,
            reload: register(pipes.reload)?,
        })
    }

    /// Drains a readable socket and returns the request of its signal. Several arrivals of a signal yield one request.
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

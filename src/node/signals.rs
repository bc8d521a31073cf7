//! Signals, received as readable sockets: SIGTERM and SIGINT shut the node down, SIGUSR1 prints the counters, SIGHUP
//! reloads the configuration.

use super::Node;
use crate::net::{SocketOwner, SocketReactor, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::io;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;

/// The handlers of all signals, and the sockets that get a byte whenever one arrives. They are installed before
/// anything is read, since until then each of these signals kills the process; what arrives waits in its socket.
pub(super) struct SignalPipes {
    shutdown: OwnedFd,
    print_counters: OwnedFd,
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
            print_counters: install(&[SIGUSR1])?,
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

/// The sockets that become readable when a signal arrives.
pub(super) struct SignalSockets {
    shutdown: Token,
    print_counters: Token,
    reload: Token,
}

impl SignalSockets {
    /// Watches the signals' sockets.
    pub(super) fn register(net: &mut SocketReactor, pipes: SignalPipes) -> io::Result<SignalSockets> {
        let mut register = |pipe| net.register_reader(pipe, SocketOwner::Signal);
        Ok(SignalSockets {
            shutdown: register(pipes.shutdown)?,
            print_counters: register(pipes.print_counters)?,
            reload: register(pipes.reload)?,
        })
    }
}

impl Node {
    /// A signal has arrived, perhaps several times.
    pub(super) fn on_signal(&mut self, token: Token) {
        if let Some(input) = self.state.net.input_buffer(token) {
            input.clear();
        }
        self.state.net.update_interest(token);
        if token == self.signals.print_counters {
            self.print_counters();
        } else if token == self.signals.reload {
            self.reload();
        } else if token == self.signals.shutdown {
            self.shut_down();
        }
    }

    /// Begins a graceful shutdown, once.
    fn shut_down(&mut self) {
        let (now, longest_deadline) = (self.state.now(), self.state.longest_deadline());
        if !self.state.lifecycle.shut_down(now, longest_deadline) {
            return;
        }
        let established_connections = self.state.requests.established().len();
        tracing::info!(established_connections, "shutting down");
        if let Some(quotas) = self.state.requests.quotas_mut() {
            quotas.shut_down();
        }
        self.schedule_drain_steps();
    }
}

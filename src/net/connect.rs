//! Outgoing connections: starting them, and detecting when they are established.

use super::buffered_sockets::BufferedSockets;
use super::connect_error::ConnectError;
use super::event::{ConnectedSocket, SocketOwner};
use super::eviction::EvictionCandidates;
use super::slab::Token;
use super::socket::SocketState;
use super::socket_store::SocketStore;
use super::system::{self, Interest};
use rustix::io::Errno;
use rustix::net::sockopt;
use std::net::SocketAddr;

/// Starts outgoing connections and tracks those that were established.
#[derive(Default)]
pub(super) struct Connector {
    /// Connections established since the last [`Connector::take_established`].
    established: Vec<Token>,
    shortage_count: u64,
}

impl Connector {
    /// Starts a connection, and counts it if it fails because of a local shortage.
    ///
    /// # Errors
    /// Returns an error if no descriptor is available or the connection fails immediately.
    pub(super) fn connect(
        &mut self,
        sockets: &mut BufferedSockets,
        candidates: &mut EvictionCandidates,
        addr: SocketAddr,
        owner: SocketOwner,
    ) -> Result<Token, ConnectError> {
        let connecting = start(sockets, candidates, addr, owner);
        if let Err(ConnectError::Shortage(_)) = connecting {
            self.shortage_count += 1;
        }
        connecting
    }

    /// Handles readiness of a socket that is connecting.
    pub(super) fn on_ready(&mut self, sockets: &mut BufferedSockets, token: Token, flags: Interest) {
        let Some(socket) = sockets.store.get_mut(token) else { return };
        if let Ok(Err(error)) | Err(error) = sockopt::socket_error(&socket.fd) {
            return sockets.fail(token, Some(error));
        }
        if flags.contains(Interest::OUT) {
            socket.establish();
            self.established.push(token);
        }
    }

    /// Takes the connections that were established since the last call, in the order of establishment.
    pub(super) fn take_established(&mut self, store: &SocketStore) -> Vec<ConnectedSocket> {
        let established = std::mem::take(&mut self.established).into_iter();
        established
            .filter_map(|token| Some(ConnectedSocket { token, owner: store.get(token)?.owner }))
            .collect()
    }

    /// Number of connections that could not be started for lack of a descriptor, a port or memory.
    pub(super) fn shortage_count(&self) -> u64 {
        self.shortage_count
    }
}

fn start(
    sockets: &mut BufferedSockets,
    candidates: &mut EvictionCandidates,
    addr: SocketAddr,
    owner: SocketOwner,
) -> Result<Token, ConnectError> {
    let fd = loop {
        match system::stream_socket(addr) {
            // EMFILE: the actual limit of the process is lower than the configured one.
            Err(Errno::MFILE) if candidates.evict(sockets) => {}
            created => break created?,
        }
    };
    // Best effort: without TCP_NODELAY, small writes are delayed but still arrive.
    let _ = sockopt::set_tcp_nodelay(&fd, true);
    match system::connect(&fd, addr) {
        // After EINTR the connection continues to be established asynchronously, as after EINPROGRESS.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    Ok(sockets.store.insert(fd, owner, SocketState::Connecting)?)
}

//! Starting connections, and learning whether they were established.

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

/// Starts connections.
#[derive(Default)]
pub(super) struct Connector {
    /// Connections established since they were last taken.
    established: Vec<Token>,
    shortages: u64,
}

impl Connector {
    /// Starts a connection.
    ///
    /// # Errors
    /// Where there is no descriptor, or the system refuses at once.
    pub(super) fn connect(
        &mut self,
        sockets: &mut BufferedSockets,
        candidates: &mut EvictionCandidates,
        addr: SocketAddr,
        owner: SocketOwner,
    ) -> Result<Token, ConnectError> {
        let connecting = start(sockets, candidates, addr, owner);
        if let Err(ConnectError::Shortage(_)) = connecting {
            self.shortages += 1;
        }
        connecting
    }

    /// Handles the readiness of a socket that was connecting.
    pub(super) fn on_ready(&mut self, sockets: &mut BufferedSockets, token: Token, flags: Interest) {
        let Some(socket) = sockets.store.get_mut(token) else { return };
        if let Ok(Err(_)) | Err(_) = sockopt::socket_error(&socket.fd) {
            return sockets.fail(token);
        }
        if flags.contains(Interest::OUT) {
            socket.establish();
            self.established.push(token);
        }
    }

    /// Takes the connections that were established since the last call, in that order.
    pub(super) fn take_established(&mut self, store: &SocketStore) -> Vec<ConnectedSocket> {
        let established = std::mem::take(&mut self.established).into_iter();
        established
            .filter_map(|token| Some(ConnectedSocket { token, owner: store.get(token)?.owner }))
            .collect()
    }

    /// How many connections could not be started for lack of a descriptor, a port or memory.
    pub(super) fn shortages(&self) -> u64 {
        self.shortages
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
            // The system gives fewer descriptors than the configuration says.
            Err(Errno::MFILE) if candidates.evict(sockets) => {}
            created => break created?,
        }
    };
    // A failure delays small writes and breaks nothing.
    let _ = sockopt::set_tcp_nodelay(&fd, true);
    match system::connect(&fd, addr) {
        // An interrupted call goes on in the background like any other.
        Ok(()) | Err(Errno::INPROGRESS | Errno::INTR) => {}
        Err(error) => return Err(error.into()),
    }
    Ok(sockets.store.insert(fd, owner, SocketState::Connecting)?)
}

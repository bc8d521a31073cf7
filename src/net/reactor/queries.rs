//! The queries that owners have. Nothing here changes a socket.

use super::{ShortageCounts, SocketReactor};
use crate::net::slab::Token;
use crate::net::socket::{Socket, SocketState};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

impl SocketReactor {
    // ---- One socket ----------------------------------------------------------------------------

    /// The descriptor of a raw socket.
    pub fn raw_descriptor(&self, token: Token) -> Option<&OwnedFd> {
        self.socket(token).filter(|socket| socket.state() == SocketState::Raw).map(|socket| &socket.fd)
    }

    /// The listener that accepted a connection.
    pub fn accepting_listener(&self, token: Token) -> Option<Token> {
        self.socket(token)?.listener()
    }

    /// The address of a connection's other end.
    pub fn peer_addr(&self, token: Token) -> Option<SocketAddr> {
        let peer = rustix::net::getpeername(&self.socket(token)?.fd).ok()?;
        peer.and_then(|addr| SocketAddr::try_from(addr).ok())
    }

    /// Whether the connection failed; input that had arrived is still there.
    pub fn is_failed(&self, token: Token) -> bool {
        self.socket(token).is_some_and(|socket| socket.state() == SocketState::Failed)
    }

    /// Whether the connection is not established yet.
    pub fn is_connecting(&self, token: Token) -> bool {
        self.socket(token).is_some_and(|socket| socket.state() == SocketState::Connecting)
    }

    /// Whether the peer has ended its sending; bytes may still wait in [`SocketReactor::input_buffer`].
    pub fn is_read_closed(&self, token: Token) -> bool {
        self.socket(token).is_some_and(Socket::is_read_closed)
    }

    /// How many bytes wait to be written.
    pub fn pending_output_bytes(&self, token: Token) -> usize {
        self.socket(token).map_or(0, |socket| socket.buffers.pending_output_bytes())
    }

    /// Whether any byte has been written.
    pub fn has_written(&self, token: Token) -> bool {
        self.bytes_written(token) > 0
    }

    /// How many bytes have been written.
    pub fn bytes_written(&self, token: Token) -> u64 {
        self.socket(token).map_or(0, |socket| socket.buffers.bytes_written())
    }

    /// The position in the output stream of the next byte that is sent.
    pub fn output_position(&self, token: Token) -> u64 {
        self.socket(token).map_or(0, |socket| socket.buffers.output_position())
    }

    /// Whether a connection can continue in another process: it is established, and neither side has ended its
    /// sending.
    pub fn can_transfer(&self, token: Token) -> bool {
        self.socket(token).is_some_and(Socket::can_transfer)
    }

    fn socket(&self, token: Token) -> Option<&Socket> {
        self.sockets.store.get(token)
    }

    // ---- All sockets ---------------------------------------------------------------------------

    /// Whether every connection that was closed is over on both sides.
    pub fn all_closes_complete(&self) -> bool {
        self.candidates.all_closes_complete(&self.sockets.store)
    }

    /// How many descriptors the sockets use.
    pub fn descriptors_in_use(&self) -> usize {
        self.sockets.store.len()
    }

    /// Whether descriptors run short: new clients are to be rejected.
    pub fn is_short_of_descriptors(&self) -> bool {
        self.sockets.store.is_short_of_descriptors()
    }

    /// Whether one more attempt may have a descriptor.
    pub fn has_descriptor_for_attempt(&self) -> bool {
        self.sockets.store.has_descriptor_for_attempt()
    }

    /// How often the system was short of something.
    pub fn shortages(&self) -> ShortageCounts {
        ShortageCounts {
            accept_pauses: self.acceptor.pauses(),
            refused_watches: self.sockets.store.refused_changes(),
            transfer_pauses: self.sockets.pauses().started(),
            failed_connects: self.connector.shortages(),
        }
    }
}

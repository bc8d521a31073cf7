//! Read-only queries on sockets.

use super::{ShortageCounts, SocketReactor};
use crate::net::slab::Token;
use crate::net::socket::{Socket, SocketState};
use rustix::io::Errno;
use sparbank_time::MonotonicTime;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;

impl SocketReactor {
    /// The descriptor of a raw socket.
    pub fn raw_descriptor(&self, token: Token) -> Option<&OwnedFd> {
        self.socket(token).filter(|socket| socket.state() == SocketState::Raw).map(|socket| &socket.fd)
    }

    /// The listener that accepted the connection.
    pub fn accepting_listener(&self, token: Token) -> Option<Token> {
        self.socket(token)?.listener()
    }

    /// The address of the connection's peer.
    pub fn peer_addr(&self, token: Token) -> Option<SocketAddr> {
        let peer = rustix::net::getpeername(&self.socket(token)?.fd).ok()?;
        peer.and_then(|addr| SocketAddr::try_from(addr).ok())
    }

    /// Whether the connection has failed. Input received before the failure can still be read.
    pub fn is_failed(&self, token: Token) -> bool {
        self.socket(token).is_some_and(|socket| socket.state() == SocketState::Failed)
    }

    /// The error with which the connection has failed, if it is known.
    pub fn connection_error(&self, token: Token) -> Option<Errno> {
        self.socket(token).and_then(Socket::error)
    }

    /// Whether the connection is still being established.
    pub fn is_connecting(&self, token: Token) -> bool {
        self.socket(token).is_some_and(|socket| socket.state() == SocketState::Connecting)
    }

    /// Whether the peer has closed its write side. Unread bytes may remain in
    /// [`SocketReactor::input_buffer`].
    pub fn is_read_closed(&self, token: Token) -> bool {
        self.socket(token).is_some_and(Socket::is_read_closed)
    }

    /// When octets from the connection's peer were last read, or when the peer last made room for buffered output.
    pub fn last_peer_activity(&self, token: Token) -> MonotonicTime {
        self.socket(token).map_or(MonotonicTime::ZERO, Socket::last_peer_activity)
    }

    /// Number of buffered output bytes.
    pub fn pending_output_bytes(&self, token: Token) -> usize {
        self.socket(token).map_or(0, |socket| socket.buffers.pending_output_bytes())
    }

    /// Whether at least one byte has been written.
    pub fn has_written(&self, token: Token) -> bool {
        self.bytes_written(token) > 0
    }

    /// Whether the peer has closed its write side. If the owner watches for it, this is true also while input that
    /// precedes the end is unread.
    pub fn has_peer_ended(&self, token: Token) -> bool {
        self.socket(token).is_some_and(|socket| socket.has_peer_ended())
    }

    /// Number of bytes written so far.
    pub fn bytes_written(&self, token: Token) -> u64 {
        self.socket(token).map_or(0, |socket| socket.buffers.bytes_written())
    }

    /// Offset in the output stream of the next byte to be sent.
    pub fn output_position(&self, token: Token) -> u64 {
        self.socket(token).map_or(0, |socket| socket.buffers.output_position())
    }

    /// Whether another process can continue the connection: it is established, and neither side has shut down
    /// its write direction.
    pub fn can_transfer(&self, token: Token) -> bool {
        self.socket(token).is_some_and(Socket::can_transfer)
    }

    fn socket(&self, token: Token) -> Option<&Socket> {
        self.sockets.store.get(token)
    }

    /// Whether both sides of every closed connection have finished closing.
    pub fn all_closes_complete(&self) -> bool {
        self.candidates.all_closes_complete(&self.sockets.store)
    }

    /// Number of descriptors that the sockets use.
    pub fn descriptors_in_use(&self) -> usize {
        self.sockets.store.len()
    }

    /// Whether descriptors are short, in which case new clients are rejected.
    pub fn is_short_of_descriptors(&self) -> bool {
        self.sockets.store.is_short_of_descriptors()
    }

    /// Whether a descriptor is available for one more attempt.
    pub fn has_descriptor_for_attempt(&self) -> bool {
        self.sockets.store.has_descriptor_for_attempt()
    }

    /// Counts of resource shortages since the process started.
    pub fn shortages(&self) -> ShortageCounts {
        ShortageCounts {
            accept_pauses: self.acceptor.pause_count(),
            refused_watches: self.sockets.store.refused_changes(),
            transfer_pauses: self.sockets.pauses().pause_count(),
            failed_connects: self.connector.shortage_count(),
        }
    }
}

//! Connections on their way from one process of the node to the next.

use super::event::SocketOwner;
use super::reactor::{SocketDeadline, SocketReactor};
use super::slab::Token;
use super::socket::{SocketState, WriteState};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::io;
use std::os::fd::OwnedFd;

/// A connection's buffers and state, for the process that continues it. Its JSON belongs to the handover
/// protocol, so the field names on the wire are fixed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BufferedConnection {
    /// Bytes that have arrived and that the owner has not taken.
    #[serde(with = "base64_bytes")]
    pub input: Vec<u8>,
    /// Bytes that wait to be written.
    #[serde(with = "base64_bytes")]
    pub output: Vec<u8>,
    #[serde(rename = "written")]
    bytes_written: u64,
    /// Where the handshake is incomplete: when it must be complete.
    #[serde(rename = "word_by")]
    handshake_deadline: Option<MonotonicTime>,
}

/// Bytes as base64 text, which is shorter in JSON than an array of numbers.
mod base64_bytes {
    use base64::prelude::{Engine, BASE64_STANDARD};
    use serde::{Deserialize, Deserializer, Serializer};
    use std::borrow::Cow;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        BASE64_STANDARD.decode(text.as_bytes()).map_err(serde::de::Error::custom)
    }
}

/// A connection that has been taken out of the reactor.
#[derive(Debug)]
pub struct ExportedConnection {
    /// The socket, which is no longer watched here.
    pub fd: OwnedFd,
    /// Its buffers and state.
    pub connection: BufferedConnection,
}

impl SocketReactor {
    /// Whether a connection can go on in another process: it is established, and neither side has ended its
    /// sending.
    pub fn can_transfer(&self, token: Token) -> bool {
        self.sockets.get(token).is_some_and(|socket| {
            socket.state == SocketState::Open && !socket.read_closed && socket.write_state == WriteState::Open
        })
    }

    /// Takes a connection out, for another process to go on with. None where [`SocketReactor::can_transfer`] says
    /// no.
    pub fn export_connection(&mut self, token: Token) -> Option<ExportedConnection> {
        if !self.can_transfer(token) {
            return None;
        }
        let handshake_deadline = self.handshake_deadline(token);
        let socket = self.sockets.remove(token)?;
        // The other process has the socket open: closing ours would not take it out of the epoll set.
        self.poller.delete(&socket.fd);
        let connection = BufferedConnection {
            input: socket.input,
            output: socket.output,
            bytes_written: socket.bytes_written,
            handshake_deadline,
        };
        Some(ExportedConnection { fd: socket.fd, connection })
    }

    /// Goes on with a connection that another process exported.
    ///
    /// # Errors
    /// Where it cannot be made non-blocking or watched.
    pub fn import_connection(
        &mut self,
        fd: OwnedFd,
        connection: BufferedConnection,
        owner: SocketOwner,
    ) -> io::Result<Token> {
        rustix::io::ioctl_fionbio(&fd, true)?;
        let token = self.insert(fd, owner, SocketState::Open)?;
        if let Some(socket) = self.sockets.get_mut(token) {
            socket.input = connection.input;
            socket.output = connection.output;
            socket.bytes_written = connection.bytes_written;
            socket.awaiting_handshake = connection.handshake_deadline.is_some();
        }
        if let Some(at) = connection.handshake_deadline {
            let index = self.awaiting_handshake.partition_point(|other| other.at <= at);
            self.awaiting_handshake.insert(index, SocketDeadline { at, token });
        }
        self.update_interest(token);
        Ok(token)
    }
}

#[cfg(test)]
mod tests;

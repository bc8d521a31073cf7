//! Serialized state of a connection that is handed from one process of the node to the next.

use super::buffers::{BufferParts, Buffers};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
use std::os::fd::OwnedFd;

/// The buffers and state of a connection, for the process that continues it. The JSON is part of the handover
/// protocol, so the serialized field names are fixed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BufferedConnection {
    /// Received bytes that the owner has not consumed.
    #[serde(with = "base64_bytes")]
    pub input: Vec<u8>,
    /// Output that is not yet written.
    #[serde(with = "base64_bytes")]
    pub output: Vec<u8>,
    #[serde(rename = "written")]
    bytes_written: u64,
    /// Deadline of the handshake, if it is incomplete.
    #[serde(rename = "word_by")]
    handshake_deadline: Option<MonotonicTime>,
}

/// Serializes bytes as base64 text, which is shorter in JSON than an array of numbers.
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

/// A connection that has been removed from the reactor.
#[derive(Debug)]
pub struct ExportedConnection {
    /// The socket, no longer registered with this process's epoll instance.
    pub fd: OwnedFd,
    /// The buffers and state of the connection.
    pub connection: BufferedConnection,
}

impl BufferedConnection {
    /// Captures the state of a connection that is being removed from the reactor.
    pub(super) fn new(buffers: Buffers, handshake_deadline: Option<MonotonicTime>) -> BufferedConnection {
        let BufferParts { input, output, bytes_written } = buffers.into_parts();
        BufferedConnection { input, output, bytes_written, handshake_deadline }
    }

    /// Deadline of the handshake, if it is incomplete.
    pub(super) fn handshake_deadline(&self) -> Option<MonotonicTime> {
        self.handshake_deadline
    }

    /// Restores the buffers, to continue the connection.
    pub(super) fn into_buffers(self) -> Buffers {
        Buffers::restored(self.input, self.output, self.bytes_written)
    }
}

#[cfg(test)]
mod tests;

//! The form in which a connection goes from one process of the node to the next.

use super::buffers::{BufferParts, Buffers};
use serde::{Deserialize, Serialize};
use sparbank_time::MonotonicTime;
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

impl BufferedConnection {
    /// The state of a connection that is taken out of the reactor.
    pub(super) fn new(buffers: Buffers, handshake_deadline: Option<MonotonicTime>) -> BufferedConnection {
        let BufferParts { input, output, bytes_written } = buffers.into_parts();
        BufferedConnection { input, output, bytes_written, handshake_deadline }
    }

    /// When the handshake must be complete, if it is not yet.
    pub(super) fn handshake_deadline(&self) -> Option<MonotonicTime> {
        self.handshake_deadline
    }

    /// The buffers with which the connection continues.
    pub(super) fn into_buffers(self) -> Buffers {
        Buffers::restored(self.input, self.output, self.bytes_written)
    }
}

#[cfg(test)]
mod tests;

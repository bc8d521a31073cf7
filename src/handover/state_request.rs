//! The state request of a successor. A starting process requests the state of the running one before it serves any
//! client, so the request uses blocking I/O.

use super::channel::{self, ChannelError};
use super::message::{Message, MessageError, PROTOCOL_VERSION};
use super::snapshot::{SnapshotAssembler, StateSnapshot};
use crate::discovery::TransferredWatch;
use crate::net::ListeningSocket;
use std::io;
use std::os::fd::OwnedFd;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// How long to wait for each message of the predecessor's state. After this time, the process starts without a
/// predecessor: the platform allows a process 6 s to become ready.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The state, the sockets and the watch that a process has received from its predecessor.
pub struct PredecessorState {
    /// The handover socket, on which connections follow. It is closed when the predecessor exits.
    pub channel: OwnedFd,
    /// The state from which this process starts.
    pub snapshot: StateSnapshot,
    /// The listening sockets of the predecessor's optional frontends, with their addresses.
    pub listeners: Vec<ListeningSocket>,
    /// The predecessor's watch on the discovery service.
    pub watch: Option<TransferredWatch>,
}

/// Why a process starts without its predecessor's state.
#[derive(Debug, Error)]
enum StateRequestError {
    /// There is no handover socket, or no process listens on it.
    #[error("cannot connect to the handover socket: {0}")]
    NotConnected(#[source] io::Error),
    #[error("cannot send the state request")]
    NotSent,
    #[error("no message from the predecessor within {} ms", MESSAGE_TIMEOUT.as_millis())]
    NoAnswer,
    #[error("the predecessor closed the handover socket, or has another protocol version")]
    Closed,
    #[error("unexpected message from the predecessor")]
    UnexpectedMessage,
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Requests the state of the process that listens on the handover socket at `path`. Returns `None` if there is no such
/// process or if it does not send its complete state: this process then starts without a predecessor.
pub fn request_state(path: &Path, node_name: &str) -> Option<PredecessorState> {
    match exchange(path, node_name) {
        Ok(state) => Some(state),
        // Without a handover socket, no process of this node is running: a normal first start.
        Err(StateRequestError::NotConnected(error)) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            tracing::info!(reason = %error, "no predecessor");
            None
        }
    }
}

fn exchange(path: &Path, node_name: &str) -> Result<PredecessorState, StateRequestError> {
    let channel = channel::connect(path, MESSAGE_TIMEOUT).map_err(StateRequestError::NotConnected)?;
    let request = Message::StateRequest { version: PROTOCOL_VERSION, name: node_name.to_string() };
    channel::send(&channel, &request.encode()?).map_err(|_| StateRequestError::NotSent)?;
    let mut assembler = SnapshotAssembler::default();
    let mut listeners = Vec::new();
    let mut watch = None;
    loop {
        match receive(&channel)? {
            Message::StateChunk { chunk } => assembler.add(&chunk)?,
            Message::Listener { address, socket } => {
                listeners.push(ListeningSocket { addr: address, fd: socket });
            }
            Message::Watch(transferred) => watch = Some(transferred),
            Message::StateComplete => break,
            Message::StateRequest { .. } | Message::Ready | Message::Connection { .. } => {
                return Err(StateRequestError::UnexpectedMessage)
            }
        }
    }
    Ok(PredecessorState { channel, snapshot: assembler.finish()?, listeners, watch })
}

fn receive(channel: &OwnedFd) -> Result<Message, StateRequestError> {
    let encoded = channel::receive(channel).map_err(|error| match error {
        ChannelError::WouldBlock => StateRequestError::NoAnswer,
        ChannelError::Closed => StateRequestError::Closed,
    })?;
    Ok(Message::decode(encoded)?)
}

//! The state request of a successor, which blocks: before the process serves, it requests the state of the one that
//! serves now.

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

/// The predecessor has this long for each message of its state. After that this process starts without one: the
/// platform waits 6 s until a process is ready.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a process received from its predecessor.
pub struct PredecessorState {
    /// The handover socket, over which connections follow. Its end says that the predecessor has exited.
    pub channel: OwnedFd,
    /// The predecessor's state.
    pub snapshot: StateSnapshot,
    /// The listening sockets of its optional frontends, with their addresses.
    pub listeners: Vec<ListeningSocket>,
    /// Its watch of the discovery service.
    pub watch: Option<TransferredWatch>,
}

/// Why a process starts without its predecessor's state.
#[derive(Debug, Error)]
enum StateRequestError {
    /// The handover socket exists, and no process listens at it.
    #[error("no process listens at the handover socket: {0}")]
    NotConnected(#[source] io::Error),
    #[error("the state request cannot be sent: it does not read")]
    NotSent,
    #[error("it does not answer")]
    NoAnswer,
    #[error("it ended or is of another version")]
    Closed,
    #[error("unexpected message")]
    UnexpectedMessage,
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Requests the state of the process that listens at a path. None where there is no such process, or where it does not
/// send all of its state: this process then starts without a predecessor.
pub fn request_state(path: &Path, node_name: &str) -> Option<PredecessorState> {
    match exchange(path, node_name) {
        Ok(state) => Some(state),
        // There is no handover socket: no process of this node runs.
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
            Message::StatePiece { piece } => assembler.add(&piece)?,
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
    let framed = channel::receive(channel).map_err(|error| match error {
        ChannelError::WouldBlock => StateRequestError::NoAnswer,
        ChannelError::Closed => StateRequestError::Closed,
    })?;
    Ok(Message::decode(framed)?)
}

//! Events of the links between two processes, for the node.

use crate::frontend::TransferredConnection;

/// A connection in transfer between two processes.
pub struct FrontendConnection {
    /// Name of the frontend that owns it.
    pub frontend: String,
    /// The connection.
    pub connection: TransferredConnection,
}

/// What the node has to do for the handover.
pub enum HandoverEvent {
    /// A successor requests the state: answer with [`Handover::send_state`](super::Handover::send_state).
    StateRequested,
    /// The successor serves: accept nothing more, and transfer connections with [`Handover::transfer`](super::Handover::transfer).
    SuccessorReady,
    /// The successor is gone: accept clients again.
    SuccessorLost {
        /// Connections that were released for it and not sent: continue them here.
        unsent: Vec<FrontendConnection>,
    },
    /// A connection of the predecessor has arrived.
    ConnectionReceived {
        /// The connection.
        received: FrontendConnection,
        /// Descriptors that the predecessor still has open.
        predecessor_descriptors: usize,
    },
    /// The predecessor is gone.
    PredecessorExited,
}

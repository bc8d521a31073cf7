//! Events of the links to the predecessor and the successor, which the node handles.

use crate::frontend::TransferredConnection;

/// A connection that is transferred between two processes, with its frontend.
pub struct FrontendConnection {
    /// The name of the frontend that the connection belongs to.
    pub frontend: String,
    /// The frontend's state of the connection, and its descriptors.
    pub connection: TransferredConnection,
}

/// An event that the node has to react to.
pub enum HandoverEvent {
    /// A successor requests the state. Answer with [`Handover::send_state`](super::Handover::send_state).
    StateRequested,
    /// The successor serves. Stop accepting connections, and transfer the open ones with
    /// [`Handover::transfer`](super::Handover::transfer).
    SuccessorReady,
    /// The link to the successor was closed. Accept connections again.
    SuccessorLost {
        /// Connections that were released for the transfer but not sent. Serve them in this process again.
        unsent: Vec<FrontendConnection>,
    },
    /// The predecessor has transferred a connection.
    ConnectionReceived {
        /// The connection, with its frontend.
        received: FrontendConnection,
        /// Number of descriptors that the predecessor still has open.
        predecessor_descriptors: usize,
    },
    /// The predecessor has exited, or the link to it failed.
    PredecessorExited,
}

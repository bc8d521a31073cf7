//! Connection events, as the modules of this frontend handle them.

use crate::frontend::FrontendContext;
use crate::net::Token;

/// An event on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEvent {
    /// The connection may have new input, may have been closed by the peer, or may have capacity for more output.
    Ready,
    /// The connection could not be established, or it was reset.
    Failed {
        /// Whether all output of this node had been written to the socket.
        all_written: bool,
    },
}

impl ConnectionEvent {
    /// Returns the event that matches the current state of an established connection, for callers that handle it
    /// later than the socket event.
    pub(super) fn current(ctx: &FrontendContext, token: Token) -> ConnectionEvent {
        if ctx.net.is_failed(token) {
            ConnectionEvent::Failed { all_written: true }
        } else {
            ConnectionEvent::Ready
        }
    }
}

//! Events of connections, as the frontend's parts handle them.

use crate::frontend::FrontendContext;
use crate::net::Token;

/// What happened at a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEvent {
    /// There may be input, the peer's end, or capacity for more output.
    Ready,
    /// The connection could not be established or was reset.
    Failed {
        /// All of our output had been written.
        all_written: bool,
    },
}

impl ConnectionEvent {
    /// The event that an established connection is in, for owners that come back to it later.
    pub(super) fn current(ctx: &FrontendContext, token: Token) -> ConnectionEvent {
        if ctx.net.is_failed(token) {
            ConnectionEvent::Failed { all_written: true }
        } else {
            ConnectionEvent::Ready
        }
    }
}

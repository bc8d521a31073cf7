//! The frontends and the node state that they access.

use super::state::NodeState;
use crate::frontend::{Frontend, FrontendContext, Frontends, ParsedFrontendFile, TransferredConnection};
use crate::requests::FrontendId;

/// Owns the frontends, and calls them with a context that borrows the node state.
pub(super) struct FrontendHost {
    pub(super) state: NodeState,
    frontends: Frontends,
}

impl FrontendHost {
    pub(super) fn new(state: NodeState, frontends: Frontends) -> FrontendHost {
        FrontendHost { state, frontends }
    }

    /// Calls the frontend with this id. Returns `None` if there is no such frontend.
    pub(super) fn call<R>(
        &mut self,
        id: FrontendId,
        call: impl FnOnce(&mut dyn Frontend, &mut FrontendContext) -> R,
    ) -> Option<R> {
        let frontend = self.frontends.get(id)?;
        Some(call(frontend, &mut self.state.frontend_context()))
    }

    /// Calls every frontend, in the order of their ids.
    pub(super) fn for_each(&mut self, mut call: impl FnMut(&mut dyn Frontend, &mut FrontendContext)) {
        for frontend in self.frontends.all() {
            call(frontend.as_mut(), &mut self.state.frontend_context());
        }
    }

    /// Passes a connection of another process to the frontend with this name, which continues it. If there is no such
    /// frontend, the connection is closed.
    pub(super) fn receive_connection(&mut self, frontend: &str, connection: TransferredConnection) {
        if let Some(id) = self.frontends.id_by_name(frontend) {
            self.call(id, |frontend, ctx| frontend.receive_connection(ctx, connection));
        }
    }

    /// Applies a new configuration file to an optional frontend. Returns the changed fields that need a restart.
    pub(super) fn reload(&mut self, file: ParsedFrontendFile) -> Vec<&'static str> {
        self.frontends.reload(file)
    }

    /// Whether no request is open and no frontend has a client.
    pub(super) fn is_idle(&self) -> bool {
        self.state.requests.is_idle() && self.frontends.are_idle()
    }

    /// The log lines with the frontends' own counters.
    pub(super) fn counter_lines(&self) -> Vec<String> {
        self.frontends.counter_lines()
    }
}

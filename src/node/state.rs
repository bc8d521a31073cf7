//! The state that the parts of the node and the frontends share.

use super::clock::Clock;
use crate::config::Config;
use crate::discovery::EndpointRegistry;
use crate::frontend::{FrontendContext, TimerEvent};
use crate::lifecycle::Lifecycle;
use crate::net::{SocketReactor, TimerWheel};
use crate::requests::RequestTable;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The shared state. Frontends access it through a [`FrontendContext`] per call, the other parts of the node directly.
///
/// The fields are visible to all parts of the node so that several can be borrowed at once; each field maintains its
/// own invariants.
pub(super) struct NodeState {
    pub(super) clock: Clock,
    pub(super) net: SocketReactor,
    pub(super) requests: RequestTable,
    pub(super) registry: EndpointRegistry,
    pub(super) wheel: TimerWheel<TimerEvent>,
    pub(super) config: Config,
    pub(super) lifecycle: Lifecycle,
}

impl NodeState {
    /// The current time of the node's clock.
    pub(super) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Passes the times of both clocks to the endpoint registry, which detects steps of the wall clock: discovery
    /// reports the start times of servers in wall-clock time. Returns the time of the node's clock.
    pub(super) fn observe_clocks(&mut self) -> MonotonicTime {
        let now = self.now();
        self.registry.observe_clocks(now, Clock::wall());
        now
    }

    /// The context for one call to a frontend.
    pub(super) fn frontend_context(&mut self) -> FrontendContext<'_> {
        let now = self.now();
        FrontendContext {
            now,
            net: &mut self.net,
            requests: &mut self.requests,
            registry: &self.registry,
            wheel: &mut self.wheel,
            settings: &self.config.frontend_settings,
            classes: &self.config.settings.classes,
            accepts_clients: self.lifecycle.accepts_clients(),
            shutting_down: self.lifecycle.is_closing(now),
        }
    }

    /// The longest deadline of any request class.
    pub(super) fn longest_deadline(&self) -> Duration {
        self.config.settings.classes.iter().map(|class| class.hard_limit).max().unwrap_or_default()
    }

    /// The number of established connections.
    pub(super) fn established_connections(&self) -> usize {
        self.requests.established().len()
    }
}

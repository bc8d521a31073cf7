//! The node: the process that serves clients on real sockets.
//!
//! One thread runs [`event_loop`]. Sockets, timers and signals become events for the request table and the frontends;
//! the request table lets the balancer decide and returns commands, which [`commands`] has the frontends execute.
//! [`startup`] opens everything in a fixed order; the other modules each have the node's steps of one concern.

mod admin_calls;
mod clock;
mod commands;
mod configuration;
mod draining;
mod endpoint_events;
mod error;
mod event_loop;
mod handover_steps;
mod options;
mod quotas;
mod reload;
mod reports;
mod signals;
mod startup;
mod startup_retry;
#[cfg(test)]
mod tests;

pub use configuration::Configuration;
pub use error::{PrepareError, ServeError};
pub use options::Options;
pub use startup::PreparedNode;

use crate::admin::AdminServer;
use crate::config::Config;
use crate::discovery::{DiscoveryClient, EndpointRegistry};
use crate::flow_export::FlowExport;
use crate::frontend::{Frontend, FrontendContext, FrontendFiles, Frontends, TimerEvent};
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use crate::net::{SocketReactor, TimerWheel};
use crate::quota::transport::LeaseTransport;
use crate::requests::{FrontendId, RequestTable};
use clock::Clock;
use signals::SignalSockets;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// What frontends work on, through a [`FrontendContext`].
struct NodeState {
    clock: Clock,
    net: SocketReactor,
    requests: RequestTable,
    registry: EndpointRegistry,
    wheel: TimerWheel<TimerEvent>,
    config: Config,
    lifecycle: Lifecycle,
}

impl NodeState {
    fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// The context of one call of a frontend.
    fn frontend_context(&mut self) -> FrontendContext<'_> {
        let now = self.clock.now();
        FrontendContext {
            now,
            net: &mut self.net,
            requests: &mut self.requests,
            registry: &self.registry,
            wheel: &mut self.wheel,
            site: &self.config.frontend_settings,
            classes: &self.config.settings.classes,
            accepts_clients: self.lifecycle.accepts_clients(),
            shutting_down: self.lifecycle.is_closing(now),
        }
    }

    /// The longest deadline of any request class.
    fn longest_deadline(&self) -> Duration {
        self.config.settings.classes.iter().map(|class| class.hard_limit).max().unwrap_or_default()
    }
}

/// A node that serves.
struct Node {
    state: NodeState,
    frontends: Frontends,
    /// The optional frontends' files, to be read again with the configuration.
    frontend_files: FrontendFiles,
    discovery: DiscoveryClient,
    admin: Option<AdminServer>,
    handover: Option<Handover>,
    /// Where this node is a member of a fleet with quotas.
    lease_transport: Option<LeaseTransport>,
    flow_export: Option<FlowExport>,
    signals: SignalSockets,
    /// A [`TimerEvent::DrainStep`] is on the timer wheel.
    drain_step_scheduled: bool,
}

impl Node {
    /// Calls the frontend with this id. None where there is no such frontend.
    fn with_frontend<R>(
        &mut self,
        id: FrontendId,
        call: impl FnOnce(&mut dyn Frontend, &mut FrontendContext) -> R,
    ) -> Option<R> {
        let frontend = self.frontends.get(id)?;
        Some(call(frontend, &mut self.state.frontend_context()))
    }

    /// Calls every frontend, in the order of their ids.
    fn for_each_frontend(&mut self, mut call: impl FnMut(&mut dyn Frontend, &mut FrontendContext)) {
        for frontend in self.frontends.all() {
            call(frontend.as_mut(), &mut self.state.frontend_context());
        }
    }
}

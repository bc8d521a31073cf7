//! The interface between the event loop and a frontend: the [`Frontend`] trait, the context passed to its methods,
//! and the timer events.

use crate::config::FrontendSettings;
use crate::discovery::EndpointRegistry;
use crate::model::{Event, RequestClass, RequestId, ServerId};
use crate::net::{SocketEvent, SocketReactor, TimerWheel, Token};
use crate::requests::{FrontendId, RequestTable};
use sparbank_time::MonotonicTime;
use std::any::Any;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// The id of the text protocol's frontend, which is always enabled.
pub const TEXT_FRONTEND: FrontendId = FrontendId { index: 0, name: "text" };

/// How long before the client's deadline a frontend sends its answer. It covers the delay of the timer wheel, the
/// event loop and the network path back to the client.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// The parts of the node that a frontend may access during one call.
pub struct FrontendContext<'a> {
    /// The current time on the node's monotonic clock, read once for this call.
    pub now: MonotonicTime,
    /// The sockets of all frontends.
    pub net: &'a mut SocketReactor,
    /// All requests and their attempts.
    pub requests: &'a mut RequestTable,
    /// The servers of the endpoint list, with their ids and addresses.
    pub registry: &'a EndpointRegistry,
    /// Schedules timers; an elapsed timer is delivered as the [`TimerEvent`] it was scheduled with.
    pub wheel: &'a mut TimerWheel<TimerEvent>,
    /// Settings that only frontends use.
    pub settings: &'a FrontendSettings,
    /// The request classes, in the order in which the settings list them.
    pub classes: &'a [RequestClass],
    /// Whether the external load balancer in front of the nodes should route clients to this node.
    pub accepts_clients: bool,
    /// Whether the process is about to exit. New requests are then answered without an attempt.
    pub shutting_down: bool,
}

/// The event that a timer of the timer wheel delivers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer set by the balancer, with the balancer's token.
    Policy(u64),
    /// The time-out of the attempt with this number.
    AttemptTimeout(RequestId, u32),
    /// The time-out for establishing an outgoing connection of a frontend.
    ConnectTimeout(FrontendId, Token),
    /// A timer that a frontend has set for one of its sockets.
    FrontendTimer(FrontendId, Token),
    /// The periodic tick for checks without a timer of their own.
    Tick,
    /// The next step of a drain.
    MigrationStep,
    /// The next exchange with the grantor of quota leases.
    LeaseExchange,
    /// The time-out for reading an admin request.
    AdminTimeout(Token),
}

/// Whether a frontend has done all that it could in one call of [`Frontend::flush`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushStatus {
    /// Nothing is left that could be done now.
    Complete,
    /// A limit on the work of one iteration of the event loop was reached. The next iteration continues.
    Incomplete,
}

/// A parsed configuration file, which its frontend downcasts to the concrete type.
pub type FrontendConfig = Box<dyn Any>;

/// The server side of one client protocol.
///
/// The event loop owns the frontends ([`Frontends`](super::Frontends)) and calls them on its single thread, so no
/// method may block. A frontend reads requests from its clients and passes them to the request table. The event loop
/// carries out the balancer's decisions by calling [`start_attempt`](Frontend::start_attempt),
/// [`reject`](Frontend::reject) and [`fail`](Frontend::fail). The frontend reports the outcome of each attempt to the
/// request table.
///
/// Only the methods without a default implementation are required.
pub trait Frontend {
    /// Handles an event on one of the frontend's sockets.
    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent);

    /// Called when an outgoing connection has been established and may be written to.
    ///
    /// The event loop calls this at the end of an iteration, after all socket events, timers and commands, and
    /// updates `ctx.now` first. The process may have been stalled since the iteration began, so the frontend must
    /// read the client's socket and check the deadline again before it writes a request.
    fn on_connected(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// Called when [`TimerEvent::ConnectTimeout`] elapses. If the connection has been established meanwhile, the
    /// frontend ignores the call.
    fn on_connect_timeout(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// Called when a [`TimerEvent::FrontendTimer`] of this frontend elapses. Timers are not cancelled when their
    /// socket is closed, so the token may be stale.
    fn on_timer(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// Called periodically, for checks without a timer of their own.
    fn on_tick(&mut self, _ctx: &mut FrontendContext) {}

    /// Called after each batch of balancer decisions: writes the output buffered for each socket at once. A frontend
    /// that repeats steps here limits their number, so that the other sockets are served.
    fn flush(&mut self, _ctx: &mut FrontendContext) -> FlushStatus {
        FlushStatus::Complete
    }

    /// Starts an attempt of a request, which may take at most `timeout`. A request has at most one attempt at a time.
    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    );

    /// Handles input that has already arrived from the server of an attempt that is about to time out. The event loop
    /// calls this before [`on_attempt_timeout`](Frontend::on_attempt_timeout), so that an answer already received is
    /// not discarded.
    fn read_answer(&mut self, _ctx: &mut FrontendContext, _request_id: RequestId) {}

    /// Called when the time-out of an attempt has elapsed: cancels the attempt and reports its end to the request
    /// table. Only the frontend knows whether the request can be sent again.
    fn on_attempt_timeout(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    /// Cancels the attempt of a request that has already ended in the request table. No attempt follows.
    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    /// Sends the final answer "rejected" and advises the client to retry after `retry_after`.
    fn reject(&mut self, ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration);

    /// Sends the final answer "failed".
    fn fail(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    /// Instructs the client of an established connection to reconnect. The request table has already removed the
    /// request.
    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    /// Called when servers stop accepting new attempts: cancels the attempts at these servers that have not been sent
    /// yet.
    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, servers: &[ServerId]);

    /// Whether a connection of this frontend refers to this server, so that its id must not be reused.
    fn uses_server(&self, server: ServerId) -> bool;

    /// Called when servers that were removed long ago are forgotten: their ids may be reused for other servers.
    fn on_servers_forgotten(&mut self, servers: &[ServerId]);

    /// Starts a health check: requests a server's load report in the text protocol. The result is pushed to the
    /// request table as [`Event::HealthCheckResult`]. The default implementation, for frontends without health
    /// checks, reports a failed check immediately.
    fn check_health(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
    }

    /// Whether no client is connected.
    fn is_idle(&self) -> bool;

    /// Called at each step of a drain, a handover or a shutdown, starting when connections are being migrated.
    fn on_migration_step(&mut self, _ctx: &mut FrontendContext) {}

    /// Releases at most `max_connections` connections for transfer to the successor process. Connections that are not
    /// handed over end in this process.
    fn hand_over_connections(
        &mut self,
        _ctx: &mut FrontendContext,
        _max_connections: usize,
    ) -> Vec<TransferredConnection> {
        Vec::new()
    }

    /// Takes over a connection from the predecessor, or takes back one that could not be passed to the successor.
    fn receive_connection(&mut self, _ctx: &mut FrontendContext, _connection: TransferredConnection) {}

    /// Called when the node accepts clients again after a drain.
    fn resume_serving(&mut self, _ctx: &mut FrontendContext) {}

    /// Applies a new configuration, as read by [`OptionalFrontend::read`](super::OptionalFrontend::read). Returns the
    /// names of the changed fields that take effect only after a restart.
    fn reload(&mut self, _new: FrontendConfig) -> Vec<&'static str> {
        Vec::new()
    }

    /// The log line of the frontend's own counters, if it has any.
    fn counter_line(&self) -> Option<String> {
        None
    }
}

/// A connection in transfer between the processes of a handover.
pub struct TransferredConnection {
    /// The frontend's state for the connection, as JSON.
    pub state: String,
    /// The file descriptors of its sockets, starting with the client's.
    pub fds: Vec<OwnedFd>,
}

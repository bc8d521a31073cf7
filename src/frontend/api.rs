//! The interface between the event loop and a frontend: the trait [`Frontend`], the context of its calls, and the timer
//! events.

use crate::config::FrontendSettings;
use crate::discovery::EndpointRegistry;
use crate::model::{Event, Outcome, RequestClass, RequestId, ServerId};
use crate::net::{SocketEvent, SocketReactor, TimerWheel, Token};
use crate::requests::{FrontendId, RequestTable};
use sparbank_time::MonotonicTime;
use std::any::Any;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// The id of the platform's own frontend.
pub const TEXT_FRONTEND: FrontendId = FrontendId { index: 0, name: "text" };

/// Time by which a frontend's answer precedes the client's deadline: the timer wheel, the event loop and the way back to
/// the client take this much at most.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// The parts of the node that a frontend may use during one call.
pub struct FrontendContext<'a> {
    /// The time of this call, on the node's clock.
    pub now: MonotonicTime,
    /// The sockets of all frontends.
    pub net: &'a mut SocketReactor,
    /// The requests and their attempts.
    pub requests: &'a mut RequestTable,
    /// The known servers.
    pub registry: &'a EndpointRegistry,
    /// Timers; each comes back as the [`TimerEvent`] that was put in.
    pub wheel: &'a mut TimerWheel<TimerEvent>,
    /// The settings that frontends need and the balancer does not.
    pub settings: &'a FrontendSettings,
    /// The request classes, in the order of the settings.
    pub classes: &'a [RequestClass],
    /// Whether the load balancer in front of the nodes should send clients here.
    pub accepts_clients: bool,
    /// Whether the process is about to end: requests that arrive now are answered without an attempt.
    pub shutting_down: bool,
}

/// An entry of the timer wheel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer of the balancer, with its token.
    Policy(u64),
    /// The time-out of a request's attempt, by the attempt's number.
    AttemptTimeout(RequestId, u32),
    /// The time-out of a frontend's outgoing connection.
    ConnectTimeout(FrontendId, Token),
    /// A frontend's own timer for one of its sockets.
    FrontendTimer(FrontendId, Token),
    /// The periodic check of everything that needs no timer of its own.
    Tick,
    /// The next step of a drain.
    DrainStep,
    /// The next exchange with the grantor of quota leases.
    LeaseExchange,
    /// The time-out of reading an admin call.
    AdminTimeout(Token),
}

/// A parsed configuration file, of a type that its frontend knows.
pub type FrontendConfig = Box<dyn Any>;

/// A frontend: the server of one client protocol.
///
/// The event loop owns the frontends ([`Frontends`](super::Frontends)) and calls them on its one thread, so no call may
/// block. A frontend reads requests from its clients and passes them to the request table; the balancer's decisions come
/// back as calls of [`start_attempt`](Frontend::start_attempt), [`reject`](Frontend::reject) and
/// [`fail`](Frontend::fail). What becomes of an attempt is reported to the request table.
///
/// The methods without a default are required of every frontend.
pub trait Frontend {
    // ---- Sockets -------------------------------------------------------------------------------

    /// Handles an event at one of the frontend's sockets.
    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent);

    /// An outgoing connection has been established; the frontend may now write to it.
    ///
    /// The event loop calls this at the end of an iteration, after all socket events, timers and commands, and with a
    /// new `ctx.now`. The process may have been stalled since the iteration began, so the frontend reads its client's
    /// socket again and checks the deadline again before it writes a request.
    fn on_connected(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// The time for establishing an outgoing connection is over. The connection may have been established by now, in
    /// which case there is nothing to do.
    fn on_connect_timeout(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// One of the frontend's own timers ([`TimerEvent::FrontendTimer`]) has elapsed. Timers are not cancelled: the
    /// socket may have been closed.
    fn on_timer(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// Called periodically, for checks that need no timer of their own.
    fn on_tick(&mut self, _ctx: &mut FrontendContext) {}

    /// Called after each round of decisions: writes what was gathered for each socket in one go.
    fn flush(&mut self, _ctx: &mut FrontendContext) {}

    // ---- Requests ------------------------------------------------------------------------------

    /// Starts the only attempt of a request, which may take `timeout` at most.
    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    );

    /// Handles what has already arrived from the server of an attempt that is about to time out. The event loop calls
    /// this before [`cancel_attempt`](Frontend::cancel_attempt), so that an answer that is there counts.
    fn read_answer(&mut self, _ctx: &mut FrontendContext, _request_id: RequestId) {}

    /// Cancels the attempt of a request and yields its outcome. An attempt whose request was not sent completely never
    /// ran.
    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) -> Outcome;

    /// Sends the final answer "rejected", with the advice to retry after `retry_after`.
    fn reject(&mut self, ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration);

    /// Sends the final answer "failed".
    fn fail(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    /// Tells the client of an established connection to reconnect. The request table has already dropped the request.
    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId);

    // ---- Servers -------------------------------------------------------------------------------

    /// These servers accept no new attempts: cancels those that have not been sent to them.
    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, stopped: &[ServerId]);

    /// Requests a server's load report in the platform's protocol. The result is pushed to the request table as
    /// [`Event::HealthCheckResult`]. A frontend without health checks reports a failed one at once.
    fn check_health(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
    }

    // ---- Drain, handover and shutdown ----------------------------------------------------------

    /// Whether the frontend has no client.
    fn is_idle(&self) -> bool;

    /// Called at each step of a drain, a handover or a shutdown, from the moment when connections are migrated.
    fn on_drain_step(&mut self, _ctx: &mut FrontendContext) {}

    /// Releases at most `max_connections` connections for the process that replaces this one. Connections that are
    /// not handed over end here.
    fn hand_over_connections(
        &mut self,
        _ctx: &mut FrontendContext,
        _max_connections: usize,
    ) -> Vec<TransferredConnection> {
        Vec::new()
    }

    /// Continues a connection of the process that this one replaces, or one that the replacement did not get.
    fn receive_connection(&mut self, _ctx: &mut FrontendContext, _connection: TransferredConnection) {}

    /// The node accepts clients again after a drain.
    fn resume_serving(&mut self, _ctx: &mut FrontendContext) {}

    // ---- Configuration and counters ------------------------------------------------------------

    /// Applies a newer configuration file, as read by [`OptionalFrontend::read`](super::OptionalFrontend::read). Returns
    /// the fields that differ and need a restart.
    fn reload(&mut self, _new: FrontendConfig) -> Vec<&'static str> {
        Vec::new()
    }

    /// The line of the frontend's own counters, if it has any.
    fn counter_line(&self) -> Option<String> {
        None
    }
}

/// A connection in transfer from one process to the next.
pub struct TransferredConnection {
    /// The frontend's state of the connection, as JSON.
    pub state: String,
    /// Its file descriptors, the client's first.
    pub fds: Vec<OwnedFd>,
}

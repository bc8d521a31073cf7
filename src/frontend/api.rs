//! What the event loop and a frontend agree on: the trait [`Frontend`], the context of its calls, and the timer events.

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

/// Time by which a frontend's answer precedes the client's deadline: the timer wheel, the event loop
/// and the way back to the client take this much at most.
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
    pub site: &'a FrontendSettings,
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

/// A frontend: the server of one client protocol. Methods without a default are required of every frontend.
pub trait Frontend {
    /// Handles an event at one of the frontend's sockets.
    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent);
    /// Starts the only attempt of a request. `timeout` is how long the attempt may take.
    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    );
    /// Cancels an attempt and returns its outcome: an attempt that was not sent completely never ran.
    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) -> Outcome;
    /// Sends the final answer "rejected", with the advice to retry after `retry_after`.
    fn reject(&mut self, ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration);
    /// Sends the final answer "failed".
    fn fail(&mut self, ctx: &mut FrontendContext, request_id: RequestId);
    /// Tells the client of an established connection to reconnect. The request table has already dropped the request.
    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId);
    /// These servers accept no new attempts: cancels those that have not been sent to them.
    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, stopped: &[ServerId]);
    /// Whether the frontend has no client.
    fn is_idle(&self) -> bool;

    /// An outgoing connection has been established, and nothing of it is written yet. It comes after all else of the
    /// turn; the time and the sockets are to be looked at again, since the process may have been stalled.
    fn on_connected(&mut self, _ctx: &mut FrontendContext, _token: Token) {}

    /// Handles what has already arrived from the server of an attempt whose time is up.
    fn read_answer(&mut self, _ctx: &mut FrontendContext, _request_id: RequestId) {}

    /// An outgoing connection has reached its time-out, whether or not it is established by now.
    fn on_connect_timeout(&mut self, _ctx: &mut FrontendContext, _token: Token) {}
    /// Requests a server's load report in the platform's protocol. The result is pushed to the request table as
    /// [`Event::HealthCheckResult`]. A frontend without health checks reports a failed one at once.
    fn check_health(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
    }
    /// One of the frontend's own timers has elapsed.
    fn on_timer(&mut self, _ctx: &mut FrontendContext, _token: Token) {}
    /// Called periodically, for checks that need no timer of their own.
    fn on_tick(&mut self, _ctx: &mut FrontendContext) {}
    /// Called after each round of decisions: writes what was gathered for each socket in one go.
    fn flush(&mut self, _ctx: &mut FrontendContext) {}
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
    /// Applies a newer configuration file, as read by [`OptionalFrontend::read`](super::OptionalFrontend::read). Returns
    /// the fields that differ and need a restart.
    fn reload(&mut self, _new: Box<dyn Any>) -> Vec<&'static str> {
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

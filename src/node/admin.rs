//! Executes the calls of the admin API.

use super::drain::DrainSteps;
use super::frontend_host::FrontendHost;
use crate::admin::{AdminCall, AdminServer, CallCounts, Response};
use crate::lifecycle::ShuttingDownError;
use crate::net::{SocketEvent, SocketReactor, Token};
use sparbank_time::MonotonicTime;

/// Owns the server of the admin API, where there is one.
pub(super) struct AdminCalls {
    server: Option<AdminServer>,
}

impl AdminCalls {
    /// Executes the calls of this server.
    pub(super) fn new(server: Option<AdminServer>) -> AdminCalls {
        AdminCalls { server }
    }

    /// Handles an event at a socket of the admin API, and answers a call that it completes.
    pub(super) fn on_socket_event(
        &mut self,
        host: &mut FrontendHost,
        drain_steps: &mut DrainSteps,
        event: SocketEvent,
    ) {
        let Some(server) = &mut self.server else { return };
        let now = host.state.now();
        let call = server.on_socket_event(now, &mut host.state.net, &mut host.state.wheel, event);
        let Some(call) = call else { return };
        let response = execute(host, drain_steps, now, call);
        server.respond(&mut host.state.net, event.token, &response);
    }

    /// Answers a call that has not arrived completely in time.
    pub(super) fn on_timeout(&mut self, net: &mut SocketReactor, token: Token) {
        if let Some(server) = &mut self.server {
            server.on_timeout(net, token);
        }
    }

    /// What became of the calls so far; none without an admin API.
    pub(super) fn counts(&self) -> Option<CallCounts> {
        self.server.as_ref().map(AdminServer::counts)
    }
}

fn execute(
    host: &mut FrontendHost,
    drain_steps: &mut DrainSteps,
    now: MonotonicTime,
    call: AdminCall,
) -> Response {
    match call {
        AdminCall::Ready if host.state.lifecycle.is_shutting_down() => Response::new(503, "leaving"),
        AdminCall::Ready => Response::new(200, "ready"),
        AdminCall::Drain => drain(host, drain_steps, now),
        AdminCall::Resume => resume(host),
    }
}

/// Starts to migrate all clients. A second call changes nothing.
fn drain(host: &mut FrontendHost, drain_steps: &mut DrainSteps, now: MonotonicTime) -> Response {
    let established_connections = host.state.established_connections();
    if drain_steps.drain(host, now) {
        host.state.requests.counters_mut().drains += 1;
        tracing::info!(established_connections, "draining");
    }
    Response::new(200, format!("draining standing={established_connections}"))
}

/// Ends a drain. A node that shuts down cannot.
fn resume(host: &mut FrontendHost) -> Response {
    match host.state.lifecycle.resume() {
        Ok(was_draining) => {
            if was_draining {
                host.state.requests.counters_mut().resumes += 1;
                let established_connections = host.state.established_connections();
                tracing::info!(established_connections, "drain ended, serving again");
                host.for_each(|frontend, ctx| frontend.resume_serving(ctx));
            }
            Response::new(200, "serving")
        }
        Err(ShuttingDownError) => Response::new(409, "leaving: start it again"),
    }
}

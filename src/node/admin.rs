//! Handles calls of the admin API: readiness, drain and resume.

use super::drain::DrainManager;
use super::frontend_host::FrontendHost;
use crate::admin::{AdminCall, AdminServer, CallCounts, Response};
use crate::lifecycle::ShuttingDownError;
use crate::net::{SocketEvent, SocketReactor, Token};
use sparbank_time::MonotonicTime;

/// Owns the server of the admin API and executes its calls.
pub(super) struct AdminHandler {
    /// `None` if the admin API is disabled.
    server: Option<AdminServer>,
}

impl AdminHandler {
    pub(super) fn new(server: Option<AdminServer>) -> AdminHandler {
        AdminHandler { server }
    }

    /// Handles an event on a socket of the admin API. If the event completes a call, executes and answers it.
    pub(super) fn on_socket_event(
        &mut self,
        host: &mut FrontendHost,
        drain: &mut DrainManager,
        event: SocketEvent,
    ) {
        let Some(server) = &mut self.server else { return };
        let now = host.state.now();
        let call = server.on_socket_event(now, &mut host.state.net, &mut host.state.wheel, event);
        let Some(call) = call else { return };
        let response = execute(host, drain, now, call);
        server.respond(&mut host.state.net, event.token, &response);
    }

    /// Answers a call that was not received completely within its time-out.
    pub(super) fn on_timeout(&mut self, net: &mut SocketReactor, token: Token) {
        if let Some(server) = &mut self.server {
            server.on_timeout(net, token);
        }
    }

    /// The numbers of calls by their result; `None` if the admin API is disabled.
    pub(super) fn counts(&self) -> Option<CallCounts> {
        self.server.as_ref().map(AdminServer::counts)
    }
}

fn execute(
    host: &mut FrontendHost,
    drain: &mut DrainManager,
    now: MonotonicTime,
    call: AdminCall,
) -> Response {
    match call {
        AdminCall::Ready if host.state.lifecycle.is_shutting_down() => Response::new(503, "leaving"),
        AdminCall::Ready => Response::new(200, "ready"),
        AdminCall::Drain => start_drain(host, drain, now),
        AdminCall::Resume => resume(host),
    }
}

/// Starts a drain, which migrates all clients. Changes nothing if the node is draining already.
fn start_drain(host: &mut FrontendHost, drain: &mut DrainManager, now: MonotonicTime) -> Response {
    let established_connections = host.state.established_connections();
    if drain.start_drain(host, now) {
        host.state.requests.counters_mut().drains += 1;
        tracing::info!(established_connections, "draining");
    }
    Response::new(200, format!("draining standing={established_connections}"))
}

/// Ends a drain, so that the node accepts clients again. Rejected if the process is shutting down or has a successor.
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

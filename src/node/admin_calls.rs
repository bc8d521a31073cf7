//! The calls of the admin API.

use super::Node;
use crate::admin::{AdminCall, Response};
use crate::lifecycle::ShuttingDownError;
use crate::net::SocketEvent;
use sparbank_time::MonotonicTime;

impl Node {
    /// Handles an event at a socket of the admin API, and answers a call that it completes.
    pub(super) fn on_admin_socket(&mut self, event: SocketEvent) {
        let now = self.state.now();
        let Some(admin) = &mut self.admin else { return };
        let call = admin.on_socket_event(now, &mut self.state.net, &mut self.state.wheel, event);
        let Some(call) = call else { return };
        let response = self.execute_admin_call(now, call);
        if let Some(admin) = &mut self.admin {
            admin.respond(&mut self.state.net, event.token, &response);
        }
    }

    fn execute_admin_call(&mut self, now: MonotonicTime, call: AdminCall) -> Response {
        match call {
            AdminCall::Ready if self.state.lifecycle.is_shutting_down() => Response::new(503, "leaving"),
            AdminCall::Ready => Response::new(200, "ready"),
            AdminCall::Drain => self.drain(now),
            AdminCall::Resume => self.resume(),
        }
    }

    /// Begins to migrate all clients. A second call changes nothing.
    fn drain(&mut self, now: MonotonicTime) -> Response {
        let established = self.state.requests.established().len();
        if self.state.lifecycle.drain(now) {
            self.state.requests.counters_mut().drains += 1;
            tracing::info!(established_connections = established, "draining");
            self.schedule_drain_steps();
        }
        Response::new(200, format!("draining standing={established}"))
    }

    /// Ends a drain. A node that shuts down cannot.
    fn resume(&mut self) -> Response {
        match self.state.lifecycle.resume() {
            Ok(was_draining) => {
                if was_draining {
                    self.state.requests.counters_mut().resumes += 1;
                    let established_connections = self.state.requests.established().len();
                    tracing::info!(established_connections, "drain ended, serving again");
                    self.for_each_frontend(|frontend, ctx| frontend.resume_serving(ctx));
                }
                Response::new(200, "serving")
            }
            Err(ShuttingDownError) => Response::new(409, "leaving: start it again"),
        }
    }
}

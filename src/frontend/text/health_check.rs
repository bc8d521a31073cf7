//! Health checks of servers.
//!
//! If the settings allow health checks, the node may send `STATS` as the first line on a connection to a server. The
//! server answers `PONG` with its [load report](super::load_report), or `ERR`, and the connection can be reused for
//! further checks. Without health checks in the settings, a server answers `NO`.
//!
//! The node has at most one health-check connection per server, with one check in flight on it at a time. The number
//! of descriptors used for checks is therefore bounded by the number of servers in the endpoint registry.

use super::connection_event::ConnectionEvent;
use super::line_buffer::{take_line, LineRead};
use super::load_report::{LoadReport, UTILIZATION};
use super::protocol_error::{server_name, ServerProtocolError};
use crate::frontend::{FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::{Event, ServerId};
use crate::net::{SocketOwner, Token};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

/// The request line of a health check.
const HEALTH_CHECK_LINE: &[u8] = b"STATS\r\n";
/// A check that is not answered within this time has failed, and its connection is closed: the report of a server
/// that takes longer for a check than the latency objective of a message does not help server selection.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// An open health-check connection to one server.
struct CheckConnection {
    token: Token,
    /// When the check in flight was sent, if there is one.
    in_flight_since: Option<MonotonicTime>,
}

/// A health-check connection that has ended.
#[derive(Debug, PartialEq, Eq)]
struct EndedConnection {
    server: ServerId,
    /// Whether a check was in flight.
    was_in_flight: bool,
}

/// The health-check connections of the node.
#[derive(Default)]
pub(super) struct HealthChecks {
    by_server: HashMap<ServerId, CheckConnection>,
    servers_by_connection: HashMap<Token, ServerId>,
}

/// How to carry out a health check.
#[derive(Debug, PartialEq, Eq)]
enum CheckStep {
    /// A check is already in flight; its answer is used.
    AlreadyInFlight,
    /// Send the check on the existing connection to the server.
    Reuse(Token),
    /// Send the check on a new connection.
    Connect,
}

impl HealthChecks {
    /// Begins a check of this server at `now` and returns how to carry it out.
    fn begin_check(&mut self, now: MonotonicTime, server: ServerId) -> CheckStep {
        match self.by_server.get_mut(&server) {
            None => CheckStep::Connect,
            Some(connection) if connection.in_flight_since.is_some() => CheckStep::AlreadyInFlight,
            Some(connection) => {
                connection.in_flight_since = Some(now);
                CheckStep::Reuse(connection.token)
            }
        }
    }

    /// Adds a connection that was opened for a check sent at `now`.
    fn add_connection(&mut self, now: MonotonicTime, server: ServerId, token: Token) {
        self.by_server.insert(server, CheckConnection { token, in_flight_since: Some(now) });
        self.servers_by_connection.insert(token, server);
    }

    /// Records an answer on a connection. Returns the server if a check was in flight on the connection.
    fn on_answer(&mut self, token: Token) -> Option<ServerId> {
        let server = *self.servers_by_connection.get(&token)?;
        self.by_server.get_mut(&server)?.in_flight_since.take().map(|_| server)
    }

    /// Whether a check is in flight on this connection that was sent before `time`.
    fn was_sent_before(&self, token: Token, time: MonotonicTime) -> bool {
        let connection = self.servers_by_connection.get(&token).and_then(|server| self.by_server.get(server));
        let sent_at = connection.and_then(|connection| connection.in_flight_since);
        sent_at.is_some_and(|sent_at| sent_at < time)
    }

    /// Whether a check is in flight on this connection that has timed out.
    pub(super) fn has_timed_out(&self, token: Token, now: MonotonicTime) -> bool {
        self.was_sent_before(token, now + Duration::from_nanos(1) - HEALTH_CHECK_TIMEOUT)
    }

    /// Removes a connection that has ended.
    fn remove_connection(&mut self, token: Token) -> Option<EndedConnection> {
        let server = self.servers_by_connection.remove(&token)?;
        let connection = self.by_server.remove(&server)?;
        Some(EndedConnection { server, was_in_flight: connection.in_flight_since.is_some() })
    }

    /// Whether there is a health-check connection to this server.
    pub(super) fn has_connection_to(&self, server: ServerId) -> bool {
        self.by_server.contains_key(&server)
    }

    /// Whether this is a health-check connection.
    pub(super) fn contains(&self, token: Token) -> bool {
        self.servers_by_connection.contains_key(&token)
    }

    /// Sends a health check to a server, on the existing health-check connection or on a new one.
    pub(super) fn start(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        let token = match self.begin_check(ctx.now, server) {
            CheckStep::AlreadyInFlight => return,
            CheckStep::Reuse(token) => token,
            CheckStep::Connect => {
                let Some(token) = self.connect(ctx, server) else {
                    return ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
                };
                token
            }
        };
        ctx.requests.counters_mut().health_checks += 1;
        ctx.net.send(token, HEALTH_CHECK_LINE);
        ctx.wheel.schedule(ctx.now + HEALTH_CHECK_TIMEOUT, TimerEvent::FrontendTimer(TEXT_FRONTEND, token));
    }

    fn connect(&mut self, ctx: &mut FrontendContext, server: ServerId) -> Option<Token> {
        let address = ctx.registry.entry(server)?.address();
        let token = ctx.net.connect(address, SocketOwner::Frontend(TEXT_FRONTEND)).ok()?;
        self.add_connection(ctx.now, server, token);
        Some(token)
    }

    /// Handles an event on a health-check connection. Each line answers the check in flight, if there is one; other
    /// lines are ignored. The connection is closed if the server has closed it or a line is too long.
    pub(super) fn on_event(&mut self, ctx: &mut FrontendContext, token: Token, event: ConnectionEvent) {
        while let Some(input) = ctx.net.input_buffer(token) {
            match take_line(input) {
                LineRead::Incomplete => break,
                LineRead::TooLong => return self.close(ctx, token),
                LineRead::Complete(line) => {
                    if let Some(server) = self.on_answer(token) {
                        report_health_check_answer(ctx, server, &line);
                    }
                }
            }
        }
        if event != ConnectionEvent::Ready || ctx.net.is_read_closed(token) {
            self.close(ctx, token);
        }
    }

    /// Closes a connection. A check in flight on it is reported as failed.
    pub(super) fn close(&mut self, ctx: &mut FrontendContext, token: Token) {
        ctx.net.close(token);
        if let Some(EndedConnection { server, was_in_flight: true }) = self.remove_connection(token) {
            ctx.requests.push_event(Event::HealthCheckResult { server, utilization: None });
        }
    }
}

fn report_health_check_answer(ctx: &mut FrontendContext, server: ServerId, line: &[u8]) {
    let utilization = match LoadReport::parse_health_check_answer(&String::from_utf8_lossy(line)) {
        Ok(report) => report.and_then(|report| report.get(UTILIZATION)),
        Err(error) => {
            ServerProtocolError::HealthCheckAnswer(error).log(ctx, Some(server));
            None
        }
    };
    tracing::trace!(server = %server_name(ctx, Some(server)), ?utilization, "health check result");
    ctx.requests.push_event(Event::HealthCheckResult { server, utilization });
}

#[cfg(test)]
mod tests;

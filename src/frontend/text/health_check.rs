//! Health checks of servers.
//!
//! Where the settings allow it, a connection to a server may begin with `STATS`, which the server answers `PONG` with its
//! [load report](super::load_report), or `ERR`; the connection may be used for further ones. Elsewhere a server
//! answers `NO`.
//!
//! The node has one health-check connection a server at most and one check in flight on it at a time, so the
//! descriptors that checks use are bounded by the servers in the endpoint registry.

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

/// What a health check is sent as.
const HEALTH_CHECK_LINE: &[u8] = b"STATS\r\n";
/// A check without an answer after this has failed, and its connection is closed: a server that takes longer to
/// answer a check than the latency objective of a message is no better for being known.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// A health-check connection.
struct CheckConnection {
    token: Token,
    /// When the check in flight was sent, if one is.
    in_flight_since: Option<MonotonicTime>,
}

/// A health-check connection that is over.
#[derive(Debug, PartialEq, Eq)]
struct EndedConnection {
    server: ServerId,
    /// A check was in flight.
    was_in_flight: bool,
}

/// The health-check connections of the node.
#[derive(Default)]
pub(super) struct HealthChecks {
    by_server: HashMap<ServerId, CheckConnection>,
    servers_by_connection: HashMap<Token, ServerId>,
}

/// How a health check is carried out.
#[derive(Debug, PartialEq, Eq)]
enum CheckStep {
    /// One is in flight: its answer will do.
    AlreadyInFlight,
    /// It is sent on this connection, which is established.
    Reuse(Token),
    /// It is sent on a new connection.
    Connect,
}

impl HealthChecks {
    /// A check of this server begins at `now`.
    fn begin(&mut self, now: MonotonicTime, server: ServerId) -> CheckStep {
        match self.by_server.get_mut(&server) {
            None => CheckStep::Connect,
            Some(connection) if connection.in_flight_since.is_some() => CheckStep::AlreadyInFlight,
            Some(connection) => {
                connection.in_flight_since = Some(now);
                CheckStep::Reuse(connection.token)
            }
        }
    }

    /// A connection was opened for a check sent at `now`.
    fn add_connection(&mut self, now: MonotonicTime, server: ServerId, token: Token) {
        self.by_server.insert(server, CheckConnection { token, in_flight_since: Some(now) });
        self.servers_by_connection.insert(token, server);
    }

    /// An answer has arrived on a connection: the server, where a check was in flight on it.
    fn on_answer(&mut self, token: Token) -> Option<ServerId> {
        let server = *self.servers_by_connection.get(&token)?;
        self.by_server.get_mut(&server)?.in_flight_since.take().map(|_| server)
    }

    /// Whether the check in flight on this connection, if any, was sent before this time.
    fn was_sent_before(&self, token: Token, time: MonotonicTime) -> bool {
        let connection = self.servers_by_connection.get(&token).and_then(|server| self.by_server.get(server));
        let sent_at = connection.and_then(|connection| connection.in_flight_since);
        sent_at.is_some_and(|sent_at| sent_at < time)
    }

    /// Whether the check in flight on this connection, if any, has timed out.
    pub(super) fn has_timed_out(&self, token: Token, now: MonotonicTime) -> bool {
        self.was_sent_before(token, now + Duration::from_nanos(1) - HEALTH_CHECK_TIMEOUT)
    }

    /// A connection is over.
    fn remove_connection(&mut self, token: Token) -> Option<EndedConnection> {
        let server = self.servers_by_connection.remove(&token)?;
        let connection = self.by_server.remove(&server)?;
        Some(EndedConnection { server, was_in_flight: connection.in_flight_since.is_some() })
    }

    /// Whether this is one of its connections.
    pub(super) fn contains(&self, token: Token) -> bool {
        self.servers_by_connection.contains_key(&token)
    }

    /// Sends a health check, on the server's connection for them or on a new one.
    pub(super) fn start(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        let token = match self.begin(ctx.now, server) {
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
        let addr = ctx.registry.entry(server)?.address();
        let token = ctx.net.connect(addr, SocketOwner::Frontend(TEXT_FRONTEND)).ok()?;
        self.add_connection(ctx.now, server, token);
        Some(token)
    }

    /// Handles lines on a connection, each of which answers the check in flight on it, if any, and the connection's
    /// end.
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

    /// Closes a connection. The check in flight on it, if any, has no result.
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

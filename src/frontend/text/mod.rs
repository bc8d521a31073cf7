//! The platform's protocol: lines of text over TCP.
//!
//! A client's first line opens a request. Once its server has said `UP`, lines pass both ways.
//! Only complete lines go to a client, so that `MOVE` can always follow.
//!
//! | file | concern |
//! | --- | --- |
//! | `request_line`, `line_buffer` | parsing |
//! | `session` | states of a session |
//! | `client_side`, `server_side` | the two connections of a session |
//! | `latency`, `load_report`, `health_check` | what is measured at servers and reported by them |
//! | `handover` | connections that go on in the next process |

mod client_side;
mod handover;
mod health_check;
mod latency;
mod line_buffer;
mod load_report;
mod protocol_error;
mod request_line;
mod server_side;
mod session;

use super::{Frontend, FrontendContext, TransferredConnection};
use crate::model::{Event, Outcome, RequestId, ServerId};
use crate::net::{SocketEvent, SocketEventKind, Token};
use client_side::{has_disconnected, is_ready};
use health_check::HealthChecks;
use latency::LatencyTracker;
use server_side::is_line_written;
use session::{ConnectionEvent, ConnectionRole, Session, SessionState};
use sparbank_time::DurationExt;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

/// A client whose established server leaves a line unanswered for this long is migrated. Clients send a line every
/// 2 s, and the rule allows 7 s from the last answer.
const SILENT_SERVER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The text protocol's frontend.
#[derive(Default)]
pub struct TextFrontend {
    connections: HashMap<Token, ConnectionRole>,
    /// Sessions by their client's connection.
    sessions: HashMap<Token, Session>,
    clients: HashMap<RequestId, Token>,
    /// The ids of all open requests: a client that comes with one of them is not the one that opened it.
    open_ids: HashSet<String>,
    latencies: LatencyTracker,
    health_checks: HealthChecks,
}

impl TextFrontend {
    /// A frontend without connections.
    pub fn new() -> TextFrontend {
        TextFrontend::default()
    }

    /// Migrates the clients whose servers have stopped answering.
    fn migrate_from_silent_servers(&mut self, ctx: &mut FrontendContext) {
        let now = ctx.now;
        let is_silent = |session: &Session| {
            let since = session.established().and_then(|established| established.unanswered_since);
            since.is_some_and(|since| now.saturating_duration_since(since) > SILENT_SERVER_TIMEOUT)
        };
        let silent: Vec<RequestId> = self
            .sessions
            .values()
            .filter(|session| is_silent(session))
            .filter_map(|session| session.request_id)
            .collect();
        for request_id in silent {
            tracing::trace!(request = request_id.0, "server is silent, migrating");
            ctx.requests.close_for_migration(now, request_id, Outcome::Reset);
            self.migrate(ctx, request_id);
        }
    }

    /// Reports latencies, where the settings say that the balancer uses them.
    fn report_latencies(&mut self, ctx: &mut FrontendContext) {
        if !ctx.site.reports_message_latency || !self.latencies.begin_report(ctx.now) {
            return;
        }
        let objectives = ctx.classes.iter().filter_map(|class| class.message_latency_objective);
        let objective = objectives.min().unwrap_or(Duration::from_nanos(u64::MAX));
        for report in self.latencies.take_reports(objective) {
            ctx.requests.push_event(Event::LatencyReport { server: report.server, latency: report.latency });
        }
    }

    /// Removes a connection that has no session and closes it.
    fn close_connection(&mut self, ctx: &mut FrontendContext, token: Token) {
        self.connections.remove(&token);
        ctx.net.close(token);
    }

    /// Input, capacity for output, or a failure at a connection.
    fn on_connection_event(&mut self, ctx: &mut FrontendContext, token: Token, event: ConnectionEvent) {
        let failed = matches!(event, ConnectionEvent::Failed { .. });
        match self.connections.get(&token) {
            None => ctx.net.close(token),
            // A client that breaks its connection off waits for no answer, whatever it had sent.
            Some(ConnectionRole::AwaitingRequest { .. }) if failed => self.close_connection(ctx, token),
            Some(ConnectionRole::AwaitingRequest { .. }) => self.on_request_input(ctx, token),
            Some(ConnectionRole::Client) => {
                self.on_client_input(ctx, token, failed);
                self.resume_server_lines(ctx, token);
            }
            Some(ConnectionRole::Server { client }) => self.on_server_event(ctx, *client, token, event),
            Some(ConnectionRole::HealthCheck) => self.on_health_check_input(ctx, token, failed),
        }
        ctx.net.update_interest(token);
    }
}

impl Frontend for TextFrontend {
    fn is_idle(&self) -> bool {
        let is_client = |role: &ConnectionRole| {
            matches!(role, ConnectionRole::AwaitingRequest { .. } | ConnectionRole::Client)
        };
        !self.connections.values().any(is_client)
    }

    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => {
                self.connections.insert(token, ConnectionRole::AwaitingRequest { pings: 0 });
                ctx.net.set_farewell(token, Some(b"BUSY\r\n"));
            }
            SocketEventKind::Evicted => {
                ctx.requests.counters_mut().idle_closed += 1;
                self.connections.remove(&token);
            }
            SocketEventKind::HandshakeTimeout => {
                if let Some(ConnectionRole::AwaitingRequest { .. }) = self.connections.get(&token) {
                    self.close_without_request(ctx, token);
                }
            }
            SocketEventKind::Readable | SocketEventKind::OutputFlushed => {
                self.on_connection_event(ctx, token, ConnectionEvent::Ready);
            }
            SocketEventKind::Failed { all_written } => {
                self.on_connection_event(ctx, token, ConnectionEvent::Failed { all_written });
            }
        }
    }

    fn start_attempt(
        &mut self,
        ctx: &mut FrontendContext,
        request_id: RequestId,
        server: ServerId,
        timeout: Duration,
    ) {
        let Some(client) = self.clients.get(&request_id).copied() else { return };
        // No attempt is started for a client that has disconnected by now, nor at a server that has begun to drain
        // in this very iteration, after it was selected.
        ctx.net.read_available(client);
        if has_disconnected(ctx, client) {
            return self.on_client_input(ctx, client, ctx.net.is_failed(client));
        }
        let connecting = if !is_ready(ctx, server) {
            Err(Outcome::NotSent)
        } else if !ctx.net.has_descriptor_for_attempt() {
            Err(Outcome::LocalShortage)
        } else {
            self.connect_to_server(ctx, client, server, timeout)
        };
        if let Err(outcome) = connecting {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
    }

    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) -> Outcome {
        let Some(client) = self.clients.get(&request_id).copied() else { return Outcome::Cancelled };
        let attempt = self.sessions.get(&client).and_then(|session| session.attempt());
        let may_have_run = attempt.is_none_or(|attempt| is_line_written(ctx, attempt));
        self.drop_attempt(ctx, client);
        if may_have_run {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        }
    }

    fn on_connected(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(client) = self.client_of(token) {
            self.send_request(ctx, client);
        }
    }

    fn read_answer(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        let Some(client) = self.clients.get(&request_id).copied() else { return };
        let connection = self.sessions.get(&client).and_then(|session| session.server_connection());
        let Some(connection) = connection else { return };
        ctx.net.read_available(connection);
        self.on_server_event(ctx, client, connection, ConnectionEvent::Ready);
    }

    fn reject(&mut self, ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            let answer = match retry_after.as_millis_u64() {
                0 => "BUSY\r\n".to_string(),
                ms => format!("BUSY {ms}\r\n"),
            };
            self.answer_and_close(ctx, client, answer.as_bytes());
        }
    }

    fn fail(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            self.answer_and_close(ctx, client, b"ERR\r\n");
        }
    }

    fn check_health(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        self.start_health_check(ctx, server);
    }

    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        if let Some(client) = self.clients.get(&request_id).copied() {
            self.answer_and_close(ctx, client, b"MOVE\r\n");
        }
    }

    fn hand_over_connections(
        &mut self,
        ctx: &mut FrontendContext,
        max_connections: usize,
    ) -> Vec<TransferredConnection> {
        let tokens = self.transferable_connections(ctx, max_connections);
        tokens.into_iter().filter_map(|token| self.export_client(ctx, token)).collect()
    }

    fn receive_connection(&mut self, ctx: &mut FrontendContext, connection: TransferredConnection) {
        if let Err(error) = self.import_client(ctx, connection) {
            tracing::warn!(%error, "transferred connection is unreadable, closed");
        }
    }

    fn on_connect_timeout(&mut self, ctx: &mut FrontendContext, token: Token) {
        if !ctx.net.is_connecting(token) {
            return;
        }
        if let Some(client) = self.client_of(token) {
            self.on_attempt_end(ctx, client, Outcome::ConnectFailed, true);
        }
    }

    /// Three timers: of a health check, of a session that is being restored, and of a connection whose client has
    /// ended its sending.
    fn on_timer(&mut self, ctx: &mut FrontendContext, token: Token) {
        if self.health_checks.has_timed_out(token, ctx.now) {
            return self.end_health_check(ctx, token);
        }
        let Some(session) = self.sessions.get(&token) else { return };
        if session.request_id.is_none() {
            self.answer_and_close(ctx, token, b"ERR\r\n");
        } else if session.is_established() && ctx.net.is_read_closed(token) {
            self.end_session(ctx, token, Outcome::Cancelled, false);
        }
    }

    /// Attempts of which no byte has gone out are cancelled.
    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, stopped: &[ServerId]) {
        let is_unsent = |session: &Session| match session.state {
            SessionState::Attempting(attempt) => !ctx.net.has_written(attempt.server_connection),
            SessionState::AwaitingAttempt | SessionState::Established(_) => false,
        };
        let is_stopped = |session: &Session| session.server.is_some_and(|server| stopped.contains(&server));
        let unsent: Vec<Token> = self
            .sessions
            .iter()
            .filter(|(_, session)| is_unsent(session) && is_stopped(session))
            .map(|(client, _)| *client)
            .collect();
        for client in unsent {
            self.on_attempt_end(ctx, client, Outcome::ConnectFailed, true);
        }
    }

    /// Connections without a request end with the process.
    fn on_drain_step(&mut self, ctx: &mut FrontendContext) {
        if !ctx.shutting_down {
            return;
        }
        let is_awaiting = |role: &ConnectionRole| matches!(role, ConnectionRole::AwaitingRequest { .. });
        let mut awaiting: Vec<Token> =
            self.connections.iter().filter(|(_, role)| is_awaiting(role)).map(|(token, _)| *token).collect();
        awaiting.sort_unstable();
        for token in awaiting {
            self.close_without_request(ctx, token);
        }
    }

    fn on_tick(&mut self, ctx: &mut FrontendContext) {
        self.migrate_from_silent_servers(ctx);
        self.report_latencies(ctx);
    }
}

#[cfg(test)]
mod tests;

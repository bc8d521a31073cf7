//! The frontend of the text protocol: lines of text over TCP.
//!
//! A client's first line opens a request. The node connects to the server that the balancer has selected and forwards
//! the line to it. Once the server has answered `UP`, lines are forwarded in both directions. Only complete lines are
//! forwarded to a client, so that the node can send `MOVE` at any time.
//!
//! [`TextFrontend`] owns the state and dispatches each event to the module responsible for it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `line_buffer`, `request_line`, `load_report` | parsing |
//! | `awaiting_clients` | the table of clients that have not sent a request yet |
//! | `connection_event` | socket events as the modules handle them |
//! | `session`, `sessions` | a client with a request; the table of all of them |
//! | `session_end` | final answers; ending attempts and sessions |
//! | `client_input` | input from clients with a session |
//! | `attempt` | starting, sending and cancelling attempts |
//! | `request_opening` | input from clients without a request; opening a request |
//! | `restoration` | restoring the sessions from before this process started |
//! | `server_events` | answers and lines from servers |
//! | `unresponsive_servers` | migrating the clients of servers that have stopped answering |
//! | `latency`, `health_check` | measured latencies; requested load reports |
//! | `protocol_error` | logging of protocol violations by servers |
//! | `handover` | transferring connections between processes |

mod attempt;
mod awaiting_clients;
mod client_input;
mod connection_event;
mod handover;
mod health_check;
mod latency;
mod line_buffer;
mod load_report;
mod protocol_error;
mod request_line;
mod request_opening;
mod restoration;
mod server_events;
mod session;
mod session_end;
mod sessions;
mod unresponsive_servers;

use super::{Frontend, FrontendContext, TransferredConnection};
use crate::model::{RequestId, ServerId};
use crate::net::{SocketEvent, SocketEventKind, Token};
use awaiting_clients::AwaitingClients;
use client_input::{on_client_event, on_half_closed_timeout};
use connection_event::ConnectionEvent;
use handover::ImportedClient;
use health_check::HealthChecks;
use latency::LatencyTracker;
use request_opening::IdleClose;
use restoration::{DueWork, RestorationFailure};
use server_events::ServerEvents;
use session::Session;
use session_end::answer_and_close;
use sessions::Sessions;
use sparbank_time::DurationExt;
use std::time::Duration;
use unresponsive_servers::OverdueSession;

/// The answer to a client whose connection is evicted before it has sent a request.
pub const EVICTION_ANSWER: &[u8] = b"BUSY\r\n";

/// The text protocol's frontend.
#[derive(Default)]
pub struct TextFrontend {
    awaiting: AwaitingClients,
    sessions: Sessions,
    latencies: LatencyTracker,
    health_checks: HealthChecks,
}

impl TextFrontend {
    /// Creates a frontend without connections.
    pub fn new() -> TextFrontend {
        TextFrontend::default()
    }

    fn server_events(&mut self) -> ServerEvents<'_> {
        ServerEvents::new(&mut self.sessions, &mut self.latencies)
    }

    /// Reads the answers that have arrived from servers that would be taken for unresponsive.
    fn read_overdue_answers(&mut self, ctx: &mut FrontendContext) {
        for session in unresponsive_servers::overdue_sessions(&self.sessions, ctx) {
            let OverdueSession { client, server_connection } = session;
            ctx.net.read_available(server_connection);
            let event = ConnectionEvent::current(ctx, server_connection);
            self.server_events().handle(ctx, client, server_connection, event);
            ctx.net.update_interest(server_connection);
        }
    }

    /// Dispatches an event on a connection to the module responsible for the connection.
    fn on_connection_event(&mut self, ctx: &mut FrontendContext, token: Token, event: ConnectionEvent) {
        if self.awaiting.contains(token) {
            self.on_awaiting_client_event(ctx, token, event);
        } else if self.sessions.contains(token) {
            on_client_event(&mut self.sessions, ctx, token, event);
            self.server_events().resume_forwarding(ctx, token);
        } else if let Some(client) = self.sessions.client_of_server_connection(token) {
            self.server_events().handle(ctx, client, token, event);
        } else if self.health_checks.contains(token) {
            self.health_checks.on_event(ctx, token, event);
        } else {
            ctx.net.close(token);
        }
        ctx.net.update_interest(token);
    }

    fn is_restoring(&self, client: Token) -> bool {
        self.sessions.get(client).is_some_and(|session| session.restoration().is_some())
    }

    fn on_restoration_timer(&mut self, ctx: &mut FrontendContext, client: Token, due: DueWork) {
        match due {
            DueWork::AnswerOverdue => {
                self.read_first_answer(ctx, client);
                restoration::on_answer_overdue(&mut self.sessions, ctx, client);
            }
            DueWork::Retry => restoration::retry(&mut self.sessions, ctx, client),
            DueWork::Nothing => {}
        }
    }

    /// Handles what has already arrived from the server of a client's attempt.
    fn read_first_answer(&mut self, ctx: &mut FrontendContext, client: Token) {
        let connection = self.sessions.get(client).and_then(|session| session.server_connection());
        let Some(connection) = connection else { return };
        ctx.net.read_available(connection);
        self.server_events().handle(ctx, client, connection, ConnectionEvent::Ready);
    }

    fn on_awaiting_client_event(&mut self, ctx: &mut FrontendContext, token: Token, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Ready => {
                request_opening::on_input(&mut self.awaiting, &mut self.sessions, ctx, token);
            }
            // A client that resets its connection does not wait for an answer, whatever it sent before.
            ConnectionEvent::Failed { .. } => {
                request_opening::close_disconnected(&mut self.awaiting, ctx, token);
            }
        }
    }

    fn close_without_request(&mut self, ctx: &mut FrontendContext, token: Token) {
        request_opening::close_without_request(&mut self.awaiting, &mut self.sessions, ctx, token);
    }
}

impl Frontend for TextFrontend {
    fn is_idle(&self) -> bool {
        self.awaiting.is_empty() && self.sessions.is_empty()
    }

    fn on_socket_event(&mut self, ctx: &mut FrontendContext, event: SocketEvent) {
        let token = event.token;
        match event.kind {
            SocketEventKind::Accepted => {
                self.awaiting.insert(token, 0);
            }
            SocketEventKind::Evicted => {
                request_opening::trace_close(ctx, token, IdleClose::Evicted);
                ctx.requests.counters_mut().idle_closed += 1;
                self.awaiting.remove(token);
            }
            SocketEventKind::HandshakeTimeout => {
                if self.awaiting.contains(token) {
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
        attempt::start(&mut self.sessions, ctx, request_id, server, timeout);
    }

    fn cancel_attempt(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        attempt::cancel(&mut self.sessions, ctx, request_id);
    }

    fn on_attempt_timeout(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        let outcome = attempt::cancel(&mut self.sessions, ctx, request_id);
        ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
    }

    fn on_connected(&mut self, ctx: &mut FrontendContext, token: Token) {
        if let Some(client) = self.sessions.client_of_server_connection(token) {
            attempt::send_request(&mut self.sessions, ctx, client);
        }
    }

    fn on_connect_timeout(&mut self, ctx: &mut FrontendContext, token: Token) {
        attempt::on_connect_timeout(&mut self.sessions, ctx, token);
    }

    /// Cancels the attempts of which no byte has been written.
    fn on_servers_draining(&mut self, ctx: &mut FrontendContext, servers: &[ServerId]) {
        attempt::cancel_unsent(&mut self.sessions, ctx, servers);
    }

    fn read_answer(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        if let Some(client) = self.sessions.client_of_request(request_id) {
            self.read_first_answer(ctx, client);
        }
    }

    fn reject(&mut self, ctx: &mut FrontendContext, request_id: RequestId, retry_after: Duration) {
        if let Some(client) = self.sessions.client_of_request(request_id) {
            let answer = match retry_after.as_millis_u64() {
                0 => "BUSY\r\n".to_string(),
                ms => format!("BUSY {ms}\r\n"),
            };
            answer_and_close(&mut self.sessions, ctx, client, answer.as_bytes());
        }
    }

    fn fail(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        let Some(client) = self.sessions.client_of_request(request_id) else { return };
        if self.is_restoring(client) {
            restoration::fail(&mut self.sessions, ctx, client, RestorationFailure::Closing);
        } else {
            answer_and_close(&mut self.sessions, ctx, client, b"ERR\r\n");
        }
    }

    fn migrate(&mut self, ctx: &mut FrontendContext, request_id: RequestId) {
        if let Some(client) = self.sessions.client_of_request(request_id) {
            answer_and_close(&mut self.sessions, ctx, client, b"MOVE\r\n");
        }
    }

    fn uses_server(&self, server: ServerId) -> bool {
        let is_used = |(_, session): (Token, &Session)| session.server() == Some(server);
        self.sessions.iter().any(is_used) || self.health_checks.has_connection_to(server)
    }

    fn on_servers_forgotten(&mut self, servers: &[ServerId]) {
        self.latencies.forget(servers);
    }

    fn check_health(&mut self, ctx: &mut FrontendContext, server: ServerId) {
        self.health_checks.start(ctx, server);
    }

    fn hand_over_connections(
        &mut self,
        ctx: &mut FrontendContext,
        max_connections: usize,
    ) -> Vec<TransferredConnection> {
        let tokens = handover::transferable_connections(&self.awaiting, &self.sessions, ctx, max_connections);
        tokens
            .into_iter()
            .filter_map(|token| handover::export_client(&mut self.awaiting, &mut self.sessions, ctx, token))
            .collect()
    }

    fn receive_connection(&mut self, ctx: &mut FrontendContext, connection: TransferredConnection) {
        match handover::import_client(&mut self.awaiting, &mut self.sessions, ctx, connection) {
            Ok(ImportedClient::AwaitingRequest(token)) => {
                request_opening::on_input(&mut self.awaiting, &mut self.sessions, ctx, token);
                ctx.net.update_interest(token);
            }
            Ok(ImportedClient::Established { client, server_connection }) => {
                self.server_events().handle(ctx, client, server_connection, ConnectionEvent::Ready);
                ctx.net.update_interest(server_connection);
                ctx.net.update_interest(client);
            }
            Ok(ImportedClient::Migrated) => {}
            Err(error) => tracing::warn!(%error, "transferred connection cannot be restored, closed"),
        }
    }

    /// Handles the timers of this frontend: the time-out of a health check, the deadlines and the backoff of a session
    /// being restored, and the time-out of a connection that its client has half-closed.
    fn on_timer(&mut self, ctx: &mut FrontendContext, token: Token) {
        if self.health_checks.has_timed_out(token, ctx.now) {
            return self.health_checks.close(ctx, token);
        }
        let Some(session) = self.sessions.get(token) else { return };
        match session.restoration() {
            Some(restoration) => {
                let due = restoration::due_work(restoration, session.attempt(), ctx.now);
                self.on_restoration_timer(ctx, token, due);
            }
            None => on_half_closed_timeout(&mut self.sessions, ctx, token),
        }
    }

    /// Closes the connections without a request when the process shuts down.
    fn on_migration_step(&mut self, ctx: &mut FrontendContext) {
        if !ctx.shutting_down {
            return;
        }
        let mut awaiting: Vec<Token> = self.awaiting.tokens().collect();
        awaiting.sort_unstable();
        for token in awaiting {
            self.close_without_request(ctx, token);
        }
    }

    fn on_tick(&mut self, ctx: &mut FrontendContext) {
        self.read_overdue_answers(ctx);
        unresponsive_servers::migrate_clients(&mut self.sessions, ctx);
        self.latencies.report(ctx);
    }
}

#[cfg(test)]
mod tests;

//! Events on connections to servers: the answer to an attempt, and the lines of established sessions.

use super::client_input::on_client_event;
use super::connection_event::ConnectionEvent;
use super::latency::LatencyTracker;
use super::line_buffer::{take_line, LineRead};
use super::protocol_error::{log_malformed_trailing_report, server_name, ServerProtocolError};
use super::request_line::parse_load;
use super::restoration;
use super::session::SessionEnding;
use super::session_end::{on_attempt_end, ConnectionEnd};
use super::sessions::Sessions;
use crate::frontend::FrontendContext;
use crate::model::{Event, Outcome, RequestId, ServerId};
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_time::DurationExt;
use std::ops::ControlFlow;
use std::time::Duration;

/// Handles events on the connections between sessions and their servers.
pub(super) struct ServerEvents<'a> {
    sessions: &'a mut Sessions,
    latencies: &'a mut LatencyTracker,
}

impl<'a> ServerEvents<'a> {
    /// Creates a handler for these sessions that records the latencies of their servers.
    pub(super) fn new(sessions: &'a mut Sessions, latencies: &'a mut LatencyTracker) -> ServerEvents<'a> {
        ServerEvents { sessions, latencies }
    }

    /// Handles an event on the connection to a client's server.
    pub(super) fn handle(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
        event: ConnectionEvent,
    ) {
        if self.handle_lines(ctx, client, server_connection).is_break() {
            return;
        }
        if self.sessions.client_of_server_connection(server_connection).is_none() {
            return;
        }
        let established = self.sessions.get(client).is_some_and(|session| session.is_established());
        match event {
            ConnectionEvent::Ready if ctx.net.is_read_closed(server_connection) => {
                self.on_server_eof(ctx, client, server_connection);
            }
            ConnectionEvent::Ready if established => {
                on_client_event(self.sessions, ctx, client, ConnectionEvent::Ready);
            }
            ConnectionEvent::Ready => {}
            // The request may have run only if its last byte was written.
            ConnectionEvent::Failed { all_written } => {
                let may_have_run = established || (all_written && self.has_sent_line(client));
                let outcome = if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed };
                on_attempt_end(self.sessions, ctx, client, outcome, ConnectionEnd::Reset);
            }
        }
    }

    /// Resumes forwarding to a client that may have read some of its output: handles the lines, and the end of the
    /// server's connection, that were left unhandled because the client was slow to read.
    pub(super) fn resume_forwarding(&mut self, ctx: &mut FrontendContext, client: Token) {
        let established = self.sessions.get(client).and_then(|session| session.established());
        let Some(server_connection) = established.map(|established| established.server_connection) else {
            return;
        };
        let has_input = ctx.net.input_buffer(server_connection).is_some_and(|input| !input.is_empty());
        let event = ConnectionEvent::current(ctx, server_connection);
        if !has_input && event == ConnectionEvent::Ready && !ctx.net.is_read_closed(server_connection) {
            return;
        }
        self.handle(ctx, client, server_connection, event);
        ctx.net.update_interest(server_connection);
    }

    /// Handles all complete lines of a server. Breaks if too much output for the client is pending, or if a line that
    /// is too long has ended the attempt.
    fn handle_lines(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
    ) -> ControlFlow<()> {
        while let Some(session) = self.sessions.get(client) {
            if session.server_connection() != Some(server_connection) {
                break;
            }
            let server = session.server();
            let established = session.is_established();
            if established && ctx.net.pending_output_bytes(client) >= OUTPUT_HIGH_WATERMARK_BYTES {
                return ControlFlow::Break(());
            }
            let Some(input) = ctx.net.input_buffer(server_connection) else { break };
            match take_line(input) {
                LineRead::Complete(line) if established => self.forward_line(ctx, client, &line),
                LineRead::Complete(line) => self.on_first_answer(ctx, client, server, &line),
                LineRead::TooLong => {
                    ServerProtocolError::LineTooLong.log(ctx, server);
                    on_attempt_end(self.sessions, ctx, client, Outcome::Error, ConnectionEnd::Reset);
                    return ControlFlow::Break(());
                }
                LineRead::Incomplete => break,
            }
        }
        ControlFlow::Continue(())
    }

    /// Handles the end of the server's input, after all complete lines.
    fn on_server_eof(&mut self, ctx: &mut FrontendContext, client: Token, server_connection: Token) {
        let established = self.sessions.get(client).is_some_and(|session| session.is_established());
        if established {
            let rest = ctx.net.input_buffer(server_connection).map(std::mem::take).unwrap_or_default();
            ctx.net.send(client, &rest);
        }
        let all_written = ctx.net.pending_output_bytes(server_connection) == 0;
        let may_have_run = all_written && (established || self.has_sent_line(client));
        let outcome = if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed };
        on_attempt_end(self.sessions, ctx, client, outcome, ConnectionEnd::Orderly);
    }

    /// Whether the request line of a client's attempt has been passed to the socket.
    fn has_sent_line(&self, client: Token) -> bool {
        let attempt = self.sessions.get(client).and_then(|session| session.attempt());
        attempt.is_some_and(|attempt| attempt.line_sent)
    }

    /// Handles the first line from a server, which is the answer to the request line.
    fn on_first_answer(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server: Option<ServerId>,
        line: &[u8],
    ) {
        let word = line.split(|byte| byte.is_ascii_whitespace()).next().unwrap_or(b"");
        let outcome = match word {
            b"UP" => return self.on_accepted(ctx, client, line),
            b"BUSY" => {
                log_malformed_trailing_report(ctx, server, line, "BUSY");
                Outcome::Rejected
            }
            b"MOVE" => Outcome::Cancelled,
            b"ERR" => {
                log_malformed_trailing_report(ctx, server, line, "ERR");
                Outcome::Error
            }
            _ => {
                ServerProtocolError::UnknownAnswer.log(ctx, server);
                Outcome::Error
            }
        };
        on_attempt_end(self.sessions, ctx, client, outcome, ConnectionEnd::Orderly);
    }

    /// Handles `UP`: the server has accepted the client, and the session is established.
    fn on_accepted(&mut self, ctx: &mut FrontendContext, client: Token, line: &[u8]) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        match session.server().filter(|_| session.restoration().is_some()) {
            Some(server) => restoration::on_accepted(ctx, session, server),
            None => ctx.requests.on_established(ctx.now, session.request_id()),
        }
        session.establish();
        session.trace("established", ctx);
        ctx.net.send(client, line);
        on_client_event(self.sessions, ctx, client, ConnectionEvent::Ready);
    }

    /// Forwards a line of an established session to the client. Records the load that it reports, or the latency of
    /// the server's answer.
    fn forward_line(&mut self, ctx: &mut FrontendContext, client: Token, line: &[u8]) {
        let Some(session) = self.sessions.get_mut(client) else { return };
        let (server, request_id) = (session.server(), session.request_id());
        let Some(established) = session.established_mut() else { return };
        let text = line.trim_ascii_end();
        established.ending = announced_ending(ctx, server, text);
        match text.strip_prefix(b"LOAD ") {
            // LOAD always reports the current load of the connection. No line of the protocol reports a latency.
            Some(value) => {
                if let Some(load) = std::str::from_utf8(value).ok().and_then(|text| parse_load(text.trim())) {
                    established.load = Some(load);
                    report_load(ctx, request_id, load);
                }
            }
            None => {
                if let (Some(since), Some(server)) = (established.unanswered_since.take(), server) {
                    let latency = ctx.now.saturating_duration_since(since);
                    self.latencies.record(server, latency);
                    tracing::trace!(
                        server = %server_name(ctx, Some(server)),
                        after_ms = latency.as_millis_u64(),
                        "line answered"
                    );
                }
            }
        }
        ctx.net.send(client, line);
    }
}

/// Returns what a line from a server announces about the end of the connection.
fn announced_ending(ctx: &FrontendContext, server: Option<ServerId>, text: &[u8]) -> SessionEnding {
    match text.split(|byte| *byte == b' ').next().unwrap_or(b"") {
        b"BYE" => {
            log_malformed_trailing_report(ctx, server, text, "BYE");
            SessionEnding::Completed
        }
        b"MOVE" => SessionEnding::Migrated,
        _ => SessionEnding::Unannounced,
    }
}

fn report_load(ctx: &mut FrontendContext, id: RequestId, cost: Duration) {
    tracing::trace!(request = id.0, load_us_per_s = cost.as_nanos_u64() / 1_000, "load report");
    ctx.requests.push_event(Event::LoadReport { id, cost });
}

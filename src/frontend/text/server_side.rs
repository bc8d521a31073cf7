//! The server's side: attempts, answers, and the lines of established sessions.

use super::line_buffer::{take_line, LineRead};
use super::load_report::log_malformed_trailing_report;
use super::protocol_error::{server_name, ServerProtocolError};
use super::request_line::parse_load;
use super::session::{arrival, AttemptState, ConnectionEvent, ConnectionRole, SessionEnding, SessionState};
use super::TextFrontend;
use crate::frontend::{FrontendContext, TEXT_FRONTEND};
use crate::model::{Event, Outcome, RequestId};
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_time::DurationExt;
use std::ops::ControlFlow;
use std::time::Duration;

impl TextFrontend {
    /// Something happened at a connection to a server.
    pub(super) fn on_server_event(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
        event: ConnectionEvent,
    ) {
        if self.handle_server_lines(ctx, client, server_connection).is_break() {
            return;
        }
        if !self.connections.contains_key(&server_connection) {
            return;
        }
        let established = self.sessions.get(&client).is_some_and(|session| session.is_established());
        match event {
            ConnectionEvent::Ready if ctx.net.is_read_closed(server_connection) => {
                self.on_server_end(ctx, client, server_connection, established);
            }
            ConnectionEvent::Ready if established => self.on_client_input(ctx, client, false),
            ConnectionEvent::Ready => {}
            // Before its last byte was written the request cannot have run; after that it may have.
            ConnectionEvent::Failed { all_written } if !established => {
                let line_sent = self.has_sent_line(client);
                let outcome = if all_written && line_sent { Outcome::Reset } else { Outcome::ConnectFailed };
                self.on_attempt_end(ctx, client, outcome, true);
            }
            ConnectionEvent::Failed { .. } => self.on_attempt_end(ctx, client, Outcome::Reset, true),
        }
    }

    /// A client may have read what it was sent: its server's lines, and the server's end behind them, go on where they
    /// had stopped for it.
    pub(super) fn resume_server_lines(&mut self, ctx: &mut FrontendContext, client: Token) {
        let established = self.sessions.get(&client).and_then(|session| session.established());
        let Some(server_connection) = established.map(|established| established.server_connection) else {
            return;
        };
        let has_input = ctx.net.input_buffer(server_connection).is_some_and(|input| !input.is_empty());
        let has_failed = ctx.net.is_failed(server_connection);
        if !has_input && !has_failed && !ctx.net.is_read_closed(server_connection) {
            return;
        }
        let event =
            if has_failed { ConnectionEvent::Failed { all_written: true } } else { ConnectionEvent::Ready };
        self.on_server_event(ctx, client, server_connection, event);
        ctx.net.update_interest(server_connection);
    }

    /// Handles all complete lines of a server. Breaks where the client is too slow to take more, or where the
    /// attempt has ended over a line.
    fn handle_server_lines(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
    ) -> ControlFlow<()> {
        while let Some(session) = self.sessions.get(&client) {
            if session.server_connection() != Some(server_connection) {
                break;
            }
            let established = session.is_established();
            if established && ctx.net.pending_output_bytes(client) >= OUTPUT_HIGH_WATERMARK_BYTES {
                return ControlFlow::Break(());
            }
            let Some(input) = ctx.net.input_buffer(server_connection) else { break };
            match take_line(input) {
                LineRead::Complete(line) if established => self.forward_server_line(ctx, client, &line),
                LineRead::Complete(line) => self.on_first_answer(ctx, client, &line),
                LineRead::TooLong => {
                    ServerProtocolError::LineTooLong.log(ctx, session.server);
                    self.on_attempt_end(ctx, client, Outcome::Error, true);
                    return ControlFlow::Break(());
                }
                LineRead::Incomplete => break,
            }
        }
        ControlFlow::Continue(())
    }

    /// The server has ended its sending.
    fn on_server_end(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server_connection: Token,
        established: bool,
    ) {
        if established {
            let rest = ctx.net.input_buffer(server_connection).map(std::mem::take).unwrap_or_default();
            ctx.net.send(client, &rest);
        }
        let all_written = ctx.net.pending_output_bytes(server_connection) == 0;
        let may_have_run = all_written && (established || self.has_sent_line(client));
        let outcome = if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed };
        self.on_attempt_end(ctx, client, outcome, false);
    }

    /// Whether the line of a client's attempt has been passed to its socket.
    fn has_sent_line(&self, client: Token) -> bool {
        let attempt = self.sessions.get(&client).and_then(|session| session.attempt());
        attempt.is_some_and(|attempt| attempt.line_sent)
    }

    /// The first line of a server answers the request line.
    fn on_first_answer(&mut self, ctx: &mut FrontendContext, client: Token, line: &[u8]) {
        let word = line.split(|byte| byte.is_ascii_whitespace()).next().unwrap_or(b"");
        let server = self.sessions.get(&client).and_then(|session| session.server);
        let outcome = match word {
            b"UP" => return self.on_server_accepts(ctx, client, line),
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
        self.on_attempt_end(ctx, client, outcome, false);
    }

    fn on_server_accepts(&mut self, ctx: &mut FrontendContext, client: Token, line: &[u8]) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        match session.request_id {
            Some(request_id) => ctx.requests.on_established(ctx.now, request_id),
            None => {
                let Some(server) = session.server else { return };
                let request_id =
                    ctx.requests.restore_established(ctx.now, TEXT_FRONTEND, arrival(&session.open), server);
                session.request_id = Some(request_id);
                self.clients.insert(request_id, client);
            }
        }
        session.establish();
        session.is_answered = true;
        session.trace("established", ctx);
        ctx.net.send(client, line);
        self.on_client_input(ctx, client, false);
    }

    /// Forwards a line of an established session and records what it says.
    fn forward_server_line(&mut self, ctx: &mut FrontendContext, client: Token, line: &[u8]) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let SessionState::Established(established) = &mut session.state else { return };
        let text = line.trim_ascii_end();
        established.ending = match text.split(|byte| *byte == b' ').next().unwrap_or(b"") {
            b"BYE" => {
                log_malformed_trailing_report(ctx, session.server, text, "BYE");
                SessionEnding::Completed
            }
            b"MOVE" => SessionEnding::Migrated,
            _ => SessionEnding::Unannounced,
        };
        match (text.strip_prefix(b"LOAD "), session.request_id) {
            // The protocol's one meaning of it: the connection's load now. No line on a socket reports a latency.
            (Some(value), Some(request_id)) => {
                if let Some(load) = std::str::from_utf8(value).ok().and_then(|text| parse_load(text.trim())) {
                    established.load = Some(load);
                    report_load(ctx, request_id, load);
                }
            }
            _ => {
                if let (Some(since), Some(server)) = (established.unanswered_since.take(), session.server) {
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

    /// The attempt has ended, before or after the session was established.
    pub(super) fn on_attempt_end(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        outcome: Outcome,
        by_reset: bool,
    ) {
        let Some(session) = self.sessions.get(&client) else { return };
        if let Some(established) = session.established() {
            let ending = established.ending;
            if outcome == Outcome::Error {
                // The server is there and cannot be used: the client goes on elsewhere.
                ctx.requests.on_attempt_ended(ctx.now, session.request_id.unwrap_or(RequestId(0)), outcome);
                return self.answer_and_close(ctx, client, b"MOVE\r\n");
            }
            return match ending {
                SessionEnding::Completed => self.end_session(ctx, client, Outcome::Ok, false),
                SessionEnding::Migrated => self.end_session(ctx, client, Outcome::Cancelled, false),
                // The client ended first; the server follows.
                SessionEnding::Unannounced if ctx.net.is_read_closed(client) => {
                    self.end_session(ctx, client, Outcome::Cancelled, by_reset)
                }
                SessionEnding::Unannounced => self.end_session(ctx, client, Outcome::Reset, by_reset),
            };
        }
        let request_id = session.request_id;
        self.drop_attempt(ctx, client);
        match request_id {
            Some(request_id) => {
                ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
            }
            None if outcome == Outcome::Rejected => self.answer_and_close(ctx, client, b"BUSY\r\n"),
            None => self.answer_and_close(ctx, client, b"ERR\r\n"),
        }
    }

    /// Ends a client's attempt; the request waits for another one.
    pub(super) fn drop_attempt(&mut self, ctx: &mut FrontendContext, client: Token) {
        if let Some(session) = self.sessions.get_mut(&client) {
            let state = std::mem::replace(&mut session.state, SessionState::AwaitingAttempt);
            self.close_server_connection(ctx, &state);
        }
    }

    /// Closes the connection to the server, if there is one. What is left of a request line must not be written
    /// any more: complete, it would be an attempt.
    pub(super) fn close_server_connection(&mut self, ctx: &mut FrontendContext, state: &SessionState) {
        match state {
            SessionState::AwaitingAttempt => {}
            SessionState::Attempting(AttemptState { server_connection, .. }) => {
                self.connections.remove(server_connection);
                if ctx.net.pending_output_bytes(*server_connection) > 0 {
                    ctx.net.close_without_flush(*server_connection);
                } else {
                    ctx.net.close(*server_connection);
                }
            }
            SessionState::Established(established) => {
                self.connections.remove(&established.server_connection);
                ctx.net.close(established.server_connection);
            }
        }
    }

    /// The client of a connection to a server.
    pub(super) fn client_of(&self, server_connection: Token) -> Option<Token> {
        match self.connections.get(&server_connection) {
            Some(ConnectionRole::Server { client }) => Some(*client),
            _ => None,
        }
    }
}

/// Whether the last byte of an attempt's line has been written: from then on it may have run.
pub(super) fn is_line_written(ctx: &FrontendContext, attempt: &AttemptState) -> bool {
    attempt.line_sent && ctx.net.pending_output_bytes(attempt.server_connection) == 0
}

fn report_load(ctx: &mut FrontendContext, id: RequestId, cost: Duration) {
    tracing::trace!(request = id.0, load_us_per_s = cost.as_nanos_u64() / 1_000, "load report");
    ctx.requests.push_event(Event::LoadReport { id, cost });
}

//! The client's side: request lines, forwarding to the server, final answers.

use super::line_buffer::{take_line, LineRead};
use super::request_line::{OpenRequest, RequestLine};
use super::session::{arrival, AttemptState, ConnectionRole, Session, SessionEnding, SessionState};
use super::TextFrontend;
use crate::frontend::{FrontendContext, TimerEvent, ANSWER_MARGIN, TEXT_FRONTEND};
use crate::model::{Outcome, ServerId};
use crate::net::{ConnectError, SocketOwner, Token, OUTPUT_HIGH_WATERMARK_BYTES};
use crate::rules::{
    check_close, may_start, CloseInputs, PeerStatus, SendRefusal, StartInputs, StartRefusal, Violation,
    ViolationContext,
};
use std::time::Duration;

/// A client may send this many `PING`s on one connection.
const MAX_PINGS: u32 = 8;
/// A server whose client has ended its sending has this long to end its own side.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(2);

impl TextFrontend {
    // ---- Before a request ----------------------------------------------------------------------

    /// Lines of a client that has sent no request yet.
    pub(super) fn on_request_input(&mut self, ctx: &mut FrontendContext, token: Token) {
        while let Some(input) = ctx.net.input_buffer(token) {
            let line = match take_line(input) {
                LineRead::Incomplete => {
                    if ctx.net.is_read_closed(token) {
                        self.connections.remove(&token);
                        ctx.net.close(token);
                    }
                    return;
                }
                LineRead::TooLong => return self.reject_malformed(ctx, token),
                LineRead::Complete(line) => line,
            };
            match RequestLine::parse(&line, ctx.site, ctx.classes) {
                Some(RequestLine::Ping) => {
                    if !self.count_ping(token) {
                        return self.reject_malformed(ctx, token);
                    }
                    // What is not PONG tells the load balancer in front of the nodes to send no clients here.
                    let answer: &[u8] = if ctx.accepts_clients { b"PONG\r\n" } else { b"BUSY\r\n" };
                    ctx.net.send(token, answer);
                    ctx.net.set_farewell(token, None);
                }
                Some(RequestLine::Open(open)) => return self.open_request(ctx, token, open),
                None => return self.reject_malformed(ctx, token),
            }
        }
    }

    /// Counts a `PING`; false where the client has sent too many. Each answer is buffered until it is read, so a
    /// flood of them must be bounded.
    fn count_ping(&mut self, token: Token) -> bool {
        match self.connections.get_mut(&token) {
            Some(ConnectionRole::AwaitingRequest { pings }) if *pings < MAX_PINGS => {
                *pings += 1;
                true
            }
            _ => false,
        }
    }

    /// Answers a line that no server could use, here and at once.
    fn reject_malformed(&mut self, ctx: &mut FrontendContext, token: Token) {
        ctx.requests.counters_mut().malformed += 1;
        self.answer_and_close(ctx, token, b"ERR\r\n");
    }

    /// Closes a connection on which no request has come. What arrives in that instant is answered, one way or the
    /// other: a complete line that is there is handled, and for one that is still to come the answer is there
    /// already.
    pub(super) fn close_without_request(&mut self, ctx: &mut FrontendContext, token: Token) {
        ctx.net.read_available(token);
        self.on_request_input(ctx, token);
        if let Some(ConnectionRole::AwaitingRequest { pings }) = self.connections.get(&token) {
            ctx.requests.counters_mut().idle_closed += 1;
            // A client that has sent a PING has its answer.
            if *pings == 0 {
                ctx.net.send(token, b"BUSY\r\n");
            }
            self.connections.remove(&token);
            ctx.net.close(token);
        }
    }

    // ---- A request -----------------------------------------------------------------------------

    fn open_request(&mut self, ctx: &mut FrontendContext, token: Token, open: OpenRequest) {
        ctx.net.mark_handshake_complete(token);
        if let Err(refusal) = self.check_start(ctx, token, &open) {
            return self.refuse_start(ctx, token, &open, refusal);
        }
        self.open_ids.insert(open.id.clone());
        self.connections.insert(token, ConnectionRole::Client);
        match open.resumed_at.clone() {
            Some(server_name) => {
                self.sessions.insert(token, Session::new(open));
                self.restore_session(ctx, token, &server_name);
            }
            None => self.place_request(ctx, token, open),
        }
    }

    fn check_start(
        &self,
        ctx: &mut FrontendContext,
        token: Token,
        open: &OpenRequest,
    ) -> Result<(), StartRefusal> {
        let inputs = StartInputs {
            is_closing: ctx.shutting_down,
            is_restored: open.resumed_at.is_some(),
            has_more_input: ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()),
            is_duplicate_id: self.open_ids.contains(&open.id),
            has_descriptor: true,
        };
        may_start(&inputs)?;
        // Descriptors are reclaimed for a request that is taken on otherwise.
        let has_descriptor = ctx.net.reclaim_descriptors();
        may_start(&StartInputs { has_descriptor, ..inputs })
    }

    fn refuse_start(
        &mut self,
        ctx: &mut FrontendContext,
        token: Token,
        open: &OpenRequest,
        refusal: StartRefusal,
    ) {
        tracing::trace!(id = %open.id, reason = %refusal, "request answered without an attempt");
        match refusal {
            StartRefusal::MoreInput | StartRefusal::DuplicateId => self.reject_malformed(ctx, token),
            StartRefusal::Closing => self.answer_and_close(ctx, token, b"BUSY\r\n"),
            StartRefusal::NoDescriptor => {
                ctx.requests.counters_mut().capacity_rejected += 1;
                self.answer_and_close(ctx, token, b"BUSY 500\r\n");
            }
        }
    }

    fn place_request(&mut self, ctx: &mut FrontendContext, token: Token, open: OpenRequest) {
        let request_id = ctx.requests.on_request(ctx.now, TEXT_FRONTEND, arrival(&open));
        self.clients.insert(request_id, token);
        let session = Session { request_id: Some(request_id), ..Session::new(open) };
        session.trace("arrived", ctx);
        self.sessions.insert(token, session);
        self.on_client_input(ctx, token, false);
    }

    /// Reconnects a client that was connected before the run to the server that it had: it is no placement.
    fn restore_session(&mut self, ctx: &mut FrontendContext, token: Token, server_name: &str) {
        let Some(server) = ctx.registry.id_of(server_name) else { return self.reject_malformed(ctx, token) };
        let timeout = self.sessions.get(&token).map_or(Duration::ZERO, |session| session.open.time_left);
        let answer_by = ctx.now + timeout.saturating_sub(ANSWER_MARGIN);
        ctx.wheel.schedule(answer_by, TimerEvent::FrontendTimer(TEXT_FRONTEND, token));
        if self.connect_to_server(ctx, token, server, timeout).is_err() {
            self.answer_and_close(ctx, token, b"ERR\r\n");
        }
    }

    /// Connects to a server. The client's line is sent once the connection is established ([`TextFrontend::send_request`]).
    ///
    /// # Errors
    /// The attempt's outcome, where no connection could be started.
    pub(super) fn connect_to_server(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        server: ServerId,
        timeout: Duration,
    ) -> Result<(), Outcome> {
        let Some(session) = self.sessions.get_mut(&client) else { return Ok(()) };
        let endpoint = ctx.registry.entry(server).ok_or(Outcome::ConnectFailed)?;
        let connecting = ctx.net.connect(endpoint.address(), SocketOwner::Frontend(TEXT_FRONTEND));
        let server_connection = connecting.map_err(ConnectError::outcome)?;
        let connect_by = ctx.now + ctx.site.dial_timeout;
        ctx.wheel.schedule(connect_by, TimerEvent::ConnectTimeout(TEXT_FRONTEND, server_connection));
        let ends_at = ctx.now + timeout;
        session.state =
            SessionState::Attempting(AttemptState { server_connection, ends_at, line_sent: false });
        session.server = Some(server);
        self.connections.insert(server_connection, ConnectionRole::Server { client });
        Ok(())
    }

    /// Sends a request line on a connection that has just been established, if it may still be sent.
    pub(super) fn send_request(&mut self, ctx: &mut FrontendContext, client: Token) {
        if let Err(refusal) = self.check_send(ctx, client) {
            return self.on_send_refused(ctx, client, refusal);
        }
        let Some(session) = self.sessions.get_mut(&client) else { return };
        let SessionState::Attempting(attempt) = &mut session.state else { return };
        attempt.line_sent = true;
        let time_left = attempt.ends_at.saturating_duration_since(ctx.now);
        ctx.net.send(attempt.server_connection, session.open.line_for_server(time_left).as_bytes());
    }

    fn check_send(&self, ctx: &mut FrontendContext, client: Token) -> Result<(), SendRefusal> {
        let Some(session) = self.sessions.get(&client) else { return Err(SendRefusal::NotCurrent) };
        ctx.net.read_available(client);
        let client_gone = has_disconnected(ctx, client);
        let server_ready = session.server.is_some_and(|server| is_ready(ctx, server));
        match session.request_id {
            Some(request_id) => {
                ctx.requests.may_send(ctx.now, request_id, PeerStatus { client_gone, server_ready })
            }
            // It is restored at the server that it had before the run, in whatever state that is.
            None if client_gone => Err(SendRefusal::ClientGone),
            None => Ok(()),
        }
    }

    fn on_send_refused(&mut self, ctx: &mut FrontendContext, client: Token, refusal: SendRefusal) {
        let request_id = self.sessions.get(&client).and_then(|session| session.request_id);
        let request = request_id.map_or(0, |request_id| request_id.0);
        tracing::trace!(request, reason = %refusal, "attempt not sent");
        match refusal {
            SendRefusal::ClientGone => self.on_client_input(ctx, client, ctx.net.is_failed(client)),
            SendRefusal::NotCurrent | SendRefusal::ServerNotReady | SendRefusal::TooLate => {
                self.on_attempt_end(ctx, client, Outcome::NotSent, true);
            }
        }
    }

    // ---- Input of a client with a request ------------------------------------------------------

    /// Input of a client with a request, its end, or the failure of its connection.
    pub(super) fn on_client_input(&mut self, ctx: &mut FrontendContext, token: Token, failed: bool) {
        let Some(session) = self.sessions.get(&token) else { return };
        if session.is_established() {
            self.forward_client_input(ctx, token, failed);
            return;
        }
        let request_id = session.request_id;
        let has_input = ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty());
        if !has_input && !failed && !ctx.net.is_read_closed(token) {
            return;
        }
        if let Some(request_id) = request_id {
            ctx.requests.on_client_disconnected(ctx.now, request_id);
        }
        if has_input {
            // A client may send nothing before UP: nobody could say what its lines belong to.
            self.reject_malformed(ctx, token);
        } else {
            // The client has given up. Its request is owed an answer as long as anyone may read one.
            self.answer_and_close(ctx, token, b"BUSY\r\n");
        }
    }

    fn forward_client_input(&mut self, ctx: &mut FrontendContext, token: Token, failed: bool) {
        let Some(session) = self.sessions.get_mut(&token) else { return };
        let SessionState::Established(established) = &mut session.state else { return };
        let server_connection = established.server_connection;
        if ctx.net.pending_output_bytes(server_connection) < OUTPUT_HIGH_WATERMARK_BYTES {
            let bytes = ctx.net.input_buffer(token).map(std::mem::take).unwrap_or_default();
            if bytes.contains(&b'\n') {
                established.unanswered_since.get_or_insert(ctx.now);
            }
            ctx.net.send(server_connection, &bytes);
        }
        if failed {
            return self.end_session(ctx, token, Outcome::Cancelled, true);
        }
        let all_forwarded = ctx.net.input_buffer(token).is_none_or(|left| left.is_empty());
        if ctx.net.is_read_closed(token) && all_forwarded {
            ctx.net.shutdown_write(server_connection);
            ctx.wheel
                .schedule(ctx.now + HALF_CLOSED_TIMEOUT, TimerEvent::FrontendTimer(TEXT_FRONTEND, token));
        }
    }

    // ---- Ending --------------------------------------------------------------------------------

    /// Sends the final answer of a client that has none, and closes its connection.
    pub(super) fn answer_and_close(&mut self, ctx: &mut FrontendContext, token: Token, answer: &[u8]) {
        self.record_answer(ctx, token);
        self.trace_answer(token, answer);
        ctx.net.send(token, answer);
        self.remove_session(ctx, token);
        ctx.net.close(token);
    }

    fn trace_answer(&self, client: Token, answer: &[u8]) {
        if !tracing::enabled!(tracing::Level::TRACE) {
            return;
        }
        let session = self.sessions.get(&client);
        let request = session.and_then(|session| session.request_id).map_or(0, |request_id| request_id.0);
        let id = session.map_or("-", |session| session.open.id.as_str());
        let answer = String::from_utf8_lossy(answer.trim_ascii_end());
        tracing::trace!(request, %id, %answer, "final answer");
    }

    /// A client gets its final answer, or is told to come again once its session is established.
    fn record_answer(&mut self, ctx: &mut FrontendContext, client: Token) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        if session.is_established() {
            session.end_announced = true;
        } else if std::mem::replace(&mut session.is_answered, true) {
            let request = session.request_id.map_or(0, |request_id| request_id.0);
            let id = &session.open.id;
            ctx.requests
                .record_violation(Violation::AnsweredTwice, ViolationContext::Request { request, id });
        }
    }

    /// Ends an established session: both connections end, the same way.
    pub(super) fn end_session(
        &mut self,
        ctx: &mut FrontendContext,
        client: Token,
        outcome: Outcome,
        by_reset: bool,
    ) {
        let Some(session) = self.sessions.get_mut(&client) else { return };
        session.end_announced |= has_ended(ctx, client)
            || session.server_connection().is_none_or(|server_connection| has_ended(ctx, server_connection))
            || session
                .established()
                .is_some_and(|established| established.ending != SessionEnding::Unannounced);
        if let Some(request_id) = session.request_id {
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
        }
        if by_reset {
            for token in [Some(client), session.server_connection()].into_iter().flatten() {
                if ctx.net.pending_output_bytes(token) == 0 {
                    ctx.net.reset(token);
                }
            }
        }
        self.remove_session(ctx, client);
        ctx.net.close(client);
    }

    /// Removes all that is known of a client, and ends its attempt.
    pub(super) fn remove_session(&mut self, ctx: &mut FrontendContext, client: Token) {
        self.connections.remove(&client);
        let Some(session) = self.sessions.remove(&client) else { return };
        session.trace("ended", ctx);
        check_session_close(ctx, &session);
        self.open_ids.remove(&session.open.id);
        if let Some(request_id) = session.request_id {
            self.clients.remove(&request_id);
        }
        self.close_server_connection(ctx, &session.state);
    }
}

/// Whether a client waits no longer for its answer: it has ended or reset its connection, or sent what is no request.
pub(super) fn has_disconnected(ctx: &mut FrontendContext, client: Token) -> bool {
    let has_input = ctx.net.input_buffer(client).is_none_or(|input| !input.is_empty());
    has_input || ctx.net.is_read_closed(client) || ctx.net.is_failed(client)
}

/// Whether the other side of a connection has ended or reset it.
fn has_ended(ctx: &FrontendContext, token: Token) -> bool {
    ctx.net.is_read_closed(token) || ctx.net.is_failed(token)
}

/// Checks that a session that is over was answered, and announced where it was established.
fn check_session_close(ctx: &mut FrontendContext, session: &Session) {
    let inputs = CloseInputs {
        has_request: true,
        is_answered: session.is_answered,
        is_established: session.is_established(),
        is_announced: session.end_announced,
    };
    if let Err(violation) = check_close(&inputs) {
        let request = session.request_id.map_or(0, |request_id| request_id.0);
        let id = &session.open.id;
        ctx.requests.record_violation(violation, ViolationContext::Request { request, id });
    }
}

/// Whether a server takes new requests, by the endpoint list.
pub(super) fn is_ready(ctx: &FrontendContext, server: ServerId) -> bool {
    ctx.registry.entry(server).is_some_and(|endpoint| endpoint.is_ready())
}

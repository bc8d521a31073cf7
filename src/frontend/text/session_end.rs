//! Ending attempts and sessions: sending final answers and closing connections.

use super::restoration::{self, FailedAttempt};
use super::session::{Session, SessionEnding, SessionState};
use super::sessions::Sessions;
use crate::frontend::FrontendContext;
use crate::model::Outcome;
use crate::net::Token;
use crate::rules::{check_close, ViolationContext};

/// How the connections of an established session end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// Closed after all output is written.
    Orderly,
    /// Reset, because one of the two connections was reset.
    Reset,
}

/// Sends a client the final answer, or `MOVE` if its session is established, and closes its connection.
pub(super) fn answer_and_close(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    answer: &[u8],
) {
    record_answer(sessions, ctx, client);
    if let Some(session) = sessions.get(client) {
        trace_answer(session.request_number(), &session.open().id, answer);
    }
    ctx.net.send(client, answer);
    close_session(sessions, ctx, client);
}

/// Counts a malformed request, answers the client `ERR` and closes its connection.
pub(super) fn reject_malformed(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    ctx.requests.counters_mut().malformed += 1;
    answer_and_close(sessions, ctx, client, b"ERR\r\n");
}

/// Logs a final answer at trace level.
pub(super) fn trace_answer(request: u64, id: &str, answer: &[u8]) {
    tracing::trace!(
        request,
        %id,
        answer = %String::from_utf8_lossy(answer.trim_ascii_end()),
        "final answer"
    );
}

/// Records that a client is sent its final answer, or `MOVE` if its session is established.
fn record_answer(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    let Some(session) = sessions.get_mut(client) else { return };
    if let Err(violation) = session.record_answer() {
        ctx.requests.record_violation(violation, violation_context(session));
    }
}

/// Handles the end of an attempt, before or after the session was established.
pub(super) fn on_attempt_end(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    outcome: Outcome,
    end: ConnectionEnd,
) {
    let Some(session) = sessions.get(client) else { return };
    let (request_id, is_restoring) = (session.request_id(), session.restoration().is_some());
    if let Some(established) = session.established() {
        let ending = established.ending;
        if outcome == Outcome::Error {
            // The server is reachable but violates the protocol, so the client has to reconnect.
            ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
            return answer_and_close(sessions, ctx, client, b"MOVE\r\n");
        }
        return on_server_connection_end(sessions, ctx, client, ending, end);
    }
    let attempt = FailedAttempt {
        outcome,
        line_sent: session.attempt().is_some_and(|attempt| attempt.line_sent),
        error: session.server_connection().and_then(|connection| ctx.net.connection_error(connection)),
    };
    drop_attempt(sessions, ctx, client);
    if is_restoring {
        restoration::on_attempt_end(sessions, ctx, client, attempt);
    } else {
        ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
    }
}

/// Handles the end of the connection to the server of an established session.
fn on_server_connection_end(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    ending: SessionEnding,
    end: ConnectionEnd,
) {
    let (outcome, end) = match ending {
        SessionEnding::Completed => (Outcome::Ok, ConnectionEnd::Orderly),
        SessionEnding::Migrated => (Outcome::Cancelled, ConnectionEnd::Orderly),
        // The client ended the session first, and the server followed.
        SessionEnding::Unannounced if ctx.net.is_read_closed(client) => (Outcome::Cancelled, end),
        SessionEnding::Unannounced => (Outcome::Reset, end),
    };
    end_session(sessions, ctx, client, outcome, end);
}

/// Ends a client's attempt. The request then waits for its next attempt.
pub(super) fn drop_attempt(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    if let Some(state) = sessions.take_attempt(client) {
        close_server_connection(ctx, &state);
    }
}

/// Closes the connection to the server, if there is one. The unwritten rest of a request line is discarded: if it
/// were still written, the server would run a request whose attempt has ended.
fn close_server_connection(ctx: &mut FrontendContext, state: &SessionState) {
    match state {
        SessionState::AwaitingAttempt => {}
        SessionState::Attempting(attempt) if ctx.net.pending_output_bytes(attempt.server_connection) > 0 => {
            ctx.net.close_without_flush(attempt.server_connection);
        }
        SessionState::Attempting(attempt) => ctx.net.close(attempt.server_connection),
        SessionState::Established(established) => {
            ctx.net.close_after_delivery(established.server_connection);
        }
    }
}

/// Ends an established session and closes or resets both of its connections.
pub(super) fn end_session(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    outcome: Outcome,
    end: ConnectionEnd,
) {
    let Some(session) = sessions.get_mut(client) else { return };
    let server_connection = session.server_connection();
    let ending = session.established().map(|established| established.ending);
    let is_announced = has_ended(ctx, client)
        || server_connection.is_none_or(|server_connection| has_ended(ctx, server_connection))
        || ending.is_some_and(|ending| ending != SessionEnding::Unannounced);
    if is_announced {
        session.announce_end();
    }
    ctx.requests.on_attempt_ended(ctx.now, session.request_id(), outcome);
    if end == ConnectionEnd::Reset {
        for token in [Some(client), server_connection].into_iter().flatten() {
            if ctx.net.pending_output_bytes(token) == 0 {
                ctx.net.reset(token);
            }
        }
    }
    close_session(sessions, ctx, client);
}

/// Removes a client's session and closes its connections. Both peers of an established session still get what was
/// forwarded to them.
fn close_session(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    let Some(session) = sessions.remove(client) else { return ctx.net.close(client) };
    trace_close(ctx, client, &session);
    finish_session(ctx, &session);
    close_server_connection(ctx, session.state());
    if session.is_established() {
        ctx.net.close_after_delivery(client);
    } else {
        ctx.net.close(client);
    }
}

/// Logs, at trace level, how far the two connections of a session have come when the node closes them.
fn trace_close(ctx: &FrontendContext, client: Token, session: &Session) {
    if !tracing::enabled!(tracing::Level::TRACE) {
        return;
    }
    let server = session.server_connection();
    tracing::trace!(
        request = session.request_number(),
        client_connection = %client,
        client_peer = ?PeerState::of(ctx, client),
        client_unwritten_bytes = ctx.net.pending_output_bytes(client),
        server_connection = %server.map_or("-".to_string(), |server| server.to_string()),
        server_peer = ?server.map(|server| PeerState::of(ctx, server)),
        server_unwritten_bytes = server.map_or(0, |server| ctx.net.pending_output_bytes(server)),
        "session closing"
    );
}

/// What the peer of a connection has done to it, for log events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerState {
    /// The peer may still send.
    Open,
    /// The peer has closed its write side.
    Ended,
    /// The connection has failed.
    Failed,
}

impl PeerState {
    fn of(ctx: &FrontendContext, token: Token) -> PeerState {
        if ctx.net.is_failed(token) {
            PeerState::Failed
        } else if ctx.net.is_read_closed(token) {
            PeerState::Ended
        } else {
            PeerState::Open
        }
    }
}

/// Logs the end of a removed session and checks its invariants.
pub(super) fn finish_session(ctx: &mut FrontendContext, session: &Session) {
    session.trace("ended", ctx);
    check_session_close(ctx, session);
}

/// Whether the peer has closed or reset a connection.
fn has_ended(ctx: &FrontendContext, token: Token) -> bool {
    ctx.net.is_read_closed(token) || ctx.net.is_failed(token)
}

/// Checks that the client of an ended session was sent its final answer and, if the session was established, that its
/// end was announced.
fn check_session_close(ctx: &mut FrontendContext, session: &Session) {
    if let Err(violation) = check_close(&session.close_inputs()) {
        ctx.requests.record_violation(violation, violation_context(session));
    }
}

fn violation_context(session: &Session) -> ViolationContext<'_> {
    ViolationContext::Request { request: session.request_number(), id: &session.open().id }
}

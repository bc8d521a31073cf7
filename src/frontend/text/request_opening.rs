//! Input from clients that have not sent a request yet, and opening a session with their request line.

use super::awaiting_clients::AwaitingClients;
use super::client_input::on_client_event;
use super::connection_event::ConnectionEvent;
use super::line_buffer::{take_line, LineRead};
use super::request_line::{OpenRequest, RequestLine};
use super::restoration;
use super::session::{arrival, Session};
use super::session_end::trace_answer;
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TEXT_FRONTEND};
use crate::net::Token;
use crate::rules::{may_start, StartInputs, StartRefusal};

/// Handles the lines of a client that has not sent a request yet.
pub(super) fn on_input(
    awaiting: &mut AwaitingClients,
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    token: Token,
) {
    while let Some(input) = ctx.net.input_buffer(token) {
        let line = match take_line(input) {
            LineRead::Incomplete => {
                if ctx.net.is_read_closed(token) {
                    close_disconnected(awaiting, ctx, token);
                }
                return;
            }
            LineRead::TooLong => return reject_malformed_line(awaiting, ctx, token),
            LineRead::Complete(line) => line,
        };
        match RequestLine::parse(&line, ctx.settings, ctx.classes) {
            Some(RequestLine::Ping) => {
                if awaiting.count_ping(token).is_err() {
                    return reject_malformed_line(awaiting, ctx, token);
                }
                answer_ping(ctx, token);
            }
            Some(RequestLine::Open(open)) => return open_request(awaiting, sessions, ctx, token, open),
            None => return reject_malformed_line(awaiting, ctx, token),
        }
    }
}

fn answer_ping(ctx: &mut FrontendContext, token: Token) {
    // The external load balancer routes clients to this node only if the answer is PONG.
    let answer: &[u8] = if ctx.accepts_clients { b"PONG\r\n" } else { b"BUSY\r\n" };
    ctx.net.send(token, answer);
}

/// Closes a connection on which no request has been received. A request that arrives at the same time is still
/// answered: a complete line that is already readable is handled first, and for a line that arrives later the `BUSY`
/// that is sent here is the answer.
pub(super) fn close_without_request(
    awaiting: &mut AwaitingClients,
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    token: Token,
) {
    ctx.net.read_available(token);
    on_input(awaiting, sessions, ctx, token);
    if awaiting.remove(token).is_some() {
        trace_close(ctx, token, IdleClose::NoRequest);
        ctx.requests.counters_mut().idle_closed += 1;
        ctx.net.send(token, b"BUSY\r\n");
        ctx.net.close(token);
    }
}

/// Closes a connection on which no request has been received and whose client has gone, without an answer.
pub(super) fn close_disconnected(awaiting: &mut AwaitingClients, ctx: &mut FrontendContext, token: Token) {
    trace_close(ctx, token, IdleClose::ClientDisconnected);
    close(awaiting, ctx, token);
}

fn close(awaiting: &mut AwaitingClients, ctx: &mut FrontendContext, token: Token) {
    awaiting.remove(token);
    ctx.net.close(token);
}

/// Why a connection is closed before it has brought a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum IdleClose {
    /// The client has closed or reset the connection.
    #[error("client-gone")]
    ClientDisconnected,
    /// No request line was received in time, or the process is shutting down.
    #[error("no-request")]
    NoRequest,
    /// The descriptor was needed for another connection.
    #[error("evicted")]
    Evicted,
}

/// Logs, at trace level, that a connection is closed before it has brought a request.
pub(super) fn trace_close(ctx: &mut FrontendContext, token: Token, reason: IdleClose) {
    if !tracing::enabled!(tracing::Level::TRACE) {
        return;
    }
    tracing::trace!(
        connection = %token,
        %reason,
        is_failed = ctx.net.is_failed(token),
        unparsed_bytes = ctx.net.input_buffer(token).map_or(0, |input| input.len()),
        "connection closed without a request"
    );
}

fn reject_malformed_line(awaiting: &mut AwaitingClients, ctx: &mut FrontendContext, token: Token) {
    ctx.requests.counters_mut().malformed += 1;
    answer_without_session(awaiting, ctx, token, b"ERR\r\n");
}

fn answer_without_session(
    awaiting: &mut AwaitingClients,
    ctx: &mut FrontendContext,
    token: Token,
    answer: &[u8],
) {
    trace_answer(0, "-", answer);
    ctx.net.send(token, answer);
    close(awaiting, ctx, token);
}

fn open_request(
    awaiting: &mut AwaitingClients,
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    token: Token,
    open: OpenRequest,
) {
    ctx.net.mark_handshake_complete(token);
    if let Err(refusal) = check_start(sessions, ctx, token, &open) {
        return refuse_start(awaiting, ctx, token, &open, refusal);
    }
    awaiting.remove(token);
    if open.restored_server.is_some() {
        let request_id = ctx.requests.on_restoration(ctx.now, TEXT_FRONTEND, arrival(&open));
        let session = Session::restoring(open, request_id, ctx.now);
        restoration::start(sessions, ctx, token, session);
    } else {
        submit_request(sessions, ctx, token, open);
    }
}

fn check_start(
    sessions: &Sessions,
    ctx: &mut FrontendContext,
    token: Token,
    open: &OpenRequest,
) -> Result<(), StartRefusal> {
    let inputs = StartInputs {
        is_closing: ctx.shutting_down,
        is_restored: open.restored_server.is_some(),
        has_more_input: ctx.net.input_buffer(token).is_some_and(|input| !input.is_empty()),
        is_duplicate_id: sessions.has_request_with_id(&open.id),
        has_descriptor: true,
    };
    may_start(&inputs)?;
    // Descriptors are reclaimed only for a request that passes all other checks.
    let has_descriptor = ctx.net.reclaim_descriptors();
    may_start(&StartInputs { has_descriptor, ..inputs })
}

fn refuse_start(
    awaiting: &mut AwaitingClients,
    ctx: &mut FrontendContext,
    token: Token,
    open: &OpenRequest,
    refusal: StartRefusal,
) {
    tracing::trace!(id = %open.id, reason = %refusal, "request answered without an attempt");
    match refusal {
        StartRefusal::MoreInput | StartRefusal::DuplicateId => reject_malformed_line(awaiting, ctx, token),
        StartRefusal::Closing => answer_without_session(awaiting, ctx, token, b"BUSY\r\n"),
        StartRefusal::NoDescriptor => {
            ctx.requests.counters_mut().capacity_rejected += 1;
            answer_without_session(awaiting, ctx, token, b"BUSY 500\r\n");
        }
    }
}

/// Passes a request to the request table, for which the balancer then selects a server.
fn submit_request(sessions: &mut Sessions, ctx: &mut FrontendContext, token: Token, open: OpenRequest) {
    let request_id = ctx.requests.on_request(ctx.now, TEXT_FRONTEND, arrival(&open));
    let session = Session::with_request(open, request_id);
    session.trace("arrived", ctx);
    sessions.insert(token, session);
    on_client_event(sessions, ctx, token, ConnectionEvent::Ready);
}

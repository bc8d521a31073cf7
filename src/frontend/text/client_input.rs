//! Input of clients with a session: lines for the server once it is established, and the client's end.

use super::connection_event::ConnectionEvent;
use super::session_end::{answer_and_close, end_session, reject_malformed, ConnectionEnd};
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::Outcome;
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use std::time::Duration;

/// A server whose client has ended its sending has this long to end its own side.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles an event at the connection of a client with a session.
pub(super) fn on_client_event(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    event: ConnectionEvent,
) {
    let Some(session) = sessions.get(client) else { return };
    if session.is_established() {
        return forward_client_input(sessions, ctx, client, event);
    }
    let has_input = ctx.net.input_buffer(client).is_some_and(|input| !input.is_empty());
    if !has_input && event == ConnectionEvent::Ready && !ctx.net.is_read_closed(client) {
        return;
    }
    if let Some(request_id) = session.request_id() {
        ctx.requests.on_client_disconnected(ctx.now, request_id);
    }
    if has_input {
        // A client may send nothing before UP: nobody could say what its lines belong to.
        reject_malformed(sessions, ctx, client);
    } else {
        // The client has given up. Its request is owed an answer as long as anyone may read one.
        answer_and_close(sessions, ctx, client, b"BUSY\r\n");
    }
}

fn forward_client_input(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    event: ConnectionEvent,
) {
    let Some(established) = sessions.get_mut(client).and_then(|session| session.established_mut()) else {
        return;
    };
    let server_connection = established.server_connection;
    if ctx.net.pending_output_bytes(server_connection) < OUTPUT_HIGH_WATERMARK_BYTES {
        let bytes = ctx.net.input_buffer(client).map(std::mem::take).unwrap_or_default();
        if bytes.contains(&b'\n') {
            established.unanswered_since.get_or_insert(ctx.now);
        }
        ctx.net.send(server_connection, &bytes);
    }
    if event != ConnectionEvent::Ready {
        return end_session(sessions, ctx, client, Outcome::Cancelled, ConnectionEnd::Reset);
    }
    let all_forwarded = ctx.net.input_buffer(client).is_none_or(|left| left.is_empty());
    if ctx.net.is_read_closed(client) && all_forwarded {
        ctx.net.shutdown_write(server_connection);
        ctx.wheel.schedule(ctx.now + HALF_CLOSED_TIMEOUT, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    }
}

/// Whether a client waits no longer for its answer: it has ended or reset its connection, or sent what is no request.
pub(super) fn has_disconnected(ctx: &mut FrontendContext, client: Token) -> bool {
    let has_input = ctx.net.input_buffer(client).is_none_or(|input| !input.is_empty());
    has_input || ctx.net.is_read_closed(client) || ctx.net.is_failed(client)
}

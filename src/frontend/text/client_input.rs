//! Input from clients with a session: lines to forward to the server once the session is established, and the end of
//! the client's connection.

use super::connection_event::ConnectionEvent;
use super::restoration::{self, RestorationFailure};
use super::session::Session;
use super::session_end::{answer_and_close, end_session, reject_malformed, ConnectionEnd};
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::{Effect, Outcome};
use crate::net::{Token, OUTPUT_HIGH_WATERMARK_BYTES};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A session whose client has closed its write side ends after this time in which neither peer sends or reads anything.
const HALF_CLOSED_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a half-closed session may last while its peers are active.
const HALF_CLOSED_DELIVERY_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles an event on the connection of a client with a session.
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
    if session.restoration().is_some() {
        let failure =
            if has_input { RestorationFailure::MoreInput } else { RestorationFailure::ClientDisconnected };
        return restoration::fail(sessions, ctx, client, failure);
    }
    let answer = answer_after_disconnect(session, ctx);
    ctx.requests.on_client_disconnected(ctx.now, session.request_id());
    if has_input {
        // A client must not send anything before UP, because such lines could not be assigned to a request or
        // session.
        reject_malformed(sessions, ctx, client);
    } else {
        // The client has disconnected, but it may have closed only its sending side, so it is still sent a final
        // answer.
        answer_and_close(sessions, ctx, client, answer);
    }
}

/// The final answer to a client that has ended its sending before its request was answered. `BUSY` says that trying
/// again is harmless, which is not known of a request that may have run and must not run twice.
fn answer_after_disconnect(session: &Session, ctx: &FrontendContext) -> &'static [u8] {
    let may_have_run = session.attempt().is_some_and(|attempt| attempt.is_line_written(ctx));
    let class = ctx.classes.get(session.open().class);
    let is_repeatable = class.is_none_or(|class| class.effect != Effect::NonIdempotent);
    if may_have_run && !is_repeatable {
        b"ERR\r\n"
    } else {
        b"BUSY\r\n"
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
    let all_forwarded = ctx.net.input_buffer(client).is_none_or(|input| input.is_empty());
    if ctx.net.is_read_closed(client) && all_forwarded && established.half_closed_at.is_none() {
        established.half_closed_at = Some(ctx.now);
        ctx.net.shutdown_write(server_connection);
        ctx.wheel.schedule(ctx.now + HALF_CLOSED_TIMEOUT, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    }
}

/// Ends a half-closed session once its peers are inactive. Waits on while output for either of them is pending, or while
/// they are active: the server may not have received the client's end yet, or may still send its last lines.
pub(super) fn on_half_closed_timeout(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    let established = sessions.get(client).and_then(|session| session.established());
    let Some(established) = established else { return };
    let Some(half_closed_at) = established.half_closed_at else { return };
    let connections = [client, established.server_connection];
    let is_delivering = connections.iter().any(|token| ctx.net.pending_output_bytes(*token) > 0);
    let active_at = connections.map(|token| ctx.net.last_peer_activity(token));
    let inactive_since = active_at.into_iter().fold(half_closed_at, MonotonicTime::max);
    let inactive_from = if is_delivering { ctx.now } else { inactive_since };
    let ends_at = (inactive_from + HALF_CLOSED_TIMEOUT).min(half_closed_at + HALF_CLOSED_DELIVERY_TIMEOUT);
    if ctx.now < ends_at {
        ctx.wheel.schedule(ends_at, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    } else {
        end_session(sessions, ctx, client, Outcome::Cancelled, ConnectionEnd::Orderly);
    }
}

/// Whether a client no longer waits for its answer: it has closed or reset its connection, or sent further input,
/// which the protocol forbids before the answer.
pub(super) fn has_disconnected(ctx: &mut FrontendContext, client: Token) -> bool {
    let has_input = ctx.net.input_buffer(client).is_none_or(|input| !input.is_empty());
    has_input || ctx.net.is_read_closed(client) || ctx.net.is_failed(client)
}

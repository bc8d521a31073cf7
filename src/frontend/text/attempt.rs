//! Attempts: connecting to a server, sending the request line once the connection is established, and cancelling.

use super::client_input::{has_disconnected, on_client_event};
use super::connection_event::ConnectionEvent;
use super::session::AttemptState;
use super::session_end::{drop_attempt, on_attempt_end, ConnectionEnd};
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TimerEvent, TEXT_FRONTEND};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::{ConnectError, SocketOwner, Token};
use crate::requests::AttemptTimeouts;
use crate::rules::{PeerStatus, SendRefusal};
use std::time::Duration;

/// Starts an attempt of a request, unless the client has disconnected meanwhile or the server accepts no new
/// requests.
pub(super) fn start(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    request_id: RequestId,
    server: ServerId,
    timeout: Duration,
) {
    let Some(client) = sessions.client_of_request(request_id) else { return };
    ctx.net.read_available(client);
    if has_disconnected(ctx, client) {
        let event = ConnectionEvent::current(ctx, client);
        return on_client_event(sessions, ctx, client, event);
    }
    // The server may have begun to drain during this iteration, after it was selected.
    let result = if !is_ready(ctx, server) {
        Err(Outcome::NotSent)
    } else if !ctx.net.has_descriptor_for_attempt() {
        Err(Outcome::LocalShortage)
    } else {
        let timeouts = AttemptTimeouts { connect: ctx.settings.dial_timeout, answer: timeout };
        connect(sessions, ctx, client, server, timeouts)
    };
    if let Err(outcome) = result {
        ctx.requests.on_attempt_ended(ctx.now, request_id, outcome);
    }
}

/// Starts connecting to a server. The request line is sent once the connection is established ([`send_request`]).
///
/// # Errors
/// If connecting could not be started: the outcome of the attempt.
pub(super) fn connect(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    server: ServerId,
    timeouts: AttemptTimeouts,
) -> Result<(), Outcome> {
    if !sessions.contains(client) {
        return Ok(());
    }
    let endpoint = ctx.registry.entry(server).ok_or(Outcome::ConnectFailed)?;
    let result = ctx.net.connect(endpoint.address(), SocketOwner::Frontend(TEXT_FRONTEND));
    let server_connection = result.map_err(ConnectError::outcome)?;
    let connect_deadline = ctx.now + timeouts.connect;
    ctx.wheel.schedule(connect_deadline, TimerEvent::ConnectTimeout(TEXT_FRONTEND, server_connection));
    let attempt = AttemptState { server_connection, deadline: ctx.now + timeouts.answer, line_sent: false };
    sessions.set_attempt(client, server, attempt);
    Ok(())
}

/// Sends the request line on a connection that has just been established, if sending is still permitted.
pub(super) fn send_request(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    if let Err(refusal) = check_send(sessions, ctx, client) {
        return on_send_refused(sessions, ctx, client, refusal);
    }
    let Some(session) = sessions.get_mut(client) else { return };
    let Some(attempt) = session.mark_line_sent() else { return };
    let time_left = attempt.deadline.saturating_duration_since(ctx.now);
    ctx.net.send(attempt.server_connection, session.open().line_for_server(time_left).as_bytes());
    if let (Some(_), Some(server)) = (session.restoration(), session.server()) {
        ctx.requests.on_restore_attempt_sent(ctx.now, session.request_id(), server);
    }
}

fn check_send(sessions: &Sessions, ctx: &mut FrontendContext, client: Token) -> Result<(), SendRefusal> {
    let Some(session) = sessions.get(client) else { return Err(SendRefusal::NotCurrent) };
    ctx.net.read_available(client);
    let client_disconnected = has_disconnected(ctx, client);
    let server_ready = session.server().is_some_and(|server| is_ready(ctx, server));
    ctx.requests.may_send(ctx.now, session.request_id(), PeerStatus { client_disconnected, server_ready })
}

fn on_send_refused(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token, refusal: SendRefusal) {
    let request = sessions.get(client).map_or(0, |session| session.request_number());
    tracing::trace!(request, reason = %refusal, "attempt not sent");
    match refusal {
        SendRefusal::ClientDisconnected => {
            let event = ConnectionEvent::current(ctx, client);
            on_client_event(sessions, ctx, client, event);
        }
        SendRefusal::NotCurrent
        | SendRefusal::OverQuota
        | SendRefusal::ServerNotReady
        | SendRefusal::TooLate => {
            on_attempt_end(sessions, ctx, client, Outcome::NotSent, ConnectionEnd::Reset);
        }
    }
}

/// Cancels the attempt of a request and returns its outcome.
pub(super) fn cancel(sessions: &mut Sessions, ctx: &mut FrontendContext, request_id: RequestId) -> Outcome {
    let Some(client) = sessions.client_of_request(request_id) else { return Outcome::Cancelled };
    let attempt = sessions.get(client).and_then(|session| session.attempt());
    let may_have_run = attempt.is_none_or(|attempt| attempt.is_line_written(ctx));
    drop_attempt(sessions, ctx, client);
    if may_have_run {
        Outcome::Timeout
    } else {
        Outcome::ConnectFailed
    }
}

/// Ends the attempt on this connection if the connection is not established yet.
pub(super) fn on_connect_timeout(sessions: &mut Sessions, ctx: &mut FrontendContext, token: Token) {
    if !ctx.net.is_connecting(token) {
        return;
    }
    if let Some(client) = sessions.client_of_server_connection(token) {
        on_attempt_end(sessions, ctx, client, Outcome::ConnectFailed, ConnectionEnd::Reset);
    }
}

/// Cancels the attempts at these servers of which no byte has been written, except those that restore sessions.
pub(super) fn cancel_unsent(sessions: &mut Sessions, ctx: &mut FrontendContext, servers: &[ServerId]) {
    let unsent: Vec<Token> = sessions
        .iter()
        .filter(|(_, session)| {
            let attempt = session.attempt();
            let is_selected = session.restoration().is_none();
            let is_unsent = attempt.is_some_and(|attempt| !ctx.net.has_written(attempt.server_connection));
            is_selected && is_unsent && session.server().is_some_and(|server| servers.contains(&server))
        })
        .map(|(client, _)| client)
        .collect();
    for client in unsent {
        on_attempt_end(sessions, ctx, client, Outcome::ConnectFailed, ConnectionEnd::Reset);
    }
}

/// Whether a server accepts new requests according to the endpoint list.
fn is_ready(ctx: &FrontendContext, server: ServerId) -> bool {
    ctx.registry.entry(server).is_some_and(|endpoint| endpoint.is_ready())
}

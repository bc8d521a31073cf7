//! Restoring the sessions that clients had before this process started. Each returns to its previous server, and no
//! server is selected for it. It becomes a request in the request table once that server has accepted it.

use super::attempt;
use super::session::Session;
use super::session_end::answer_and_close;
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TimerEvent, ANSWER_MARGIN, TEXT_FRONTEND};
use crate::model::{Outcome, ServerId};
use crate::net::Token;
use rustix::io::Errno;
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;
use thiserror::Error;

/// The progress of a session that is being restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Restoration {
    /// When the request line was handled.
    started_at: MonotonicTime,
    /// The number of attempts started.
    attempts: u32,
}

impl Restoration {
    /// The progress of a session whose request line is handled now.
    pub(super) fn new(now: MonotonicTime) -> Restoration {
        Restoration { started_at: now, attempts: 0 }
    }
}

/// How an attempt to restore a session has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FailedAttempt {
    /// The outcome, as for the attempts of requests.
    pub(super) outcome: Outcome,
    /// Whether the request line had been passed to the socket.
    pub(super) line_sent: bool,
    /// The error of the connection to the server; `None` if the connection did not fail.
    pub(super) error: Option<Errno>,
}

/// Why a session is not restored.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum RestorationFailure {
    /// The endpoint list does not contain the server.
    #[error("unknown-server")]
    UnknownServer,
    /// The attempt has ended without being accepted.
    #[error("attempt-ended")]
    AttemptEnded(FailedAttempt),
    /// The client's deadline is about to pass.
    #[error("deadline-passed")]
    DeadlinePassed,
    /// The client has closed or reset its connection.
    #[error("client-gone")]
    ClientDisconnected,
    /// The client has sent more than the request line before it was answered.
    #[error("more-input")]
    MoreInput,
}

impl RestorationFailure {
    /// The final answer to the client.
    fn answer(self) -> &'static [u8] {
        match self {
            RestorationFailure::AttemptEnded(FailedAttempt { outcome: Outcome::Rejected, .. })
            | RestorationFailure::ClientDisconnected => b"BUSY\r\n",
            RestorationFailure::UnknownServer
            | RestorationFailure::AttemptEnded(_)
            | RestorationFailure::DeadlinePassed
            | RestorationFailure::MoreInput => b"ERR\r\n",
        }
    }

    fn is_malformed(self) -> bool {
        matches!(self, RestorationFailure::UnknownServer | RestorationFailure::MoreInput)
    }

    fn failed_attempt(self) -> Option<FailedAttempt> {
        match self {
            RestorationFailure::AttemptEnded(attempt) => Some(attempt),
            _ => None,
        }
    }
}

/// Reconnects a client to the server that its session had.
pub(super) fn start(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token, server_name: &str) {
    let timeout = sessions.get(client).map_or(Duration::ZERO, |session| session.open().time_left);
    trace_start(sessions, ctx, client, server_name);
    let Some(server) = ctx.registry.id_of(server_name) else {
        return fail(sessions, ctx, client, RestorationFailure::UnknownServer);
    };
    let answer_deadline = ctx.now + timeout.saturating_sub(ANSWER_MARGIN);
    ctx.wheel.schedule(answer_deadline, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    connect(sessions, ctx, client, server, timeout);
}

fn connect(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    server: ServerId,
    timeout: Duration,
) {
    if let Some(restoration) = sessions.get_mut(client).and_then(Session::restoration_mut) {
        restoration.attempts += 1;
    }
    ctx.requests.counters_mut().restore_attempts += 1;
    if let Err(outcome) = attempt::connect(sessions, ctx, client, server, timeout) {
        let attempt = FailedAttempt { outcome, line_sent: false, error: None };
        on_attempt_end(sessions, ctx, client, attempt);
    }
}

/// Handles the end of an attempt to restore a session.
pub(super) fn on_attempt_end(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    attempt: FailedAttempt,
) {
    fail(sessions, ctx, client, RestorationFailure::AttemptEnded(attempt));
}

/// Gives up restoring a session: sends the client its final answer and closes its connection.
pub(super) fn fail(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    failure: RestorationFailure,
) {
    let counters = ctx.requests.counters_mut();
    counters.restore_failed += 1;
    if failure.is_malformed() {
        counters.malformed += 1;
    }
    if let Some(session) = sessions.get(client) {
        log_failure(ctx, client, session, failure);
    }
    answer_and_close(sessions, ctx, client, failure.answer());
}

fn log_failure(ctx: &FrontendContext, client: Token, session: &Session, failure: RestorationFailure) {
    let Some(restoration) = session.restoration() else { return };
    let attempt = failure.failed_attempt();
    tracing::warn!(
        id = %session.open().id,
        server = %session.open().restored_server.as_deref().unwrap_or("-"),
        reason = %failure,
        outcome = ?attempt.map(|attempt| attempt.outcome),
        line_sent = attempt.is_some_and(|attempt| attempt.line_sent),
        error = ?attempt.and_then(|attempt| attempt.error),
        attempts = restoration.attempts,
        after_ms = ctx.now.saturating_duration_since(restoration.started_at).as_millis_u64(),
        deadline_ms = session.open().time_left.as_millis_u64(),
        client_connection = %client,
        "session not restored"
    );
}

fn trace_start(sessions: &Sessions, ctx: &FrontendContext, client: Token, server_name: &str) {
    let Some(session) = sessions.get(client) else { return };
    tracing::trace!(
        id = %session.open().id,
        server = %server_name,
        is_ready = ctx.registry.id_of(server_name).is_some_and(|server| attempt::is_ready(ctx, server)),
        deadline_ms = session.open().time_left.as_millis_u64(),
        client_connection = %client,
        "restoring session"
    );
}

/// Logs, at trace level, that the server has accepted a client whose session is being restored.
pub(super) fn trace_restored(ctx: &FrontendContext, session: &Session) {
    let Some(restoration) = session.restoration() else { return };
    tracing::trace!(
        id = %session.open().id,
        attempts = restoration.attempts,
        after_ms = ctx.now.saturating_duration_since(restoration.started_at).as_millis_u64(),
        "session restored"
    );
}

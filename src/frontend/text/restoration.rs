//! Restoring the sessions that clients had before this process started. Each returns to its previous server, and no
//! server is selected for it.
//!
//! The request table has the session from its request line on, and decides whether and when a failed attempt is followed
//! by another one. This module makes the attempts, and gives the final answer if the session is not restored.

use super::attempt;
use super::session::{arrival, AttemptState, Session};
use super::session_end::{self, answer_and_close, ConnectionEnd};
use super::sessions::Sessions;
use crate::frontend::{FrontendContext, TimerEvent, ANSWER_MARGIN, TEXT_FRONTEND};
use crate::model::{Outcome, RequestId, ServerId};
use crate::net::Token;
use crate::requests::{AttemptTimeouts, FlowResult};
use crate::rules::RetryRefusal;
use rustix::io::Errno;
use sparbank_time::{DurationExt, MonotonicTime};
use std::time::Duration;
use thiserror::Error;

/// The progress of a session that is being restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Restoration {
    /// When the request line was handled.
    started_at: MonotonicTime,
    /// When the client is sent its final answer at the latest.
    answer_by: MonotonicTime,
    /// The number of attempts started.
    attempts: u32,
    /// When the next attempt starts, while none is in flight.
    retry_at: Option<MonotonicTime>,
    /// How the latest attempt has ended.
    last_failure: Option<FailedAttempt>,
}

impl Restoration {
    /// The progress of a session whose request line is handled now, for a client that waits for `time_left`.
    pub(super) fn new(now: MonotonicTime, time_left: Duration) -> Restoration {
        let answer_by = now + time_left.saturating_sub(ANSWER_MARGIN);
        Restoration { started_at: now, answer_by, attempts: 0, retry_at: None, last_failure: None }
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
    /// The session gets no further attempt.
    #[error("{0}")]
    NoFurtherAttempt(RetryRefusal),
    /// The client has closed or reset its connection.
    #[error("client-gone")]
    ClientDisconnected,
    /// The client has sent more than the request line before it was answered.
    #[error("more-input")]
    MoreInput,
    /// The process is about to exit.
    #[error("closing")]
    Closing,
}

impl RestorationFailure {
    fn flow_result(self) -> FlowResult {
        match self {
            RestorationFailure::ClientDisconnected => FlowResult::ClientDisconnected,
            _ => FlowResult::Failed,
        }
    }
}

/// Opens a request for a client that had a session at a server, and starts the first attempt.
pub(super) fn start(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token, session: Session) {
    trace_start(ctx, client, &session);
    let answer_by = session.restoration().map_or(ctx.now, |restoration| restoration.answer_by);
    sessions.insert(client, session);
    ctx.wheel.schedule(answer_by, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    start_attempt(sessions, ctx, client);
}

fn start_attempt(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    let Some(session) = sessions.get_mut(client) else { return };
    let request_id = session.request_id();
    let timeouts = match ctx.requests.start_restore_attempt(ctx.now, request_id) {
        Ok(timeouts) => timeouts,
        Err(refusal) => {
            return fail(sessions, ctx, client, RestorationFailure::NoFurtherAttempt(refusal));
        }
    };
    if let Some(restoration) = session.restoration_mut() {
        restoration.attempts += 1;
        restoration.retry_at = None;
    }
    if let Err(outcome) = connect(sessions, ctx, client, timeouts) {
        on_attempt_end(sessions, ctx, client, FailedAttempt { outcome, line_sent: false, error: None });
    }
}

fn connect(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    timeouts: AttemptTimeouts,
) -> Result<(), Outcome> {
    let Some(session) = sessions.get(client) else { return Ok(()) };
    // The endpoint list may not contain the server yet, or may list it again under another id.
    let server = listed_server(ctx, session).ok_or(Outcome::NotSent)?;
    if !ctx.net.reclaim_descriptors() {
        return Err(Outcome::LocalShortage);
    }
    attempt::connect(sessions, ctx, client, server, timeouts)?;
    ctx.wheel.schedule(ctx.now + timeouts.answer, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
    Ok(())
}

fn listed_server(ctx: &FrontendContext, session: &Session) -> Option<ServerId> {
    ctx.registry.id_of(session.open().restored_server.as_deref()?)
}

/// Handles the end of an attempt to restore a session: schedules the next one, or gives the final answer.
pub(super) fn on_attempt_end(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    attempt: FailedAttempt,
) {
    let Some(session) = sessions.get_mut(client) else { return };
    let (request_id, server) = (session.request_id(), session.server());
    let Some(restoration) = session.restoration_mut() else { return };
    restoration.last_failure = Some(attempt);
    match ctx.requests.on_restore_attempt_ended(ctx.now, request_id, server, attempt.outcome) {
        Ok(backoff) => {
            let retry_at = ctx.now + backoff;
            restoration.retry_at = Some(retry_at);
            ctx.wheel.schedule(retry_at, TimerEvent::FrontendTimer(TEXT_FRONTEND, client));
            log_retry(session, backoff);
        }
        Err(refusal) => fail(sessions, ctx, client, RestorationFailure::NoFurtherAttempt(refusal)),
    }
}

/// The work that is due for a session when its timer elapses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DueWork {
    /// The client's deadline is about to pass, or the attempt has had no answer in its time.
    AnswerOverdue,
    /// The next attempt starts.
    Retry,
    /// Nothing: the timer is that of an earlier state.
    Nothing,
}

/// Returns what is due for a session that is being restored.
pub(super) fn due_work(
    restoration: &Restoration,
    attempt: Option<&AttemptState>,
    now: MonotonicTime,
) -> DueWork {
    let is_attempt_overdue = attempt.is_some_and(|attempt| now >= attempt.deadline);
    if now >= restoration.answer_by || is_attempt_overdue {
        DueWork::AnswerOverdue
    } else if restoration.retry_at.is_some_and(|retry_at| now >= retry_at) {
        DueWork::Retry
    } else {
        DueWork::Nothing
    }
}

/// Ends an attempt that has had no answer in its time, and a restoration whose client's deadline is about to pass. What
/// has arrived from the server has been handled before, which may have ended either.
pub(super) fn on_answer_overdue(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    let Some(session) = sessions.get(client) else { return };
    let Some(restoration) = session.restoration() else { return };
    match session.attempt() {
        Some(attempt) if ctx.now >= attempt.deadline => {
            let outcome =
                if attempt.is_line_written(ctx) { Outcome::Timeout } else { Outcome::ConnectFailed };
            session_end::on_attempt_end(sessions, ctx, client, outcome, ConnectionEnd::Reset);
        }
        None if ctx.now >= restoration.answer_by => {
            let failure = RestorationFailure::NoFurtherAttempt(RetryRefusal::DeadlinePassed);
            fail(sessions, ctx, client, failure);
        }
        Some(_) | None => {}
    }
}

/// Starts the next attempt.
pub(super) fn retry(sessions: &mut Sessions, ctx: &mut FrontendContext, client: Token) {
    start_attempt(sessions, ctx, client);
}

/// Gives up restoring a session: sends the client its final answer and closes its connection.
pub(super) fn fail(
    sessions: &mut Sessions,
    ctx: &mut FrontendContext,
    client: Token,
    failure: RestorationFailure,
) {
    let Some(session) = sessions.get(client) else { return };
    let request_id = session.request_id();
    log_failure(ctx, client, session, failure);
    let answer = final_answer(ctx, request_id, failure);
    if failure == RestorationFailure::MoreInput {
        ctx.requests.counters_mut().malformed += 1;
    }
    ctx.requests.abandon_restoration(ctx.now, request_id, failure.flow_result());
    answer_and_close(sessions, ctx, client, answer);
}

/// The final answer: a rejection if the client may send its request again without a risk, otherwise a failure.
fn final_answer(ctx: &FrontendContext, request_id: RequestId, failure: RestorationFailure) -> &'static [u8] {
    match failure {
        RestorationFailure::NoFurtherAttempt(_) if ctx.requests.may_reject_restoration(request_id) => {
            b"BUSY\r\n"
        }
        RestorationFailure::ClientDisconnected => b"BUSY\r\n",
        RestorationFailure::NoFurtherAttempt(_)
        | RestorationFailure::MoreInput
        | RestorationFailure::Closing => b"ERR\r\n",
    }
}

fn log_failure(ctx: &FrontendContext, client: Token, session: &Session, failure: RestorationFailure) {
    let Some(restoration) = session.restoration() else { return };
    let last = restoration.last_failure;
    tracing::warn!(
        id = %session.open().id,
        server = %session.open().restored_server.as_deref().unwrap_or("-"),
        is_listed = listed_server(ctx, session).is_some(),
        reason = %failure,
        attempts = restoration.attempts,
        last_outcome = ?last.map(|attempt| attempt.outcome),
        last_line_sent = last.is_some_and(|attempt| attempt.line_sent),
        last_error = ?last.and_then(|attempt| attempt.error),
        after_ms = ctx.now.saturating_duration_since(restoration.started_at).as_millis_u64(),
        client_connection = %client,
        "session not restored"
    );
}

/// Logs the first failed attempt of a session for operators, and later ones at trace level.
fn log_retry(session: &Session, backoff: Duration) {
    let Some(restoration) = session.restoration() else { return };
    let Some(attempt) = restoration.last_failure else { return };
    let id = &session.open().id;
    let server = session.open().restored_server.as_deref().unwrap_or("-");
    let FailedAttempt { outcome, line_sent, error } = attempt;
    let (attempts, retry_after_ms) = (restoration.attempts, backoff.as_millis_u64());
    if attempts == 1 {
        tracing::info!(%id, %server, ?outcome, line_sent, ?error, retry_after_ms, "session not restored yet, retrying");
    } else {
        tracing::trace!(%id, %server, ?outcome, line_sent, ?error, retry_after_ms, attempts, "restore attempt ended");
    }
}

fn trace_start(ctx: &FrontendContext, client: Token, session: &Session) {
    tracing::trace!(
        request = session.request_number(),
        id = %session.open().id,
        server = %session.open().restored_server.as_deref().unwrap_or("-"),
        is_listed = listed_server(ctx, session).is_some(),
        deadline_ms = session.open().time_left.as_millis_u64(),
        client_connection = %client,
        "restoring session"
    );
}

/// Handles the acceptance of a session by its server.
pub(super) fn on_accepted(ctx: &mut FrontendContext, session: &mut Session, server: ServerId) {
    let Some(restoration) = session.restoration() else { return };
    tracing::trace!(
        request = session.request_number(),
        id = %session.open().id,
        attempts = restoration.attempts,
        after_ms = ctx.now.saturating_duration_since(restoration.started_at).as_millis_u64(),
        "session restored"
    );
    ctx.requests.on_restored(session.request_id(), arrival(session.open()), server);
    session.end_restoration();
}

//! The state that the checker tracks for a request.

use super::{
    Answer, RestoredSession, RetrySafety, Rule, SentRequest, DISCONNECT_GRACE, REORDERING_SLACK, SOCKET_SLACK,
};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Attempt {
    server: usize,
    started_at: Instant,
    has_ended: bool,
    /// The server has rejected the attempt, so it has not run.
    is_rejected: bool,
    /// The server does not answer the attempt.
    is_ignored: bool,
}

#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) client_gone_at: Option<Instant>,
    safety: RetrySafety,
    line: String,
    restored: Option<RestoredSession>,
    attempts: Vec<Attempt>,
}

impl RequestRecord {
    pub(super) fn new(request: &SentRequest<'_>) -> RequestRecord {
        RequestRecord {
            node: request.node,
            incarnation: request.incarnation,
            client_gone_at: None,
            safety: request.safety,
            line: request.line.to_string(),
            restored: request.restored,
            attempts: Vec::new(),
        }
    }

    pub(super) fn restored(&self) -> Option<RestoredSession> {
        self.restored
    }

    pub(super) fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.has_ended)
    }

    pub(super) fn add_attempt(&mut self, server: usize) {
        let started_at = Instant::now();
        let attempt = Attempt { server, started_at, has_ended: false, is_rejected: false, is_ignored: false };
        self.attempts.push(attempt);
    }

    pub(super) fn has_attempts(&self) -> bool {
        !self.attempts.is_empty()
    }

    pub(super) fn reject_attempt(&mut self, server: usize) {
        if let Some(attempt) = self.open_attempt(server) {
            attempt.is_rejected = true;
        }
    }

    pub(super) fn ignore_attempt(&mut self, server: usize) {
        if let Some(attempt) = self.open_attempt(server) {
            attempt.is_ignored = true;
        }
    }

    pub(super) fn end_attempt(&mut self, server: usize) {
        if let Some(attempt) = self.open_attempt(server) {
            attempt.has_ended = true;
        }
    }

    fn open_attempt(&mut self, server: usize) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rev().find(|attempt| attempt.server == server && !attempt.has_ended)
    }

    /// Returns a violation if a restored session is not up, although its node might have made another attempt: there were
    /// fewer than the most, the last one has ended, and none of them forbids another.
    pub(super) fn check_restored(&self, id: &str, answer: Answer) -> Option<(Rule, String)> {
        let session = self.restored.filter(|_| answer != Answer::Up)?;
        let attempts = &self.attempts;
        let may_have_run = attempts.iter().any(|attempt| !attempt.is_rejected);
        let is_unanswered = attempts.last().is_some_and(|attempt| attempt.is_ignored);
        let is_excused = attempts.len() >= session.max_attempts
            || is_unanswered
            || (may_have_run && self.safety != RetrySafety::Idempotent);
        let detail = || {
            format!(
                "session {id} at node {} is not restored at server {}, {answer:?} after {attempts:?}",
                self.node, session.server
            )
        };
        (!is_excused).then(|| (Rule::Lost, detail()))
    }

    /// Returns a violation if the line that a server received differs from the client's in more than the deadline.
    pub(super) fn check_line(&self, server: usize, line: &str) -> Option<(Rule, String)> {
        if let Some(session) = self.restored.filter(|session| session.server != server) {
            let detail =
                format!("server {server} received the session of server {}: {line:?}", session.server);
            return Some((Rule::Line, detail));
        }
        let is_unchanged = without_deadline(line) == without_deadline(&self.line);
        (!is_unchanged)
            .then(|| (Rule::Line, format!("server {server} received {line:?} for {:?}", self.line)))
    }

    /// Returns a violation if a new attempt begins now and the client disconnected longer ago than
    /// [`DISCONNECT_GRACE`] (plus allowances).
    pub(super) fn check_client(&self, id: &str, server: usize, lateness: Duration) -> Option<(Rule, String)> {
        let elapsed = self.client_gone_at?.elapsed();
        let is_late = elapsed > DISCONNECT_GRACE + SOCKET_SLACK + lateness;
        let detail =
            || format!("request {id} reached server {server} {elapsed:?} after its client disconnected");
        is_late.then(|| (Rule::ClientGone, detail()))
    }

    /// Returns a violation if a new attempt begins now and an earlier one is still open, or may have run and must not
    /// be retried any more.
    pub(super) fn check_retry(
        &self,
        id: &str,
        server: usize,
        lateness: Duration,
        dedup_window: Duration,
    ) -> Option<(Rule, String)> {
        let first_run = self.attempts.iter().find(|attempt| !attempt.is_rejected)?;
        let since = first_run.started_at.elapsed();
        let still_open = self
            .attempts
            .iter()
            .find(|attempt| !attempt.has_ended && attempt.started_at.elapsed() > REORDERING_SLACK + lateness);
        if let Some(other) = still_open.filter(|other| !other.is_rejected) {
            let other = other.server;
            let detail = format!("request {id} is at servers {other} and {server} at the same time");
            return Some((Rule::Duplicate, detail));
        }
        let detail = match self.safety {
            RetrySafety::Idempotent => return None,
            RetrySafety::Keyed if since <= dedup_window + SOCKET_SLACK + lateness => return None,
            RetrySafety::Keyed => {
                format!("request {id} retried {since:?} after an attempt that may have run")
            }
            RetrySafety::NonIdempotent => {
                format!(
                    "non-idempotent request {id} sent to server {server} after an attempt that may have run"
                )
            }
        };
        Some((Rule::Duplicate, detail))
    }
}

/// Returns a request line without the value of its deadline, which nodes change.
fn without_deadline(line: &str) -> String {
    const DEADLINE_KEY: &str = ",d=";
    let line = line.trim_end();
    let Some(key_at) = line.find(DEADLINE_KEY) else { return line.to_string() };
    let (before, value) = line.split_at(key_at + DEADLINE_KEY.len());
    let after = value.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}{after}")
}

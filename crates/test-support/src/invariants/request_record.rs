//! What is known of one request.

use super::{RetrySafety, Rule, SentRequest, DISCONNECT_GRACE, REORDERING_SLACK, SOCKET_SLACK};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Attempt {
    server: usize,
    started_at: Instant,
    has_ended: bool,
    /// The server has rejected it: it has not run.
    is_rejected: bool,
}

#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) client_gone_at: Option<Instant>,
    safety: RetrySafety,
    line: String,
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
            attempts: Vec::new(),
        }
    }

    /// How many attempts there were.
    pub(super) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    pub(super) fn has_open_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| !attempt.has_ended)
    }

    pub(super) fn add_attempt(&mut self, server: usize) {
        let started_at = Instant::now();
        self.attempts.push(Attempt { server, started_at, has_ended: false, is_rejected: false });
    }

    pub(super) fn reject_attempt(&mut self, server: usize) {
        if let Some(attempt) = self.open_attempt(server) {
            attempt.is_rejected = true;
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

    /// The rule that this line at a server breaks, if any.
    pub(super) fn check_line(&self, server: usize, line: &str) -> Option<(Rule, String)> {
        let is_unchanged = without_deadline(line) == without_deadline(&self.line);
        (!is_unchanged).then(|| (Rule::Line, format!("server {server} got {line:?} for {:?}", self.line)))
    }

    /// The rule that an attempt breaks now, if its client has gone.
    pub(super) fn check_client(&self, id: &str, server: usize, lateness: Duration) -> Option<(Rule, String)> {
        let elapsed = self.client_gone_at?.elapsed();
        let is_late = elapsed > DISCONNECT_GRACE + SOCKET_SLACK + lateness;
        let detail = || format!("{id} at server {server} {elapsed:?} after its client disconnected");
        is_late.then(|| (Rule::ClientGone, detail()))
    }

    /// The rule that one more attempt breaks now, if an earlier one may have run.
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
            let detail = format!("request {id} is at servers {other} and {server}");
            return Some((Rule::Duplicate, detail));
        }
        let detail = match self.safety {
            RetrySafety::Idempotent => return None,
            RetrySafety::Keyed if since <= dedup_window + SOCKET_SLACK + lateness => return None,
            RetrySafety::Keyed => format!("{id} retried {since:?} after an attempt that may have run"),
            RetrySafety::NonIdempotent => {
                format!("{id} sent again to server {server} after it may have run")
            }
        };
        Some((Rule::Duplicate, detail))
    }
}

/// A request line without the value of its deadline, which nodes change.
fn without_deadline(line: &str) -> String {
    const DEADLINE_KEY: &str = ",d=";
    let line = line.trim_end();
    let Some(key_at) = line.find(DEADLINE_KEY) else { return line.to_string() };
    let (before, value) = line.split_at(key_at + DEADLINE_KEY.len());
    let after = value.trim_start_matches(|c: char| c.is_ascii_digit());
    format!("{before}{after}")
}

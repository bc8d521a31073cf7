//! Retry safety: tracks the attempts of a request and decides which retries cannot run an effect twice.

use crate::model::{AttemptKind, DedupScope, Effect, Location, Outcome, RequestClass, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// Lower limit of the timeout of an attempt.
const MIN_TIMEOUT: Duration = Duration::from_nanos(1);

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// The server to which the attempt was sent.
    pub server: ServerId,
    /// The time at which the attempt was sent.
    pub sent_at: MonotonicTime,
}

/// The attempts of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    count: u32,
    last_sent_at: MonotonicTime,
    tried_servers: Vec<ServerId>,
    first_possible_run: Option<PossibleRun>,
}

impl AttemptHistory {
    /// The number of attempts sent so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Returns the kind of the next attempt, given the kind of the first one.
    pub fn next_kind(&self, first: AttemptKind) -> AttemptKind {
        if self.count > 0 {
            AttemptKind::Retry
        } else {
            first
        }
    }

    /// The time at which the last attempt was sent.
    pub fn last_sent_at(&self) -> MonotonicTime {
        self.last_sent_at
    }

    /// Whether an attempt has been sent to this server.
    pub fn has_tried(&self, server: ServerId) -> bool {
        self.tried_servers.contains(&server)
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<PossibleRun> {
        self.first_possible_run
    }

    /// Records a connection that was established before this process started. It counts as one attempt, of which no
    /// details are known.
    pub fn on_resumed(&mut self) {
        self.count = 1;
    }

    /// Records that an attempt is sent.
    pub fn on_sent(&mut self, server: ServerId, now: MonotonicTime) {
        self.count += 1;
        self.last_sent_at = now;
        self.tried_servers.push(server);
    }

    /// Records that the last attempt has ended.
    pub fn on_ended(&mut self, server: ServerId, outcome: Outcome) {
        if outcome == Outcome::LocalShortage {
            return self.undo_sent(server);
        }
        if !outcome.never_ran() && self.first_possible_run.is_none() {
            self.first_possible_run = Some(PossibleRun { server, sent_at: self.last_sent_at });
        }
    }

    /// Removes the last attempt from the history: it never left this machine, which is not the fault of the server.
    fn undo_sent(&mut self, server: ServerId) {
        self.count = self.count.saturating_sub(1);
        self.tried_servers.pop_if(|tried| *tried == server);
    }

    /// Returns the timeout of the next attempt: an even share of the time until the request's deadline. At least one of
    /// the `max_attempts` must be left.
    pub fn next_timeout(&self, time_left: Duration, max_attempts: u32) -> Duration {
        let attempts_left = max_attempts - self.count;
        (time_left / attempts_left).max(MIN_TIMEOUT)
    }

    /// Whether one more attempt cannot run an effect twice, at a server that [`deduplicates`] allows. `dial_timeout` is
    /// the longest time until the attempt's connection is established and the request sent.
    pub fn may_retry(&self, class: &RequestClass, now: MonotonicTime, dial_timeout: Duration) -> bool {
        match (class.effect, self.first_possible_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            // The request is sent when its connection is established, which must be within the deduplication window.
            (Effect::IdempotencyKey, Some(run)) => {
                now.saturating_duration_since(run.sent_at).saturating_add(dial_timeout) < class.dedup_window
            }
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }

    /// Returns the time from which servers no longer discard a retry of the first attempt that may have run; `None` if
    /// there is no such attempt or no idempotency key.
    pub fn dedup_window_end(&self, class: &RequestClass) -> Option<MonotonicTime> {
        let run = self.first_possible_run.filter(|_| class.effect == Effect::IdempotencyKey)?;
        Some(run.sent_at + class.dedup_window)
    }

    /// Whether a retry by the client, which may go to any server, cannot run an effect twice.
    pub fn may_reject(&self, class: &RequestClass) -> bool {
        match (class.effect, self.first_possible_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            (Effect::IdempotencyKey, Some(_)) => class.dedup_scope == DedupScope::All,
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }
}

/// Whether a server at `location` discards a retry of an attempt that may have run at `first`. Always true for requests
/// without an idempotency key: [`AttemptHistory::may_retry`] decides on these.
pub fn deduplicates(class: &RequestClass, first: Location, location: Location) -> bool {
    match (class.effect, class.dedup_scope) {
        (Effect::IdempotencyKey, DedupScope::Zone) => first.zone == location.zone,
        (Effect::IdempotencyKey, DedupScope::Cell) => first == location,
        _ => true,
    }
}

#[cfg(test)]
mod tests;

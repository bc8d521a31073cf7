//! Retry safety: the attempts of a request so far, and which retries cannot run an effect twice.

use crate::model::{AttemptKind, DedupScope, Effect, Location, Outcome, RequestClass, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The shortest time that an attempt is given.
const MIN_TIMEOUT: Duration = Duration::from_nanos(1);

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PossibleRun {
    /// Where it was sent.
    pub server: ServerId,
    /// When it was sent.
    pub sent_at: MonotonicTime,
}

/// The attempts of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    count: u32,
    last_sent_at: MonotonicTime,
    tried: Vec<ServerId>,
    first_possible_run: Option<PossibleRun>,
}

impl AttemptHistory {
    /// The number of attempts sent.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// The kind of the next attempt, given that of the request's first one.
    pub fn next_kind(&self, first: AttemptKind) -> AttemptKind {
        if self.count > 0 {
            AttemptKind::Retry
        } else {
            first
        }
    }

    /// When the last attempt was sent.
    pub fn last_sent_at(&self) -> MonotonicTime {
        self.last_sent_at
    }

    /// Whether an attempt was sent to this server.
    pub fn has_tried(&self, server: ServerId) -> bool {
        self.tried.contains(&server)
    }

    /// The first attempt that may have run.
    pub fn first_possible_run(&self) -> Option<PossibleRun> {
        self.first_possible_run
    }

    /// The request's connection was established before this process started: its one attempt is not known here.
    pub fn on_resumed(&mut self) {
        self.count = 1;
    }

    /// An attempt is sent.
    pub fn on_sent(&mut self, server: ServerId, now: MonotonicTime) {
        self.count += 1;
        self.last_sent_at = now;
        self.tried.push(server);
    }

    /// The last attempt has ended.
    pub fn on_ended(&mut self, server: ServerId, outcome: Outcome) {
        if outcome == Outcome::LocalShortage {
            return self.withdraw(server);
        }
        if !outcome.never_ran() && self.first_possible_run.is_none() {
            self.first_possible_run = Some(PossibleRun { server, sent_at: self.last_sent_at });
        }
    }

    /// The last attempt never left this machine, for a reason that is not the server's: it does not count.
    fn withdraw(&mut self, server: ServerId) {
        self.count = self.count.saturating_sub(1);
        self.tried.pop_if(|tried| *tried == server);
    }

    /// The time for the next attempt: an even share of the time until the request's deadline. At least one of the
    /// `max_attempts` is left.
    pub fn next_timeout(&self, time_left: Duration, max_attempts: u32) -> Duration {
        let attempts_left = max_attempts - self.count;
        (time_left / attempts_left).max(MIN_TIMEOUT)
    }

    /// Whether one more attempt can do no harm, at a server that [`deduplicates`] allows. `dial_timeout` is the
    /// longest time until the attempt's connection is established and the request sent.
    pub fn may_retry(&self, class: &RequestClass, now: MonotonicTime, dial_timeout: Duration) -> bool {
        match (class.effect, self.first_possible_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            // The request is sent once its connection is established, which still has to be inside the window.
            (Effect::IdempotencyKey, Some(run)) => {
                now.saturating_duration_since(run.sent_at).saturating_add(dial_timeout) < class.dedup_window
            }
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }

    /// When servers no longer discard a retry of what may have run; none where nothing is discarded.
    pub fn dedup_window_end(&self, class: &RequestClass) -> Option<MonotonicTime> {
        let run = self.first_possible_run.filter(|_| class.effect == Effect::IdempotencyKey)?;
        Some(run.sent_at + class.dedup_window)
    }

    /// Whether a retry by the client, which may go to any server, can do no harm.
    pub fn may_reject(&self, class: &RequestClass) -> bool {
        match (class.effect, self.first_possible_run) {
            (Effect::ReadLike, _) | (_, None) => true,
            (Effect::IdempotencyKey, Some(_)) => class.dedup_scope == DedupScope::All,
            (Effect::NonIdempotent, Some(_)) => false,
        }
    }
}

/// Whether a server at `location` discards a retry of what may have run at `first`. True for requests without an
/// idempotency key, which [`AttemptHistory::may_retry`] decides.
pub fn deduplicates(class: &RequestClass, first: Location, location: Location) -> bool {
    match (class.effect, class.dedup_scope) {
        (Effect::IdempotencyKey, DedupScope::Zone) => first.zone == location.zone,
        (Effect::IdempotencyKey, DedupScope::Cell) => first == location,
        _ => true,
    }
}

#[cfg(test)]
mod tests;

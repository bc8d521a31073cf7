//! The attempts to restore sessions from before this process started. Such a session returns to its previous server, so
//! no server is selected for it and the balancer learns of it once the server has accepted it. Whether and when a failed
//! attempt is followed by another one is decided here, by the rules for all attempts.

use super::transition::AttemptTimeouts;
use crate::model::{Effect, Outcome, RequestClass, RequestId, ServerId, Settings};
use crate::random::{mix64, uniform_duration_up_to, Rng};
use crate::resilience::{full_jitter_limit, AttemptHistory};
use crate::rules::{self, RetryInputs, RetryRefusal};
use sparbank_time::MonotonicTime;
use std::collections::HashMap;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The backoff base after an attempt that was not sent: the server may accept the next connection.
const UNSENT_BACKOFF_BASE: Duration = Duration::from_millis(20);
/// The backoff cap after an attempt that was not sent.
const UNSENT_BACKOFF_CAP: Duration = Duration::from_secs(1);
/// The upper limit of the time for establishing a connection. It is longer than for requests, since there is no other
/// server.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// The time for the last attempt, after one that the server has not answered.
const LAST_ATTEMPT_TIME: Duration = Duration::from_secs(5);
/// Limits the shift of the share of the time left, which is well under the duration of an attempt then.
const MAX_SHARE_EXPONENT: u32 = 16;

/// The attempts of all sessions that are being restored.
pub struct Restorations {
    by_id: HashMap<RequestId, RestoreAttempts>,
    rng: Rng,
    settings: Settings,
}

/// The attempts to restore one session.
#[derive(Default)]
struct RestoreAttempts {
    /// Attempts started, whether or not the request line was sent.
    started: u32,
    /// Whether the request line of the latest attempt has been sent.
    is_sent: bool,
    /// The attempts whose request line was sent.
    sent: AttemptHistory,
}

/// What a decision rests on, beside the settings and the earlier attempts.
#[derive(Clone, Copy)]
pub struct RestoreInputs {
    pub now: MonotonicTime,
    /// When the client stops waiting for an answer.
    pub deadline: MonotonicTime,
    /// The class of the session, an index into the classes of the settings.
    pub class: usize,
}

/// The inputs of a decision, with the settings.
#[derive(Clone, Copy)]
struct Situation<'a> {
    now: MonotonicTime,
    deadline: MonotonicTime,
    class: &'a RequestClass,
    settings: &'a Settings,
}

impl<'a> Situation<'a> {
    fn new(inputs: RestoreInputs, settings: &'a Settings) -> Situation<'a> {
        let RestoreInputs { now, deadline, class } = inputs;
        Situation { now, deadline, class: class_of(settings, class), settings }
    }
}

fn class_of(settings: &Settings, class: usize) -> &RequestClass {
    &settings.classes[class.min(settings.classes.len() - 1)]
}

impl Restorations {
    /// Creates an empty table. The seed determines the random part of the backoffs.
    pub fn new(seed: u64, settings: Settings) -> Restorations {
        Restorations { by_id: HashMap::new(), rng: Rng::from_seed(mix64(!seed)), settings }
    }

    /// Applies updated settings, which must have the same classes at the same indexes.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Adds a session without an attempt.
    pub fn insert(&mut self, id: RequestId) {
        self.by_id.insert(id, RestoreAttempts::default());
    }

    /// Removes a session that has been restored or has its final answer.
    pub fn remove(&mut self, id: RequestId) {
        self.by_id.remove(&id);
    }

    /// Starts an attempt.
    ///
    /// # Errors
    /// Why the session gets no further attempt.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        inputs: RestoreInputs,
    ) -> Result<AttemptTimeouts, RetryRefusal> {
        let situation = Situation::new(inputs, &self.settings);
        let attempts = self.by_id.entry(id).or_default();
        attempts.may_attempt(situation)?;
        attempts.is_sent = false;
        attempts.started += 1;
        let dial_timeout = self.settings.dial_timeout;
        let connect = full_jitter_limit(dial_timeout, MAX_CONNECT_TIMEOUT, attempts.started - 1);
        let answer = attempts.answer_by(situation).saturating_duration_since(inputs.now);
        Ok(AttemptTimeouts { connect: connect.max(dial_timeout), answer })
    }

    /// The time before which the request line of the attempt must be written to the server.
    pub fn send_by(&self, id: RequestId, inputs: RestoreInputs) -> MonotonicTime {
        let class = class_of(&self.settings, inputs.class);
        let attempts = self.by_id.get(&id);
        let window_end = attempts.and_then(|attempts| attempts.sent.dedup_window_end(class));
        rules::send_by(inputs.deadline, window_end)
    }

    /// Records that the request line is sent to the server.
    pub fn on_sent(&mut self, now: MonotonicTime, id: RequestId, server: ServerId) {
        if let Some(attempts) = self.by_id.get_mut(&id) {
            attempts.is_sent = true;
            attempts.sent.on_sent(server, now);
        }
    }

    /// Records the end of an attempt, and returns the backoff before the next one. `server` is `None` if the endpoint
    /// list does not contain the session's server.
    ///
    /// # Errors
    /// Why the session gets no further attempt.
    pub fn on_attempt_ended(
        &mut self,
        id: RequestId,
        server: Option<ServerId>,
        outcome: Outcome,
        inputs: RestoreInputs,
    ) -> Result<Duration, RetryRefusal> {
        let random = self.rng.next_u64();
        let situation = Situation::new(inputs, &self.settings);
        let attempts = self.by_id.entry(id).or_default();
        if let Some(server) = server.filter(|_| attempts.is_sent) {
            attempts.sent.on_ended(server, outcome);
        }
        attempts.may_attempt(situation)?;
        Ok(uniform_duration_up_to(random, attempts.backoff_limit(situation)))
    }

    /// Whether the client may send its request again without a risk of running it twice.
    pub fn may_reject(&self, id: RequestId, class: usize) -> bool {
        let class = class_of(&self.settings, class);
        self.by_id.get(&id).is_none_or(|attempts| attempts.sent.may_reject(class))
    }
}

impl RestoreAttempts {
    fn may_attempt(&self, situation: Situation<'_>) -> Result<(), RetryRefusal> {
        let Situation { now, deadline, class, settings } = situation;
        let attempts = &self.sent;
        rules::may_retry(&RetryInputs { now, deadline, attempts, class, misses_deadline: false }, settings)
    }

    /// When an attempt without an answer ends. The server may answer late, so that there is time for one more attempt
    /// at the end only.
    fn answer_by(&self, situation: Situation<'_>) -> MonotonicTime {
        let Situation { now, deadline, class, settings } = situation;
        let may_be_repeated =
            class.effect == Effect::ReadLike && self.sent.count() + 1 < settings.max_attempts;
        let last_attempt_at = deadline - LAST_ATTEMPT_TIME;
        if may_be_repeated && now < last_attempt_at {
            last_attempt_at
        } else {
            deadline
        }
    }

    /// The upper limit of the backoff. Attempts that were sent are few, so they are spread over the time that is left.
    fn backoff_limit(&self, situation: Situation<'_>) -> Duration {
        let Situation { now, deadline, class, settings } = situation;
        if !self.is_sent {
            return full_jitter_limit(
                UNSENT_BACKOFF_BASE,
                UNSENT_BACKOFF_CAP,
                self.started.saturating_sub(1),
            );
        }
        let window_end = self.sent.dedup_window_end(class);
        let latest = window_end.map_or(deadline, |end| deadline.min(end - settings.dial_timeout));
        let attempts_left = settings.max_attempts.saturating_sub(self.sent.count());
        latest.saturating_duration_since(now) / (2 << attempts_left.min(MAX_SHARE_EXPONENT))
    }
}

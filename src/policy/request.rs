//! The state of one request.

use crate::model::{Arrival, AttemptKind, RequestId};
use crate::random::mix64;
use crate::resilience::{Admission, AttemptHistory};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// All requests of this node that are not over, in the order of their ids.
pub(super) type Requests = BTreeMap<RequestId, Request>;

/// What a request waits for or has.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Phase {
    /// Waits for its backoff timer.
    #[default]
    BackingOff,
    /// Has an attempt in flight.
    Attempting,
    /// Has an established connection.
    Established,
}

#[derive(Default)]
pub(super) struct Request {
    pub class: usize,
    pub deadline: MonotonicTime,
    pub phase: Phase,
    pub attempts: AttemptHistory,
    /// Backoffs begun, after attempts that failed and selections that found no server.
    pub backoffs: u32,
    /// Seed of its candidates; drawn from its group or key, so that it is the same at every node.
    pub candidate_seed: u64,
    /// Its own random number, which decides whether a server in slow start may take it.
    pub slow_start_roll: u64,
    pub group: Option<u64>,
    pub rerouted: bool,
    /// The kind of its first attempt.
    pub first_attempt: AttemptKind,
    /// The last decision on its admission.
    pub admission: Admission,
    /// Load in work per second; zero if unknown.
    pub cost: Duration,
    /// The client is gone or was migrated; the request stays until its attempt or connection has ended.
    pub is_over: bool,
}

impl Request {
    /// `roll` is a uniform random number of this node.
    pub fn new(arrival: &Arrival, class: usize, now: MonotonicTime, phase: Phase, roll: u64) -> Request {
        Request {
            class,
            deadline: now + arrival.time_left,
            phase,
            candidate_seed: arrival.affinity_key().map_or(roll, mix64),
            slow_start_roll: roll,
            group: arrival.group,
            rerouted: arrival.rerouted,
            first_attempt: arrival.first_attempt_kind(),
            cost: arrival.cost.unwrap_or_default(),
            ..Request::default()
        }
    }
}

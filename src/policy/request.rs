//! The balancer's state of a request.

use crate::model::{Arrival, AttemptKind, RequestId};
use crate::random::mix64;
use crate::resilience::{Admission, AttemptHistory};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// The open requests of this node, ordered by id.
pub(super) type Requests = BTreeMap<RequestId, Request>;

/// The phase of an open request.
#[derive(Clone, Copy, Default, PartialEq)]
pub(super) enum Phase {
    /// Waiting for the backoff timer.
    #[default]
    BackingOff,
    /// An attempt is in flight.
    Attempting,
    /// The connection is established.
    Established,
}

#[derive(Default)]
pub(super) struct Request {
    pub class: usize,
    pub deadline: MonotonicTime,
    pub phase: Phase,
    pub attempts: AttemptHistory,
    /// Number of backoffs started, after failed attempts and after selections that found no server.
    pub backoffs: u32,
    /// Seed of the candidate ranks; derived from the group or key, if any, so that all nodes rank alike.
    pub candidate_seed: u64,
    /// Random number that decides whether a server in slow start admits the request.
    pub slow_start_random: u64,
    pub group: Option<u64>,
    pub rerouted: bool,
    pub first_attempt_kind: AttemptKind,
    /// The most recent admission decision.
    pub admission: Admission,
    /// Load, as work time per second; zero if unknown.
    pub cost: Duration,
    /// The client disconnected or is migrated: the request is removed when its attempt or connection ends.
    pub is_closing: bool,
}

impl Request {
    /// `random` is a uniform random number drawn by this node.
    pub fn new(arrival: &Arrival, class: usize, now: MonotonicTime, phase: Phase, random: u64) -> Request {
        Request {
            class,
            deadline: now + arrival.time_left,
            phase,
            candidate_seed: arrival.affinity_key().map_or(random, mix64),
            slow_start_random: random,
            group: arrival.group,
            rerouted: arrival.rerouted,
            first_attempt_kind: arrival.first_attempt_kind(),
            cost: arrival.cost.unwrap_or_default(),
            ..Request::default()
        }
    }
}

//! The settings of the balancer, which the platform provides at start-up.

use std::time::Duration;

/// Whether a request may be repeated once an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating the request is harmless.
    ReadLike,
    /// The servers of one [`DedupScope`] discard retries for the duration of a deduplication window.
    IdempotencyKey,
    /// The request must not run twice.
    NonIdempotent,
}

/// The servers that discard each other's retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All servers, in every zone.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// How the endpoint list is discovered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed; no subscription is needed.
    #[default]
    Pushed,
    /// An agent on this machine receives pushed changes and answers polls immediately and at negligible cost.
    LocalAgent,
    /// One service for all nodes answers their polls, one at a time.
    Polled,
}

/// The unit to which the priority weight of a request class applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// The weight applies to a request, whatever its load.
    #[default]
    Request,
    /// The weight applies to a unit of work.
    Work,
}

/// The time limits, the retry rules and the priority of the requests of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The full priority weight counts for a connection that is established within this time.
    pub objective: Duration,
    /// How long a client waits in total, over all attempts.
    pub hard_limit: Duration,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// For [`Effect::IdempotencyKey`]: the servers that discard retries.
    pub dedup_scope: DedupScope,
    /// For [`Effect::IdempotencyKey`]: how long servers discard retries after the first attempt that may have run.
    pub dedup_window: Duration,
    /// Priority weight of a request, or of a second of its connection.
    pub priority_weight: f64,
    /// Latency objective of messages on an established connection, if there is one.
    pub message_latency_objective: Option<Duration>,
}

/// The settings of a balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The number of nodes of the fleet, at least one.
    pub instances: u32,
    /// The zone of this node.
    pub zone: u32,
    /// The request classes, at least one. Requests refer to a class by its index.
    pub classes: Vec<RequestClass>,
    /// How the endpoint list is discovered.
    pub discovery: Discovery,
    /// The unit to which the priority weights apply.
    pub weight_basis: WeightBasis,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that clients honour; zero if clients get none.
    pub max_retry_after: Duration,
    /// For [`Discovery::Polled`]: a node that has not polled for this long counts as notified of a change.
    pub poll_within: Duration,
    /// The timeout for establishing a connection; a request is sent within this time of the start of its attempt.
    pub dial_timeout: Duration,
    /// The fraction of its capacity that a server has at its start.
    pub slow_start_floor: f64,
    /// How long a server is warming up after its start.
    pub slow_start_duration: Duration,
    /// A server that is warming up is overloaded by a load above this multiple of its current capacity.
    pub overload_multiple: f64,
    /// A server fails if it is overloaded for this long.
    pub overload_after: Duration,
    /// The connections that all nodes together may have within the tenants' quotas; zero if unknown.
    pub quota_connections: f64,
    /// The connection set-ups per second that all nodes together may make within the quotas; zero if unknown.
    pub quota_setups_per_second: f64,
    /// Whether servers support health checks whose reports contain the utilization.
    pub health_checks: bool,
}

/// A setting that is out of range; see [`Settings::validate`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field}: {problem}")]
pub struct SettingsError {
    /// The name of the setting.
    pub field: &'static str,
    /// The reason why the setting is invalid.
    pub problem: &'static str,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let is_fraction = |x: f64| x.is_finite() && (0.0..=1.0).contains(&x);
        let is_positive = |x: f64| x.is_finite() && x > 0.0;
        let require = |valid: bool, field, problem| match valid {
            true => Ok(()),
            false => Err(SettingsError { field, problem }),
        };
        let has_hard_limits = self.classes.iter().all(|class| !class.hard_limit.is_zero());
        require(!self.classes.is_empty(), "classes", "must contain at least one request class")?;
        require(has_hard_limits, "hard_limit", "must be greater than zero")?;
        require(self.max_attempts > 0, "max_attempts", "must be at least one")?;
        require(self.instances > 0, "instances", "must be at least one")?;
        require(is_fraction(self.slow_start_floor), "cold_from", "must be between zero and one")?;
        require(is_positive(self.overload_multiple), "fall_multiple", "must be greater than zero")
    }
}

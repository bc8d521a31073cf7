//! Settings of the balancer, as the platform provides them at start-up.

use std::time::Duration;

/// Whether a request may be repeated once an earlier attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating is harmless.
    ReadLike,
    /// Retries are discarded by the servers of one [`DedupScope`] while they remember the first.
    IdempotencyKey,
    /// Must not run twice.
    NonIdempotent,
}

/// The servers that discard each other's retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// How the endpoint list is discovered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed without a subscription.
    #[default]
    Pushed,
    /// An agent on this machine receives pushed changes and answers polls at once and at no cost.
    LocalAgent,
    /// One service for all nodes, which answers their polls one at a time.
    Polled,
}

/// What the priority weight of a request class counts by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightBasis {
    /// A request has the weight, whatever load it brings.
    #[default]
    Request,
    /// A unit of work has the weight.
    Work,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// A connection established within this time earns the full priority weight.
    pub objective: Duration,
    /// How long a client waits, over all attempts.
    pub hard_limit: Duration,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// With an idempotency key: the servers that discard retries.
    pub dedup_scope: DedupScope,
    /// With an idempotency key: how long after the first attempt that may have run retries are discarded.
    pub dedup_window: Duration,
    /// Priority weight of a request, or of a second of its connection.
    pub priority_weight: f64,
    /// Latency objective of messages on an established connection.
    pub message_latency_objective: Option<Duration>,
}

/// What an instance is configured with at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Number of nodes.
    pub instances: u32,
    /// The zone of this node.
    pub zone: u32,
    /// The request classes.
    pub classes: Vec<RequestClass>,
    /// How the endpoint list is discovered.
    pub discovery: Discovery,
    /// What the priority weight counts by.
    pub weight_basis: WeightBasis,
    /// Attempts allowed for one request.
    pub max_attempts: u32,
    /// An attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that clients honour; zero where none is passed on.
    pub max_retry_after: Duration,
    /// Where discovery is polled: a node that has not polled for this long counts as notified.
    pub poll_within: Duration,
    /// A connection that is not established after this time has failed: a request is sent no later than this.
    pub dial_timeout: Duration,
    /// Fraction of its capacity that a server has when it starts.
    pub slow_start_floor: f64,
    /// How long a server is warming up.
    pub slow_start_duration: Duration,
    /// A server that is warming up is overloaded by more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// An overload that lasts this long makes the server fail.
    pub overload_after: Duration,
    /// Connections that all nodes together may have within the tenants' quotas; zero if unknown.
    pub quota_connections: f64,
    /// New connections per second that all nodes together may get within the quotas; zero if unknown.
    pub quota_setups_per_second: f64,
    /// Servers may be health-checked, and their reports contain the utilization.
    pub health_checks: bool,
}

/// A setting that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("setting {field}: {problem}")]
pub struct SettingsError {
    /// The name of the setting.
    pub field: &'static str,
    /// What is wrong.
    pub problem: &'static str,
}

impl Settings {
    /// Checks the settings.
    ///
    /// # Errors
    /// The first setting that is out of its range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let is_fraction = |x: f64| x.is_finite() && (0.0..=1.0).contains(&x);
        let is_positive = |x: f64| x.is_finite() && x > 0.0;
        let require = |valid: bool, field, problem| match valid {
            true => Ok(()),
            false => Err(SettingsError { field, problem }),
        };
        let has_time = self.classes.iter().all(|class| !class.hard_limit.is_zero());
        require(!self.classes.is_empty(), "classes", "there must be a request class")?;
        require(has_time, "hard_limit", "must be above zero")?;
        require(self.max_attempts > 0, "max_attempts", "must be at least one")?;
        require(self.instances > 0, "instances", "must be at least one")?;
        require(is_fraction(self.slow_start_floor), "cold_from", "must be a fraction")?;
        require(is_positive(self.overload_multiple), "fall_multiple", "must be above zero")
    }
}

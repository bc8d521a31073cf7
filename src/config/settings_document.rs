//! The schema of the settings document that the platform writes.
//!
//! A node reads the document from its configuration file; a simulated node receives it in its first event. The
//! platform defines the names of the fields. Where they are not the usual technical terms, the Rust name is the usual
//! term, and a `rename` attribute has the platform's name. [`settings`](super::settings) converts the document to the
//! types that the program uses.

use serde::{Deserialize, Deserializer};

/// The settings document. Fields that the program does not use are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    /// The number of nodes.
    #[serde(default = "one_instance")]
    pub instances: u32,
    /// The zone of the node.
    #[serde(default)]
    pub zone: u32,
    /// The names of the zones, indexed by the number of the zone in the document.
    #[serde(default, rename = "Zones")]
    pub zone_names: Vec<String>,
    #[serde(rename = "Profiles")]
    pub classes: Vec<ClassDocument>,
    /// How the endpoint list is discovered.
    #[serde(default)]
    pub discovery: String,
    /// The unit to which a priority weight applies: a request, or a unit of work.
    #[serde(default, rename = "WorthBy")]
    pub weight_by: String,
    pub limits: LimitsDocument,
    pub rules: RulesDocument,
    #[serde(default)]
    pub family_info: FamilyDocument,
    #[serde(default, rename = "Parties")]
    pub tenants: Vec<TenantDocument>,
    #[serde(default)]
    pub feedback: FeedbackDocument,
}

/// The time limits, the retry rules and the priority of the requests of one class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// The name on the wire. The simulator refers to classes by their index and may omit the name.
    #[serde(default, deserialize_with = "present")]
    pub name: Option<String>,
    pub objective_ns: u64,
    pub hard_limit_ns: u64,
    pub effect: EffectDocument,
    #[serde(default)]
    pub dedup_scope: DedupScopeDocument,
    #[serde(default, rename = "WindowNs")]
    pub dedup_window_ns: u64,
    #[serde(default = "one", rename = "Worth")]
    pub priority_weight: f64,
}

/// Whether a request may be retried once an earlier attempt may have run.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectDocument {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// The servers that discard each other's retries of a request with an idempotency key.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScopeDocument {
    #[default]
    All,
    Zone,
    Cell,
}

/// Limits on what a node may do.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LimitsDocument {
    pub max_attempts: u32,
    #[serde(default)]
    pub may_cancel: bool,
    /// Whether clients honour a Retry-After.
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ns: u64,
    #[serde(default, deserialize_with = "present")]
    pub dial_timeout_ns: Option<u64>,
    /// Whether servers may be health-checked.
    #[serde(default, rename = "Probes")]
    pub health_checks: bool,
}

/// How the servers and the discovery service of the site behave.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RulesDocument {
    #[serde(default = "unlimited", rename = "AskWithinNs")]
    pub poll_within_ns: u64,
    #[serde(default = "one", rename = "ColdFrom")]
    pub slow_start_floor: f64,
    #[serde(default, rename = "ColdNs")]
    pub slow_start_ns: u64,
    #[serde(default = "one", rename = "FallMultiple")]
    pub overload_multiple: f64,
    #[serde(default, rename = "TipAfterNs")]
    pub overload_after_ns: u64,
}

/// Settings that only one family of sites has.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FamilyDocument {
    /// The latency objective of messages on established connections, by the index of the class.
    #[serde(rename = "MessageAimNs")]
    pub message_latency_objective_ns: Vec<u64>,
    /// The connections that the quota of each tenant allows.
    pub tenant_quota_connections: Vec<f64>,
    /// Whether to report the latency of messages on established connections to the balancer.
    #[serde(rename = "TellsDelay")]
    pub reports_message_latency: bool,
}

/// A tenant's share of the fleet.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct TenantDocument {
    /// New connections per second, rounded to an integer.
    pub quota_per_s: f64,
    /// The fraction of the fleet's rate from which `quota_per_s` was rounded; zero if it is not known.
    pub share: f64,
}

/// The fields of the servers' load reports.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FeedbackDocument {
    pub fields: Vec<String>,
}

fn one() -> f64 {
    1.0
}

fn one_instance() -> u32 {
    1
}

/// Half of the largest number, so that adding it to a clock reading does not overflow.
fn unlimited() -> u64 {
    u64::MAX / 2
}

/// Decodes a field that may be absent but not null.
fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

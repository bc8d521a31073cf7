//! The schema of the settings document, as the platform writes it.
//!
//! A node finds the document in its configuration file, and a simulated node in its first event. Field names on the
//! wire are the platform's: where they differ from the terms of the field, the Rust name is the term, and a `rename`
//! gives the name on the wire. [`settings`](super::settings) maps the document to what the program uses.

use serde::{Deserialize, Deserializer};

/// The fields of the document that this program reads. Others are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    /// Number of nodes.
    #[serde(default = "one_instance")]
    pub instances: u32,
    /// The zone of the node.
    #[serde(default)]
    pub zone: u32,
    /// The zones' names, by the number that the document uses for a zone.
    #[serde(default, rename = "Zones")]
    pub zone_names: Vec<String>,
    #[serde(rename = "Profiles")]
    pub classes: Vec<ClassDocument>,
    /// How the endpoint list is discovered.
    #[serde(default)]
    pub discovery: String,
    /// What the priority weight counts by.
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

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassDocument {
    /// Its name on the wire. The simulator refers to classes by their index and need not state it.
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

/// Whether a request may be repeated.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectDocument {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

/// The servers that discard each other's repeats.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DedupScopeDocument {
    #[default]
    All,
    Zone,
    Cell,
}

/// What a node may do.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct LimitsDocument {
    pub max_attempts: u32,
    #[serde(default)]
    pub may_cancel: bool,
    /// Clients honour a Retry-After.
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ns: u64,
    #[serde(default, deserialize_with = "present")]
    pub dial_timeout_ns: Option<u64>,
    /// Servers may be health-checked.
    #[serde(default, rename = "Probes")]
    pub health_checks: bool,
}

/// How the site's servers and discovery behave.
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

/// What applies to one family of sites alone.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct FamilyDocument {
    /// By the index of the class.
    #[serde(rename = "MessageAimNs")]
    pub message_latency_objective_ns: Vec<u64>,
    /// By tenant.
    pub tenant_quota_connections: Vec<f64>,
    /// The balancer is to get reports of the latency of messages on open connections.
    #[serde(rename = "TellsDelay")]
    pub reports_message_latency: bool,
}

/// A tenant's share of the fleet.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct TenantDocument {
    /// New connections a second, rounded to an integer.
    pub quota_per_s: f64,
    /// The fraction of the fleet's rate that `quota_per_s` was rounded from; zero where it is not stated.
    pub share: f64,
}

/// The fields that a load report of a server carries.
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

/// Half of the largest number: sums with the clock do not overflow.
fn unlimited() -> u64 {
    u64::MAX / 2
}

/// Decodes a field that may be absent, but not null.
fn present<'de, D: Deserializer<'de>, T: Deserialize<'de>>(deserializer: D) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

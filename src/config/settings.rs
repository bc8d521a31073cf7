//! The settings document as the platform writes it, decoded into the balancer's [`Settings`].
//!
//! Field names on the wire are the platform's. Where they differ from the terms of the field, the Rust name is the
//! term and a `rename` gives the name on the wire. `expecting` keeps the text of decoding errors as earlier versions
//! print it.

use crate::json::{self, JsonError};
use crate::model::{DedupScope, Discovery, Effect, RequestClass, Settings};
use serde::Deserialize;
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The settings object. Fields that the balancer does not use are skipped.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct InSettings")]
pub struct SettingsDocument {
    #[serde(default = "one_instance")]
    instances: u32,
    #[serde(default)]
    zone: u32,
    profiles: Vec<ClassDocument>,
    #[serde(default)]
    discovery: String,
    #[serde(default, rename = "WorthBy")]
    weight_by: String,
    limits: LimitsDocument,
    rules: RulesDocument,
    #[serde(default)]
    family_info: FamilyDocument,
    #[serde(default, rename = "Parties")]
    tenants: Vec<TenantDocument>,
    #[serde(default)]
    feedback: FeedbackDocument,
}

/// The fields that a load report of a server carries.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
#[serde(expecting = "struct InFeedback")]
struct FeedbackDocument {
    fields: Vec<String>,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct InProfile")]
struct ClassDocument {
    objective_ns: u64,
    hard_limit_ns: u64,
    effect: EffectName,
    #[serde(default)]
    dedup_scope: ScopeName,
    #[serde(default)]
    window_ns: u64,
    #[serde(default = "one", rename = "Worth")]
    priority_weight: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectName {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Clone, Copy, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum ScopeName {
    #[default]
    All,
    Zone,
    Cell,
}

/// What a node may do.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct InLimits")]
struct LimitsDocument {
    max_attempts: u32,
    #[serde(default)]
    may_cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ns: u64,
    #[serde(default)]
    dial_timeout_ns: u64,
    #[serde(default)]
    probes: bool,
}

/// How the site's servers and discovery behave.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct InRules")]
struct RulesDocument {
    #[serde(default = "unlimited", rename = "AskWithinNs")]
    poll_within_ns: u64,
    #[serde(default = "one", rename = "ColdFrom")]
    slow_start_floor: f64,
    #[serde(default, rename = "ColdNs")]
    slow_start_ns: u64,
    #[serde(default = "one", rename = "FallMultiple")]
    overload_multiple: f64,
    #[serde(default, rename = "TipAfterNs")]
    overload_after_ns: u64,
}

/// What applies to one family of sites alone.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
#[serde(expecting = "struct InFamily")]
struct FamilyDocument {
    /// By the index of the class.
    #[serde(rename = "MessageAimNs")]
    message_latency_objective_ns: Vec<u64>,
    /// By tenant.
    tenant_quota_connections: Vec<f64>,
}

/// A tenant's share of the fleet.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
#[serde(expecting = "struct InParty")]
struct TenantDocument {
    /// New connections a second, rounded to an integer.
    quota_per_s: f64,
    /// The fraction of the fleet's rate that `quota_per_s` was rounded from; zero where it is not stated.
    share: f64,
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

/// Decodes the text of a settings document, as a node finds it in its configuration file.
///
/// # Errors
///
/// Names the field at fault by its path in the document.
pub fn parse(text: &str) -> Result<Settings, JsonError> {
    let document: SettingsDocument = json::parse(text)?;
    Ok(Settings::from(document))
}

/// New connections a second that the tenants' quotas admit together.
///
/// Quotas are rounded to integers. In a small fleet some are rounded to zero, and their sum is too low; where
/// shares are stated, the result is the largest rate of the fleet that rounds to the same quotas.
fn quota_setups_per_second(tenants: &[TenantDocument]) -> f64 {
    let with_share = tenants.iter().filter(|tenant| tenant.share > 0.0);
    let largest_rates = with_share.map(|tenant| (tenant.quota_per_s + 0.5) / tenant.share);
    let largest_rate = largest_rates.fold(f64::INFINITY, f64::min);
    let sum: f64 = tenants.iter().map(|tenant| tenant.quota_per_s).sum();
    if largest_rate.is_finite() {
        largest_rate.max(sum)
    } else {
        sum
    }
}

impl From<EffectName> for Effect {
    fn from(name: EffectName) -> Effect {
        match name {
            EffectName::ReadLike => Effect::ReadLike,
            EffectName::IdempotencyKey => Effect::IdempotencyKey,
            EffectName::NonIdempotent => Effect::NonIdempotent,
        }
    }
}

impl From<ScopeName> for DedupScope {
    fn from(name: ScopeName) -> DedupScope {
        match name {
            ScopeName::All => DedupScope::All,
            ScopeName::Zone => DedupScope::Zone,
            ScopeName::Cell => DedupScope::Cell,
        }
    }
}

impl ClassDocument {
    fn into_class(self, message_latency_objective: Option<Duration>) -> RequestClass {
        RequestClass {
            objective: Duration::from_nanos(self.objective_ns),
            hard_limit: Duration::from_nanos(self.hard_limit_ns),
            effect: self.effect.into(),
            dedup_scope: self.dedup_scope.into(),
            dedup_window: Duration::from_nanos(self.window_ns),
            priority_weight: self.priority_weight,
            message_latency_objective,
        }
    }
}

impl LimitsDocument {
    /// The longest Retry-After that clients honour; zero where they honour none.
    fn honoured_retry_after(&self) -> Duration {
        if self.retry_after {
            Duration::from_nanos(self.max_retry_after_ns)
        } else {
            Duration::ZERO
        }
    }
}

impl From<SettingsDocument> for Settings {
    fn from(document: SettingsDocument) -> Settings {
        let SettingsDocument { limits, rules, family_info, .. } = document;
        let latency_objectives = family_info.message_latency_objective_ns;
        let classes = document.profiles.into_iter().enumerate();
        let classes = classes.map(|(index, class)| {
            class.into_class(latency_objectives.get(index).copied().map(Duration::from_nanos))
        });
        let reports_load = document.feedback.fields.iter().any(|field| field == "x0");
        let discovery = match document.discovery.as_str() {
            "ask" => Discovery::Polled,
            _ => Discovery::Pushed,
        };
        Settings {
            classes: classes.collect(),
            instances: document.instances,
            zone: document.zone,
            discovery,
            weight_by_work: document.weight_by == "work",
            max_attempts: limits.max_attempts,
            may_cancel: limits.may_cancel,
            max_retry_after: limits.honoured_retry_after(),
            poll_within: Duration::from_nanos(rules.poll_within_ns),
            dial_timeout: Duration::from_nanos(limits.dial_timeout_ns),
            slow_start_floor: rules.slow_start_floor,
            slow_start_duration: Duration::from_nanos(rules.slow_start_ns),
            overload_multiple: rules.overload_multiple,
            overload_after: Duration::from_nanos(rules.overload_after_ns),
            quota_connections: family_info.tenant_quota_connections.iter().sum(),
            quota_setups_per_second: quota_setups_per_second(&document.tenants),
            health_checks: limits.probes && reports_load,
        }
    }
}

//! The settings object as the platform writes it, decoded into the policy's [`Settings`].

use crate::json::{self, JsonError};
use crate::vocabulary::*;
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SettingsDocument {
    #[serde(default = "one_instance")]
    instances: u32,
    #[serde(default)]
    zone: u32,
    profiles: Vec<ClassDocument>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    #[serde(rename = "WorthBy")]
    weight_by: String,
    limits: LimitsDocument,
    rules: RulesDocument,
    #[serde(default)]
    family_info: FamilyDocument,
    #[serde(default)]
    #[serde(rename = "Parties")]
    tenants: Vec<TenantDocument>,
    #[serde(default)]
    feedback: FeedbackDocument,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FeedbackDocument {
    fields: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassDocument {
    objective_ns: u64,
    hard_limit_ns: u64,
    effect: EffectName,
    #[serde(default)]
    dedup_scope: ScopeName,
    #[serde(default)]
    window_ns: u64,
    #[serde(default = "one")]
    #[serde(rename = "Worth")]
    priority_weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum EffectName {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum ScopeName {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
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

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RulesDocument {
    #[serde(default = "forever")]
    #[serde(rename = "AskWithinNs")]
    poll_within_ns: u64,
    #[serde(default = "one")]
    #[serde(rename = "ColdFrom")]
    slow_start_floor: f64,
    #[serde(default)]
    #[serde(rename = "ColdNs")]
    slow_start_ns: u64,
    #[serde(default = "one")]
    #[serde(rename = "FallMultiple")]
    overload_multiple: f64,
    #[serde(default)]
    #[serde(rename = "TipAfterNs")]
    overload_after_ns: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyDocument {
    message_aim_ns: Vec<u64>,
    tenant_quota_connections: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct TenantDocument {
    quota_per_s: f64,
    share: f64,
}

fn one() -> f64 {
    1.0
}

fn one_instance() -> u32 {
    1
}

fn forever() -> u64 {
    u64::MAX / 2
}

/// The settings object of an instance's first message, as a real node finds it in its configuration.
pub fn settings_from(text: &str) -> Result<Settings, JsonError> {
    json::parse::<SettingsDocument>(text).map(Settings::from)
}

/// What the shares allow a second, all together. The figures are whole numbers: in a small fleet each is rounded,
/// some to zero, and their sum says too little. The shares beside them tell the largest rate that rounds so.
fn quota_setups_per_second(tenants: &[TenantDocument]) -> f64 {
    let told = tenants.iter().filter(|p| p.share > 0.0);
    let most = told.map(|p| (p.quota_per_s + 0.5) / p.share).fold(f64::INFINITY, f64::min);
    let sum: f64 = tenants.iter().map(|p| p.quota_per_s).sum();
    if most.is_finite() {
        most.max(sum)
    } else {
        sum
    }
}

impl From<SettingsDocument> for Settings {
    fn from(wire: SettingsDocument) -> Settings {
        let aims = wire.family_info.message_aim_ns;
        let classes = wire.profiles.into_iter().enumerate().map(|(at, p)| Class {
            objective: p.objective_ns,
            hard_limit: p.hard_limit_ns,
            effect: match p.effect {
                EffectName::ReadLike => Effect::ReadLike,
                EffectName::IdempotencyKey => Effect::IdempotencyKey,
                EffectName::NonIdempotent => Effect::NonIdempotent,
            },
            scope: match p.dedup_scope {
                ScopeName::All => Scope::All,
                ScopeName::Zone => Scope::Zone,
                ScopeName::Cell => Scope::Cell,
            },
            window: p.window_ns,
            priority_weight: p.priority_weight,
            message_latency_objective: aims.get(at).copied(),
        });
        Settings {
            classes: classes.collect(),
            instances: wire.instances,
            zone: wire.zone,
            discovery: if wire.discovery == "ask" { Discovery::Polled } else { Discovery::Pushed },
            weight_by_work: wire.weight_by == "work",
            max_attempts: wire.limits.max_attempts,
            may_cancel: wire.limits.may_cancel,
            max_retry_after: if wire.limits.retry_after { wire.limits.max_retry_after_ns } else { 0 },
            poll_within: wire.rules.poll_within_ns,
            dial_timeout: wire.limits.dial_timeout_ns,
            slow_start_floor: wire.rules.slow_start_floor,
            slow_start_duration: wire.rules.slow_start_ns,
            overload_multiple: wire.rules.overload_multiple,
            overload_after: wire.rules.overload_after_ns,
            quota_connections: wire.family_info.tenant_quota_connections.iter().sum(),
            quota_setups_per_second: quota_setups_per_second(&wire.tenants),
            probes: wire.limits.probes && wire.feedback.fields.iter().any(|f| f == "x0"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Five tenants have 1 a second, three have 0; or all have 0: the fleet still takes something.
    #[rstest::rstest]
    #[case([1.0, 1.0, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0], 6.0)]
    #[case([0.0; 8], 2.0)]
    #[case([4.0, 3.0, 2.0, 2.0, 2.0, 1.0, 1.0, 1.0], 17.9)]
    fn whole_numbers_are_read_as_what_rounds_to_them(#[case] rates: [f64; 8], #[case] most: f64) {
        let shares = [0.25, 0.18, 0.14, 0.12, 0.1, 0.08, 0.07, 0.06];
        let tenant = |(quota_per_s, share)| TenantDocument { quota_per_s, share };
        let tenants: Vec<TenantDocument> = rates.into_iter().zip(shares).map(tenant).collect();
        assert!(
            (quota_setups_per_second(&tenants) - most).abs() < 0.05,
            "{}",
            quota_setups_per_second(&tenants)
        );
        let untold: Vec<TenantDocument> = rates.into_iter().map(|rate| tenant((rate, 0.0))).collect();
        assert_eq!(quota_setups_per_second(&untold), rates.iter().sum::<f64>());
    }
}

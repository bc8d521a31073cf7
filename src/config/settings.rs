//! Conversion of the settings document to the settings of the balancer ([`Settings`]) and to [`FrontendSettings`].

use super::settings_document::{
    ClassDocument, DedupScopeDocument, EffectDocument, LimitsDocument, SettingsDocument, TenantDocument,
};
use super::ContentError;
use crate::model::{DedupScope, Discovery, Effect, RequestClass, Settings, WeightBasis};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// The dial timeout of a node whose settings document has none.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// The name of the field of a load report that has the server's utilization: its load divided by its capacity.
pub const UTILIZATION_FIELD: &str = "x0";
/// The value of `Discovery` for discovery by polls of a service.
const DISCOVERY_POLLED: &str = "ask";
/// The value of `WorthBy` for priority weights per unit of work.
const WEIGHT_BY_WORK: &str = "work";

/// The part of the settings document that frontends and the flow export use.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontendSettings {
    /// The names of the request classes on the wire, in the order of [`Settings::classes`].
    pub class_names: Vec<String>,
    /// The names of the zones, indexed by the number of the zone in the settings.
    pub zone_names: Vec<String>,
    /// The time within which a connection to a server must be established.
    pub dial_timeout: Duration,
    /// Whether to report the latency of messages on established connections to the balancer.
    pub reports_message_latency: bool,
}

impl FrontendSettings {
    /// Whether each index of a class or zone has the same meaning in both settings.
    pub fn has_same_classes_and_zones(&self, other: &FrontendSettings) -> bool {
        self.class_names == other.class_names && self.zone_names == other.zone_names
    }
}

impl TryFrom<&SettingsDocument> for FrontendSettings {
    type Error = ContentError;

    /// Fails if a class has no name.
    fn try_from(document: &SettingsDocument) -> Result<FrontendSettings, ContentError> {
        let class_name = |(index, class): (usize, &ClassDocument)| {
            class.name.clone().ok_or(ContentError::MissingClassName { index })
        };
        let dial_timeout = document.limits.dial_timeout_ns.map(Duration::from_nanos);
        Ok(FrontendSettings {
            class_names: document.classes.iter().enumerate().map(class_name).collect::<Result<_, _>>()?,
            zone_names: document.zone_names.clone(),
            dial_timeout: dial_timeout.unwrap_or(DEFAULT_DIAL_TIMEOUT),
            reports_message_latency: document.family_info.reports_message_latency,
        })
    }
}

impl From<SettingsDocument> for Settings {
    fn from(document: SettingsDocument) -> Settings {
        let SettingsDocument { limits, rules, family_info, .. } = document;
        let mut latency_objectives =
            family_info.message_latency_objective_ns.into_iter().map(Duration::from_nanos);
        let classes = document.classes.into_iter().map(|class| class.into_class(latency_objectives.next()));
        let reports_utilization = document.feedback.fields.iter().any(|field| field == UTILIZATION_FIELD);
        let weight_basis = match document.weight_by.as_str() {
            WEIGHT_BY_WORK => WeightBasis::Work,
            _ => WeightBasis::Request,
        };
        let discovery = match document.discovery.as_str() {
            DISCOVERY_POLLED => Discovery::Polled,
            _ => Discovery::Pushed,
        };
        Settings {
            classes: classes.collect(),
            instances: document.instances,
            zone: document.zone,
            discovery,
            weight_basis,
            max_attempts: limits.max_attempts,
            may_cancel: limits.may_cancel,
            max_retry_after: limits.honoured_retry_after(),
            poll_within: Duration::from_nanos(rules.poll_within_ns),
            dial_timeout: Duration::from_nanos(limits.dial_timeout_ns.unwrap_or(0)),
            slow_start_floor: rules.slow_start_floor,
            slow_start_duration: Duration::from_nanos(rules.slow_start_ns),
            overload_multiple: rules.overload_multiple,
            overload_after: Duration::from_nanos(rules.overload_after_ns),
            quota_connections: family_info.tenant_quota_connections.iter().sum(),
            quota_setups_per_second: quota_setups_per_second(&document.tenants),
            health_checks: limits.health_checks && reports_utilization,
        }
    }
}

impl From<EffectDocument> for Effect {
    fn from(effect: EffectDocument) -> Effect {
        match effect {
            EffectDocument::ReadLike => Effect::ReadLike,
            EffectDocument::IdempotencyKey => Effect::IdempotencyKey,
            EffectDocument::NonIdempotent => Effect::NonIdempotent,
        }
    }
}

impl From<DedupScopeDocument> for DedupScope {
    fn from(scope: DedupScopeDocument) -> DedupScope {
        match scope {
            DedupScopeDocument::All => DedupScope::All,
            DedupScopeDocument::Zone => DedupScope::Zone,
            DedupScopeDocument::Cell => DedupScope::Cell,
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
            dedup_window: Duration::from_nanos(self.dedup_window_ns),
            priority_weight: self.priority_weight,
            message_latency_objective,
        }
    }
}

impl LimitsDocument {
    /// The longest Retry-After that clients honour; zero if they honour none.
    fn honoured_retry_after(&self) -> Duration {
        if self.retry_after {
            Duration::from_nanos(self.max_retry_after_ns)
        } else {
            Duration::ZERO
        }
    }
}

/// New connections per second that the quotas of all tenants admit together.
///
/// The quotas are rounded to integers. In a small fleet some of them are rounded to zero, so their sum is too low. If
/// the tenants' shares are known, the result is the largest rate of the fleet that is rounded to the same quotas.
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

//! Those of the platform's settings that frontends and exports need and the balancer does not. `expecting` keeps the text
//! of decoding errors as earlier versions print it.

use serde::Deserialize;
use std::time::Duration;

/// Time to connect to a server where the settings do not set one.
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);

/// Names of classes and zones, and limits that apply on real sockets.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct Facts")]
pub struct SiteSettings {
    /// The request classes. Their order is that of the balancer's `Settings::classes`.
    #[serde(rename = "Profiles")]
    pub classes: Vec<ClassName>,
    /// The zones' names, by the number that the settings use for a zone.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Limits of connections.
    pub limits: ConnectionLimits,
    /// What applies to this family of sites alone.
    #[serde(default)]
    pub family_info: FamilyInfo,
}

/// A request class as far as frontends know it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
pub struct ClassName {
    /// Its name on the wire.
    pub name: String,
}

/// Limits of connections.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[serde(expecting = "struct DialLimits")]
pub struct ConnectionLimits {
    /// A connection to a server that is not established after this has failed.
    #[serde(default = "default_dial_timeout", with = "sparbank_time::serde_nanos")]
    pub dial_timeout_ns: Duration,
}

/// What applies to one family of sites alone.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[serde(expecting = "struct Notes")]
pub struct FamilyInfo {
    /// The balancer wants reports of the latency of messages on open connections.
    #[serde(rename = "TellsDelay")]
    pub reports_message_latency: bool,
}

fn default_dial_timeout() -> Duration {
    DEFAULT_DIAL_TIMEOUT
}

impl SiteSettings {
    /// Whether a class or zone index means the same under both.
    pub fn has_same_classes_and_zones(&self, other: &SiteSettings) -> bool {
        self.classes == other.classes && self.zones == other.zones
    }
}

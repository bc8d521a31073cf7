//! The quota plan: what an operator writes in the quota file, and the values derived from it.

mod validation;

use serde::Deserialize;
use sparbank_time::DurationExt;
use std::net::SocketAddr;
use std::time::Duration;

pub use validation::{PlanError, PlanProblem};

const PARTS_PER_MILLION: u64 = 1_000_000;
/// Rates are granted in thousandths of an event per second.
const RATE_UNITS_PER_EVENT: u64 = 1000;
const DEFAULT_DRIFT_PPM: u64 = 1000;

/// Everything that the nodes of a fleet have to agree on beforehand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaPlan {
    /// Every node that may ever join. The floor of a member belongs to the process that has bound its address.
    #[serde(alias = "seats")]
    pub members: Vec<Member>,
    /// The names of the members whose nodes grant leases: one, three or five. A single one is a single point of
    /// failure.
    pub grantors: Vec<String>,
    /// How long an allotment may be used after its holder requested it, in milliseconds.
    pub lease_ms: u64,
    /// How long after the end of its lease connections above a holder's floor may still be established, in
    /// milliseconds: the time in which the holder ends them, or in which servers end those of a stopped node.
    pub clear_ms: u64,
    /// The largest drift between the clocks of two nodes, in millionths.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u64,
    /// The quotas; their order and names are the same in the files of all nodes.
    #[serde(rename = "budgets")]
    pub quotas: Vec<Quota>,
}

/// The place of one node in the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The name of the node, the same across its restarts.
    pub name: String,
    /// The address where the node listens to the other nodes. Only one process can bind it, so the member is taken
    /// by one process at a time.
    pub address: SocketAddr,
}

/// A bound on what all nodes together may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The name in log lines.
    pub name: String,
    /// What the quota counts.
    #[serde(rename = "limits")]
    pub resource: Resource,
    /// The bound: connections, or events per second.
    #[serde(alias = "whole")]
    pub total: u64,
    /// For rates: the events at once beyond those that the elapsed time allows. At least one for each member.
    #[serde(default)]
    pub burst: u64,
    /// The percentage of the total that is set aside for the floors of the members.
    #[serde(default)]
    pub floor_percent: u64,
    /// If set, only requests of this subscriber count.
    #[serde(default)]
    pub subscriber: Option<String>,
    /// If set, only requests of this class count.
    #[serde(default)]
    pub class: Option<String>,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Connections that are established or being set up: a level.
    Connections,
    /// Attempts sent to servers: a rate, bounded by what the session ledger can take.
    Setups,
    /// Attempts other than the first of a request: a rate.
    Retries,
    /// Calls to discovery: a rate.
    #[serde(rename = "lists")]
    DiscoveryCalls,
}

impl Resource {
    /// Whether units return when their use ends (a level); those of a rate return with time.
    pub fn is_level(self) -> bool {
        self == Resource::Connections
    }

    /// The name that goes into [`QuotaPlan::layout_hash`]; nodes of other versions compute the same.
    fn layout_name(self) -> &'static str {
        match self {
            Resource::Connections => "Connections",
            Resource::Setups => "Setups",
            Resource::Retries => "Retries",
            Resource::DiscoveryCalls => "Lists",
        }
    }
}

fn default_drift_ppm() -> u64 {
    DEFAULT_DRIFT_PPM
}

impl QuotaPlan {
    /// The duration of a lease, which its holder counts from when it sent the request.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// The time after which, on the clock of a grantor and since it applied a request, the lease of that request
    /// has expired on its holder's clock too.
    pub fn lease_expired_after(&self) -> Duration {
        self.with_drift(self.lease_duration())
    }

    /// The time after which, counted likewise, the connections above the holder's floor are gone too.
    pub fn connections_cleared_after(&self) -> Duration {
        self.with_drift(self.lease_duration() + Duration::from_millis(self.clear_ms))
    }

    fn with_drift(&self, duration: Duration) -> Duration {
        let nanos = duration.as_nanos_u64();
        Duration::from_nanos(nanos + nanos / PARTS_PER_MILLION * self.drift_ppm + 1)
    }

    /// A hash of what two nodes need to have in common for their allotments to mean the same: members, lease and
    /// clear time, drift, and the order, names and resources of the quotas. Lease requests carry it.
    pub fn layout_hash(&self) -> u64 {
        let mut hash = LayoutHash::new();
        for member in &self.members {
            hash.add(&member.name);
        }
        for quota in &self.quotas {
            hash.add(&quota.name);
            let resource = quota.resource.layout_name();
            hash.add(&format!("{resource} {:?} {:?}", quota.subscriber, quota.class));
        }
        hash.add(&format!("{} {} {}", self.lease_ms, self.clear_ms, self.drift_ppm));
        hash.0
    }

    /// The units of a quota that each member has without a lease.
    pub fn floor_units(&self, quota: usize) -> u64 {
        let quota = &self.quotas[quota];
        quota.total_units() * quota.floor_percent / 100 / self.members.len().max(1) as u64
    }

    /// The units that the grantors divide: the total without the floors of all members.
    pub fn divisible_units(&self, quota: usize) -> u64 {
        self.quotas[quota].total_units() - self.floor_units(quota) * self.members.len() as u64
    }
}

/// FNV-1a over zero-terminated texts: stable across builds, unlike the hashers of the standard library.
struct LayoutHash(u64);

impl LayoutHash {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;

    fn new() -> LayoutHash {
        LayoutHash(LayoutHash::OFFSET_BASIS)
    }

    fn add(&mut self, text: &str) {
        for byte in text.bytes().chain([0]) {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(LayoutHash::PRIME);
        }
    }
}

impl Quota {
    /// The total in the units that are granted: connections, or thousandths of an event per second.
    pub fn total_units(&self) -> u64 {
        if self.resource.is_level() {
            self.total
        } else {
            self.total * RATE_UNITS_PER_EVENT
        }
    }

    /// Whether a request of this subscriber and class counts against this quota.
    pub fn applies_to(&self, subscriber: &str, class: &str) -> bool {
        let subscriber_matches = self.subscriber.as_deref().is_none_or(|own| own == subscriber);
        let class_matches = self.class.as_deref().is_none_or(|own| own == class);
        subscriber_matches && class_matches
    }
}

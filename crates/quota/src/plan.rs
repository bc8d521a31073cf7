//! The quota plan: the contents of the operator's quota file, and the values derived from them.

mod validation;

use serde::Deserialize;
use sparbank_time::DurationExt;
use std::net::SocketAddr;
use std::time::Duration;

pub use validation::{PlanError, PlanProblem};

const PARTS_PER_MILLION: u64 = 1_000_000;
/// The units of a rate are thousandths of an event per second.
const RATE_UNITS_PER_EVENT: u64 = 1000;
const DEFAULT_DRIFT_PPM: u64 = 1000;

/// The quota configuration that all nodes of a fleet share.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaPlan {
    /// All nodes that can join the fleet. The floor of a member belongs to the process that has bound its address.
    #[serde(alias = "seats")]
    pub members: Vec<Member>,
    /// The names of the members whose nodes grant leases: one, three or five. With only one, it is a single point of
    /// failure.
    pub grantors: Vec<String>,
    /// The duration of a lease, measured from when its holder sent the request, in milliseconds.
    pub lease_ms: u64,
    /// How long connections above a holder's floor may remain established after its lease has expired, in
    /// milliseconds. Within this time the holder ends them or, if the node has stopped, the servers do.
    pub clear_ms: u64,
    /// The largest drift between the clocks of two nodes, in parts per million.
    #[serde(default = "default_drift_ppm")]
    pub drift_ppm: u64,
    /// The quotas; their order and names must be the same in the files of all nodes.
    #[serde(rename = "budgets")]
    pub quotas: Vec<Quota>,
}

/// A node of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The name of the node, the same across its restarts.
    pub name: String,
    /// The address on which the node listens for the other nodes. Only one process at a time can bind it, so only one
    /// process at a time acts as this member.
    pub address: SocketAddr,
}

/// A limit on the combined use of all nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// The name that appears in log lines.
    pub name: String,
    /// The events or objects that the quota counts.
    #[serde(rename = "limits")]
    pub resource: Resource,
    /// The limit: connections, or events per second.
    #[serde(alias = "whole")]
    pub total: u64,
    /// For rates: how many events may exceed what the elapsed time allows. At least one for each member.
    #[serde(default)]
    pub burst: u64,
    /// The percentage of the total that is reserved for the floors of the members.
    #[serde(default)]
    pub floor_percent: u64,
    /// If set, the quota applies only to requests of this subscriber.
    #[serde(default)]
    pub subscriber: Option<String>,
    /// If set, the quota applies only to requests of this class.
    #[serde(default)]
    pub class: Option<String>,
}

/// The events or objects that a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Connections that are established or being set up: a level.
    Connections,
    /// Attempts sent to servers: a rate, limited by the capacity of the session ledger.
    Setups,
    /// Attempts after the first of a request: a rate.
    Retries,
    /// Calls to discovery: a rate.
    #[serde(rename = "lists")]
    DiscoveryCalls,
}

impl Resource {
    /// Whether this is a level, whose units are freed when their use ends; the units of a rate are freed as time
    /// passes.
    pub fn is_level(self) -> bool {
        self == Resource::Connections
    }

    /// The name that is part of [`QuotaPlan::layout_hash`]. It must not change: nodes of other versions hash the same
    /// names.
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
    /// The duration of a lease, which the holder measures from when it sent the request.
    pub fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long after applying a request, by its own clock, a grantor can rely on the lease having expired on the
    /// holder's clock as well.
    pub fn lease_expired_after(&self) -> Duration {
        self.with_drift(self.lease_duration())
    }

    /// How long after applying a request, by its own clock, a grantor can rely on the connections above the holder's
    /// floor having ended as well.
    pub fn connections_cleared_after(&self) -> Duration {
        self.with_drift(self.lease_duration() + Duration::from_millis(self.clear_ms))
    }

    fn with_drift(&self, duration: Duration) -> Duration {
        let nanos = duration.as_nanos_u64();
        Duration::from_nanos(nanos + nanos / PARTS_PER_MILLION * self.drift_ppm + 1)
    }

    /// A hash of the properties that must agree between two nodes for their allotments to be comparable: the names of
    /// the members, the lease time, clear time and drift, and the order, names, resources and scopes of the quotas.
    /// Lease requests carry it.
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

    /// The units of a quota that each member may use without a lease.
    pub fn floor_units(&self, quota: usize) -> u64 {
        let quota = &self.quotas[quota];
        quota.total_units() * quota.floor_percent / 100 / self.members.len().max(1) as u64
    }

    /// The units that the grantors divide: the total less the floors of all members.
    pub fn divisible_units(&self, quota: usize) -> u64 {
        self.quotas[quota].total_units() - self.floor_units(quota) * self.members.len() as u64
    }
}

/// FNV-1a over zero-terminated strings. Unlike the hashers of the standard library it is stable across builds.
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
    /// The total in units: connections, or thousandths of an event per second.
    pub fn total_units(&self) -> u64 {
        if self.resource.is_level() {
            self.total
        } else {
            self.total * RATE_UNITS_PER_EVENT
        }
    }

    /// Whether this quota applies to a request of this subscriber and class.
    pub fn applies_to(&self, subscriber: &str, class: &str) -> bool {
        let subscriber_matches = self.subscriber.as_deref().is_none_or(|own| own == subscriber);
        let class_matches = self.class.as_deref().is_none_or(|own| own == class);
        subscriber_matches && class_matches
    }
}

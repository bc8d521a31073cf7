//! This node's share of the limits of the fleet, derived from the settings and the node's own load.
//!
//! A rate that is harmless from a single node can overload what a hundred nodes share. Nodes do not coordinate to
//! enforce these limits: each node computes its share from the settings and stays within it.

use crate::model::Settings;
use sparbank_time::DurationExt;
use std::time::Duration;

const NANOS_PER_SECOND: f64 = 1e9;
/// Maximum connection set-up rate of the fleet, as a multiple of the rate that the tenants' quotas allow. Shared
/// components, such as a session store, are dimensioned for eight times the usual rate.
const MAX_SETUP_MULTIPLE: f64 = 8.0;
/// Lower limit of that multiple, for any number of nodes.
const MIN_SETUP_MULTIPLE: f64 = 4.0;
/// Connections that all servers have capacity for, as a multiple of the quotas, which grant less than the capacity.
const FLEET_CAPACITY_MULTIPLE: f64 = 2.0;
/// Upper limit of the interval between set-ups; bounds the effect of invalid settings.
const MAX_SETUP_INTERVAL: Duration = Duration::from_secs(3_600);
/// A node's usual connections per server if the settings do not state the quotas.
const DEFAULT_CONNECTIONS_PER_SERVER: f64 = 20.0;
/// Lower limit, in seconds, of the clients' waiting time in the estimate of the set-ups that idle nodes make at once.
const MIN_CLIENT_WAIT_SECONDS: f64 = 0.1;

/// The fleet's limits, from which this node derives its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLimits {
    nodes: f64,
    /// Connections that all nodes together may have within the quotas; zero if unknown.
    quota_connections: f64,
    /// Connection set-ups per second that all nodes may make together; zero if unknown.
    setups_per_second: f64,
}

impl FleetLimits {
    /// Derives the limits from the settings. Values that are not positive and finite count as unknown.
    pub fn new(settings: &Settings) -> FleetLimits {
        let known_or_zero = |x: f64| if x.is_finite() && x > 0.0 { x } else { 0.0 };
        let longest_wait =
            settings.classes.iter().map(|class| class.hard_limit).max().unwrap_or(Duration::ZERO);
        let nodes = f64::from(settings.instances.max(1));
        let quota_rate = known_or_zero(settings.quota_setups_per_second);
        FleetLimits {
            nodes,
            quota_connections: known_or_zero(settings.quota_connections),
            setups_per_second: fleet_setup_rate(
                nodes,
                quota_rate,
                longest_wait.as_nanos_f64() / NANOS_PER_SECOND,
            ),
        }
    }

    /// Returns this node's fraction of the fleet's load, given the number of its open requests: an even share, or its
    /// actual share if that is larger, for example because other nodes have failed and it has taken over their load.
    pub fn load_share(&self, requests: usize) -> f64 {
        let even_share = 1.0 / self.nodes;
        let actual_share =
            if self.quota_connections > 0.0 { requests as f64 / self.quota_connections } else { 0.0 };
        actual_share.clamp(even_share, 1.0)
    }

    /// Returns the interval between this node's connection set-ups at which it uses `rate_fraction` of its share of the
    /// fleet's rate. Zero, which means no limit, if the rate is unknown or `rate_fraction` is `None`.
    pub fn setup_interval(&self, requests: usize, rate_fraction: Option<f64>) -> Duration {
        let rate = self.setups_per_second * self.load_share(requests) * rate_fraction.unwrap_or(0.0);
        if rate > 0.0 {
            Duration::from_nanos((NANOS_PER_SECOND / rate) as u64).min(MAX_SETUP_INTERVAL)
        } else {
            Duration::ZERO
        }
    }

    /// Returns the usual number of this node's connections per server, given the number of servers.
    pub fn usual_connections(&self, servers: usize) -> f64 {
        if self.quota_connections > 0.0 {
            self.quota_connections / self.nodes / servers.max(1) as f64
        } else {
            DEFAULT_CONNECTIONS_PER_SERVER
        }
    }

    /// Returns this node's share of the connections that all servers have capacity for. If the quotas are unknown, this
    /// is the number of its attempts and connections.
    pub fn connections_at_capacity(&self, requests: usize, in_flight: u32) -> f64 {
        if self.quota_connections > 0.0 {
            FLEET_CAPACITY_MULTIPLE * self.quota_connections * self.load_share(requests)
        } else {
            f64::from(in_flight.max(1))
        }
    }
}

/// Connection set-ups per second that the fleet may make. Each idle node makes its first set-up without pacing, within
/// the time that a client waits; the resulting rate is subtracted.
fn fleet_setup_rate(nodes: f64, quota_rate: f64, wait_seconds: f64) -> f64 {
    let unpaced_rate = nodes / wait_seconds.max(MIN_CLIENT_WAIT_SECONDS);
    (MAX_SETUP_MULTIPLE * quota_rate - unpaced_rate).max(MIN_SETUP_MULTIPLE * quota_rate)
}

#[cfg(test)]
mod tests;

//! This node's share of the limits that all nodes of the fleet share, by the settings and by its own load.
//!
//! A rate that is harmless from one node is harmful from a hundred. Nodes do not coordinate here: each keeps to a share
//! of the fleet's limits that it derives from the settings.

use crate::model::Settings;
use sparbank_time::DurationExt;
use std::time::Duration;

const NANOS_PER_SECOND: f64 = 1e9;
/// The fleet may make this multiple of the connection set-ups that the tenants' quotas allow: what all nodes share,
/// such as a session store, is built for eight times the usual rate.
const MAX_SETUP_MULTIPLE: f64 = 8.0;
/// The multiple is at least this, however many nodes there are.
const MIN_SETUP_MULTIPLE: f64 = 4.0;
/// The connections that fill all servers, as a multiple of the quotas: quotas grant less than the servers can take.
const FULL_FLEET_MULTIPLE: f64 = 2.0;
/// The longest interval between set-ups. It bounds what invalid settings lead to.
const MAX_SETUP_INTERVAL: Duration = Duration::from_secs(3_600);
/// A node's connections at one server where the settings do not state the quotas.
const DEFAULT_CONNECTIONS_PER_SERVER: f64 = 20.0;
/// Clients wait at least this long, in seconds, in the estimate of the set-ups that idle nodes make at once.
const MIN_CLIENT_WAIT_SECONDS: f64 = 0.1;

/// The fleet's limits, and this node's share of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetLimits {
    nodes: f64,
    /// Connections that all nodes may have within the quotas; zero if unknown.
    quota_connections: f64,
    /// Connection set-ups per second that all nodes may make together; zero if unknown.
    setups_per_second: f64,
}

impl FleetLimits {
    /// Derives the limits from the settings. Figures that cannot be right count as unknown.
    pub fn new(settings: &Settings) -> FleetLimits {
        let known = |x: f64| if x.is_finite() && x > 0.0 { x } else { 0.0 };
        let longest_wait =
            settings.classes.iter().map(|class| class.hard_limit).max().unwrap_or(Duration::ZERO);
        let nodes = f64::from(settings.instances.max(1));
        let quota_rate = known(settings.quota_setups_per_second);
        FleetLimits {
            nodes,
            quota_connections: known(settings.quota_connections),
            setups_per_second: fleet_setup_rate(
                nodes,
                quota_rate,
                longest_wait.as_nanos_f64() / NANOS_PER_SECOND,
            ),
        }
    }

    /// This node's fraction of the fleet's load, given its requests and connections: an even fraction, or more where
    /// other nodes are gone and their load has come here.
    pub fn load_share(&self, requests: usize) -> f64 {
        let even = 1.0 / self.nodes;
        let present =
            if self.quota_connections > 0.0 { requests as f64 / self.quota_connections } else { 0.0 };
        present.clamp(even, 1.0)
    }

    /// The interval between this node's connection set-ups at which all nodes together keep to the fleet's rate, if
    /// this node uses `rate_fraction` of its share. Zero, which is no limit, if the rate is unknown or
    /// `rate_fraction` is `None`.
    pub fn setup_interval(&self, requests: usize, rate_fraction: Option<f64>) -> Duration {
        let rate = self.setups_per_second * self.load_share(requests) * rate_fraction.unwrap_or(0.0);
        if rate > 0.0 {
            Duration::from_nanos((NANOS_PER_SECOND / rate) as u64).min(MAX_SETUP_INTERVAL)
        } else {
            Duration::ZERO
        }
    }

    /// The usual number of this node's connections at one of this many servers.
    pub fn usual_connections(&self, servers: usize) -> f64 {
        if self.quota_connections > 0.0 {
            self.quota_connections / self.nodes / servers.max(1) as f64
        } else {
            DEFAULT_CONNECTIONS_PER_SERVER
        }
    }

    /// This node's share of the connections that fill all servers. Where the quotas are unknown, the attempts and
    /// connections that it has count in their place.
    pub fn full_connections(&self, requests: usize, in_flight: u32) -> f64 {
        if self.quota_connections > 0.0 {
            FULL_FLEET_MULTIPLE * self.quota_connections * self.load_share(requests)
        } else {
            f64::from(in_flight.max(1))
        }
    }
}

/// Connection set-ups per second that this many nodes may make together. Each idle node makes one at once, within the
/// time that a client waits: that much is subtracted from the rate.
fn fleet_setup_rate(nodes: f64, quota_rate: f64, wait_seconds: f64) -> f64 {
    let spent = nodes / wait_seconds.max(MIN_CLIENT_WAIT_SECONDS);
    (MAX_SETUP_MULTIPLE * quota_rate - spent).max(MIN_SETUP_MULTIPLE * quota_rate)
}

#[cfg(test)]
mod tests;

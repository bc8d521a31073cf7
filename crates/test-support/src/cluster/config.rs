//! Configuration of a cluster, and the node settings that are derived from it.

use super::servers::{OVERLOAD_AFTER, OVERLOAD_MULTIPLE, SLOW_START_DURATION};
use std::ops::Range;

/// Sizes and rates of a cluster and its simulated peers.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of nodes under test.
    pub nodes: usize,
    /// Number of servers at the start of a run.
    pub servers: usize,
    /// Number of clients, each of which keeps requesting an established connection.
    pub clients: usize,
    /// Set-ups per second that the session ledger serves; further ones wait in its queue.
    pub ledger_setups_per_second: f64,
    /// Number of connections that a server has capacity for once it is warm.
    pub server_capacity: f64,
    /// Mean lifetime of an established connection.
    pub mean_connection_ms: u64,
    /// Range of the random delay after which a client reconnects when its connection was interrupted.
    pub reconnect_delay_ms: Range<u64>,
    /// Interval between the load balancer's health checks of a node that is up.
    pub node_check_interval_ms: u64,
    /// Polls per second that discovery answers.
    pub discovery_polls_per_second: f64,
    /// Maximum number of polls in discovery's queue; it rejects further ones.
    pub discovery_queue_length: usize,
    /// The connection quota that all nodes share, if any.
    pub quota: Option<ConnectionQuota>,
}

/// A quota on the established connections of all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionQuota {
    /// Maximum number of established connections of all nodes together.
    pub total: usize,
    /// Duration of a lease.
    pub lease_ms: u64,
    /// Time after the end of a lease after which its connections count as closed.
    pub clear_ms: u64,
}

/// Minimum number of servers.
const MIN_SERVERS: usize = 6;
/// Minimum rate of polls that discovery answers.
const MIN_DISCOVERY_POLLS_PER_SECOND: f64 = 4.0;
/// Mean lifetime of a connection, in seconds.
const MEAN_CONNECTION_SECONDS: f64 = 30.0;
/// Capacity of the session ledger relative to the usual rate of set-ups; the same as on the platform.
const LEDGER_HEADROOM: f64 = 8.0;

impl ClusterConfig {
    /// Returns a configuration that scales with the number of nodes, so that the load per node stays the same.
    pub fn for_nodes(nodes: usize) -> ClusterConfig {
        let clients = 8 * nodes;
        let servers = (nodes / 2).max(MIN_SERVERS);
        ClusterConfig {
            nodes,
            servers,
            clients,
            ledger_setups_per_second: LEDGER_HEADROOM * clients as f64 / MEAN_CONNECTION_SECONDS,
            server_capacity: 4.0 * clients as f64 / servers as f64,
            mean_connection_ms: 1_000 * MEAN_CONNECTION_SECONDS as u64,
            reconnect_delay_ms: 66..860,
            node_check_interval_ms: 1_500,
            discovery_polls_per_second: (nodes as f64 / 6.0).max(MIN_DISCOVERY_POLLS_PER_SECOND),
            discovery_queue_length: 8,
            quota: None,
        }
    }

    /// Returns the settings of a node, as the platform writes them. The tenant's quotas match the load of the clients.
    pub fn node_settings(&self) -> String {
        let connections = self.clients as f64;
        let setups_per_second = self.clients as f64 / (self.mean_connection_ms as f64 / 1e3);
        format!(
            r#"{{"Profiles":[{{"Effect":"read_like","HardLimitNs":1200000000,"Name":"live-readings","ObjectiveNs":300000000,"Worth":2.0}}],
            "Discovery":"ask","Zones":["a"],"Instances":{},"Parties":[{{"Name":"acme","QuotaPerS":{setups_per_second:.1},"Share":1.0}}],
            "FamilyInfo":{{"MessageAimNs":[100000000],"TenantQuotaConnections":[{connections:.1}],"Groups":true}},
            "Limits":{{"MaxAttempts":3,"MayCancel":true,"RetryAfter":true,"MaxRetryAfterNs":600000000,"DialTimeoutNs":250000000}},
            "Rules":{{"AskWithinNs":10000000000,"ColdFrom":0.12,"ColdNs":{},"FallMultiple":{:.1},"TipAfterNs":{},"StopSendingWithinNs":250000000}}}}"#,
            self.nodes,
            SLOW_START_DURATION.as_nanos(),
            OVERLOAD_MULTIPLE,
            OVERLOAD_AFTER.as_nanos(),
        )
    }
}

//! The figures of a cluster, and the settings that its nodes get from them.

use super::servers::{OVERLOAD_AFTER, OVERLOAD_MULTIPLE, SLOW_START_DURATION};
use std::ops::Range;

/// Figures of the simulated peers.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Processes under test.
    pub nodes: usize,
    /// Servers at the start of a run.
    pub servers: usize,
    /// Clients that want an established connection, all the time.
    pub clients: usize,
    /// Set-ups a second that the session ledger serves; more wait in its queue.
    pub ledger_setups_per_second: f64,
    /// Connections that a server has capacity for once it is warm.
    pub server_capacity: f64,
    /// Mean lifetime of a connection.
    pub mean_connection_ms: u64,
    /// A client whose connection was reset reconnects after a random time in this range.
    pub reconnect_delay_ms: Range<u64>,
    /// How often the load balancer before the nodes checks them.
    pub node_check_interval_ms: u64,
    /// Polls a second that discovery answers.
    pub discovery_polls_per_second: f64,
    /// Polls that wait at discovery; it rejects the rest.
    pub discovery_queue_length: usize,
    /// A quota that all nodes share, where there is one.
    pub quota: Option<ConnectionQuota>,
}

/// A quota on the established connections of all nodes together.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionQuota {
    /// Connections of all nodes together.
    pub total: usize,
    /// The duration of a lease.
    pub lease_ms: u64,
    /// Time after the end of a lease until its connections count as closed.
    pub clear_ms: u64,
}

/// Servers of the smallest cluster.
const MIN_SERVERS: usize = 6;
/// Polls a second at the discovery of the smallest cluster.
const MIN_DISCOVERY_POLLS_PER_SECOND: f64 = 4.0;
/// Mean lifetime of a connection, in seconds.
const MEAN_CONNECTION_SECONDS: f64 = 30.0;
/// Capacity of the session ledger over the usual rate of set-ups, as on the platform.
const LEDGER_HEADROOM: f64 = 8.0;

impl ClusterConfig {
    /// Figures that grow with the number of nodes, so that each of them has the same load.
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

    /// The settings of a node, as the platform writes them. The tenant's quotas are what the clients use.
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

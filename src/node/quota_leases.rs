//! This node's membership of a fleet with quotas: the exchange of leases, and migrations of connections over quota.

use super::executor::Executor;
use super::state::NodeState;
use crate::frontend::TimerEvent;
use crate::net::SocketEvent;
use crate::quota::transport::{self, LeaseTransport};
use sparbank_time::DurationExt;

/// Owns the transport of the lease protocol, where this node is a member of a fleet with quotas.
pub(super) struct QuotaLeases {
    transport: Option<LeaseTransport>,
}

impl QuotaLeases {
    /// Exchanges leases over this transport.
    pub(super) fn new(transport: Option<LeaseTransport>) -> QuotaLeases {
        QuotaLeases { transport }
    }

    /// Handles an event at a socket of the lease protocol.
    pub(super) fn on_socket_event(&mut self, state: &mut NodeState, event: SocketEvent) {
        let now = state.now();
        if let (Some(transport), Some(quotas)) = (&mut self.transport, state.requests.quotas_mut()) {
            transport.on_socket_event(now, &mut state.net, quotas, event);
        }
    }

    /// Exchanges leases with the grantor, and migrates established connections over this node's allotment.
    pub(super) fn exchange(&mut self, executor: &mut Executor) {
        let state = &mut executor.host.state;
        let now = state.now();
        let Some(transport) = &mut self.transport else { return };
        let Some(quotas) = state.requests.quotas_mut() else { return };
        transport.exchange(now, &mut state.net, quotas);
        let commands = state.requests.migrate_over_quota(now);
        executor.execute_all(now, commands);
        let next_exchange_at = now + transport::EXCHANGE_INTERVAL;
        executor.host.state.wheel.schedule(next_exchange_at, TimerEvent::LeaseExchange);
    }

    /// Logs the lease, the counters of its protocol, and each quota.
    pub(super) fn log(&self, state: &NodeState) {
        let Some(transport) = &self.transport else { return };
        let Some(quotas) = state.requests.quotas() else { return };
        let counters = transport.counters();
        tracing::info!(
            lease_remaining_ms = quotas.lease_remaining(state.now()).as_millis_u64(),
            requests = counters.requests,
            grants = counters.grants,
            undecodable_frames = counters.undecodable_frames,
            applied_requests = counters.applied_requests,
            reclaimed_leases = counters.reclaimed_leases,
            "quota lease"
        );
        for (name, status) in quotas.statuses() {
            tracing::info!(
                %name,
                total = %status.total,
                floor = %status.floor,
                allotment = %status.allotment,
                used = %status.used,
                rejected = status.rejected,
                "quota"
            );
        }
    }
}

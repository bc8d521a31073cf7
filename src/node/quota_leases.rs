//! Fleet-wide quotas: the exchange of leases with the grantor, and the migration of connections over quota.

use super::executor::Executor;
use super::state::NodeState;
use crate::frontend::TimerEvent;
use crate::net::SocketEvent;
use crate::quota::transport::{self, LeaseTransport};
use sparbank_time::DurationExt;

/// Owns the transport of the lease protocol.
pub(super) struct QuotaLeases {
    /// `None` if this node is not a member of a fleet with quotas.
    transport: Option<LeaseTransport>,
}

impl QuotaLeases {
    pub(super) fn new(transport: Option<LeaseTransport>) -> QuotaLeases {
        QuotaLeases { transport }
    }

    /// Handles an event on a socket of the lease protocol.
    pub(super) fn on_socket_event(&mut self, state: &mut NodeState, event: SocketEvent) {
        let now = state.now();
        if let (Some(transport), Some(quotas)) = (&mut self.transport, state.requests.quotas_mut()) {
            transport.on_socket_event(now, &mut state.net, quotas, event);
        }
    }

    /// Exchanges leases with the grantor, and migrates established connections that exceed this node's allotment.
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

    /// Logs the lease with the counters of its protocol, and then each quota.
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

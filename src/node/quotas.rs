//! This node's membership of a fleet with quotas: the exchange of leases, and migrations of connections over quota.

use super::Node;
use crate::frontend::TimerEvent;
use crate::net::SocketEvent;
use crate::quota::transport;

impl Node {
    /// Handles an event at a socket of the lease protocol.
    pub(super) fn on_lease_socket(&mut self, event: SocketEvent) {
        let now = self.state.now();
        if let (Some(transport), Some(quotas)) = (&mut self.lease_transport, self.state.requests.quotas_mut())
        {
            transport.on_socket_event(now, &mut self.state.net, quotas, event);
        }
    }

    /// Exchanges leases with the grantor, and migrates established connections over this node's allotment.
    pub(super) fn exchange_leases(&mut self) {
        let now = self.state.now();
        let Some(transport) = &mut self.lease_transport else { return };
        let Some(quotas) = self.state.requests.quotas_mut() else { return };
        transport.exchange(now, &mut self.state.net, quotas);
        for command in self.state.requests.migrate_over_quota(now) {
            self.execute(now, command);
        }
        self.state.wheel.schedule(now + transport::EXCHANGE_INTERVAL, TimerEvent::LeaseExchange);
    }
}

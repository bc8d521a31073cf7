//! Mutable access to the connections on both sides, for code that handles an event.

use super::clients::Clients;
use super::config::AmqpConfig;
use super::servers::Servers;

/// The connections to clients and servers, and the configuration that limits them. It is borrowed while one event is
/// handled.
pub struct Peers<'a> {
    /// The current configuration, which a reload can replace between events.
    pub config: &'a AmqpConfig,
    /// The connections of clients.
    pub clients: &'a mut Clients,
    /// The connections to servers, and the attempts queued for them.
    pub servers: &'a mut Servers,
}

impl Peers<'_> {
    /// Borrows the fields again, for a shorter lifetime.
    pub fn reborrow(&mut self) -> Peers<'_> {
        Peers { config: self.config, clients: self.clients, servers: self.servers }
    }
}

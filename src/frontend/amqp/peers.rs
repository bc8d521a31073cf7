//! The connections on both sides, lent to the parts of the frontend that work between them.

use super::clients::Clients;
use super::config::AmqpConfig;
use super::servers::Servers;

/// The connections on both sides, and the configuration with their limits. Whoever handles an event borrows it for the
/// duration of the call.
pub struct Peers<'a> {
    /// The configuration file.
    pub config: &'a AmqpConfig,
    /// The clients.
    pub clients: &'a mut Clients,
    /// The servers.
    pub servers: &'a mut Servers,
}

impl Peers<'_> {
    /// Lends the same to a callee.
    pub fn reborrow(&mut self) -> Peers<'_> {
        Peers { config: self.config, clients: self.clients, servers: self.servers }
    }
}

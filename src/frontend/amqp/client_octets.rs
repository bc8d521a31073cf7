//! Octets that are held for clients, in total and for each of them. This module performs no I/O.

use super::fast_map::FastHashMap;
use crate::net::Token;

/// Numbers of octets by client.
#[derive(Default)]
pub struct ClientOctets {
    total: usize,
    /// The octets of each client. No entry is 0.
    by_client: FastHashMap<Token, usize>,
}

/// The client that holds the most octets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LargestClient {
    /// The socket of the client's connection.
    pub token: Token,
    /// The octets that are held for it.
    pub bytes: usize,
}

impl ClientOctets {
    /// Adds octets of a client.
    pub fn add(&mut self, client: Token, octets: usize) {
        if octets > 0 {
            *self.by_client.entry(client).or_default() += octets;
            self.total += octets;
        }
    }

    /// Subtracts octets of a client that are no longer held.
    pub fn subtract(&mut self, client: Token, octets: usize) {
        self.total -= octets;
        let Some(bytes) = self.by_client.get_mut(&client) else { return };
        *bytes -= octets;
        if *bytes == 0 {
            self.by_client.remove(&client);
        }
    }

    /// Subtracts all octets of a client.
    pub fn remove(&mut self, client: Token) {
        self.total -= self.by_client.remove(&client).unwrap_or(0);
    }

    /// The octets of all clients.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The octets of a client.
    pub fn of_client(&self, client: Token) -> usize {
        self.by_client.get(&client).copied().unwrap_or(0)
    }

    /// The client that holds the most octets; among equals, the one with the lowest token.
    pub fn largest_client(&self) -> Option<LargestClient> {
        let clients =
            self.by_client.iter().map(|(token, bytes)| LargestClient { token: *token, bytes: *bytes });
        clients.max_by_key(|client| (client.bytes, std::cmp::Reverse(client.token)))
    }
}

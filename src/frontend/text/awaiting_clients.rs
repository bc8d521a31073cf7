//! Clients that have connected and not sent a request yet.

use crate::net::Token;
use std::collections::HashMap;

/// The maximum number of `PING`s on one connection.
const MAX_PINGS: u32 = 8;

/// The client has exceeded [`MAX_PINGS`].
#[derive(Debug, PartialEq, Eq)]
pub(super) struct TooManyPings;

/// The client connections on which no request line has been received yet.
#[derive(Default)]
pub(super) struct AwaitingClients {
    /// The number of `PING`s received on each connection.
    pings: HashMap<Token, u32>,
}

impl AwaitingClients {
    /// Adds a client. `pings` is 0, or the number of `PING`s that another process counted before it
    /// transferred the connection.
    pub(super) fn insert(&mut self, token: Token, pings: u32) {
        self.pings.insert(token, pings);
    }

    /// Removes a client that has sent its request or whose connection has ended. Returns its number of `PING`s.
    pub(super) fn remove(&mut self, token: Token) -> Option<u32> {
        self.pings.remove(&token)
    }

    /// Whether the client on this connection has not sent a request yet.
    pub(super) fn contains(&self, token: Token) -> bool {
        self.pings.contains_key(&token)
    }

    /// Counts a `PING`. Each answer is buffered until the client reads it, so the number of `PING`s must be bounded.
    ///
    /// # Errors
    /// If the client has already sent [`MAX_PINGS`] of them, or its connection is not in this table.
    pub(super) fn count_ping(&mut self, token: Token) -> Result<(), TooManyPings> {
        match self.pings.get_mut(&token) {
            Some(pings) if *pings < MAX_PINGS => {
                *pings += 1;
                Ok(())
            }
            _ => Err(TooManyPings),
        }
    }

    /// Iterates over all connections, in arbitrary order.
    pub(super) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.pings.keys().copied()
    }

    /// Whether there is no such client.
    pub(super) fn is_empty(&self) -> bool {
        self.pings.is_empty()
    }
}

#[cfg(test)]
mod tests;

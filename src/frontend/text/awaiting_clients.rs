//! Clients that have connected and sent no request yet.

use crate::net::Token;
use std::collections::HashMap;

/// A client may send this many `PING`s on one connection.
const MAX_PINGS: u32 = 8;

/// The client has sent more `PING`s than it may.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct TooManyPings;

/// The connections on which a request line is awaited.
#[derive(Default)]
pub(super) struct AwaitingClients {
    /// How many `PING`s each has sent.
    pings: HashMap<Token, u32>,
}

impl AwaitingClients {
    /// A client has connected, or was inherited after so many `PING`s.
    pub(super) fn insert(&mut self, token: Token, pings: u32) {
        self.pings.insert(token, pings);
    }

    /// The client has sent its request, or its connection is over. Yields its `PING`s.
    pub(super) fn remove(&mut self, token: Token) -> Option<u32> {
        self.pings.remove(&token)
    }

    /// Whether this connection is one of them.
    pub(super) fn contains(&self, token: Token) -> bool {
        self.pings.contains_key(&token)
    }

    /// Counts a `PING`. Each answer is buffered until it is read, so a flood of them must be bounded.
    ///
    /// # Errors
    /// Where the client has sent too many.
    pub(super) fn count_ping(&mut self, token: Token) -> Result<(), TooManyPings> {
        match self.pings.get_mut(&token) {
            Some(pings) if *pings < MAX_PINGS => {
                *pings += 1;
                Ok(())
            }
            _ => Err(TooManyPings),
        }
    }

    /// All connections, in no order.
    pub(super) fn tokens(&self) -> impl Iterator<Item = Token> + '_ {
        self.pings.keys().copied()
    }

    /// Whether there is none.
    pub(super) fn is_empty(&self) -> bool {
        self.pings.is_empty()
    }
}

#[cfg(test)]
mod tests;

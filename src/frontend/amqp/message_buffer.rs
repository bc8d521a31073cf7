//! The octets of messages that are buffered, in total and for each client, and which clients may add to them.
//!
//! All clients share one limit. A client that holds little is read even when the limit is reached, so that no client
//! can stop the others by what it holds itself. This module performs no I/O.

use super::client_octets::{ClientOctets, LargestClient};
use crate::net::Token;

/// A client that holds fewer octets than this is always read.
const MIN_CLIENT_BYTES: usize = 4 * 1024;
/// The part of the limit by which clients that hold little may exceed it together.
const RESERVE_DIVISOR: usize = 16;

/// The numbers of buffered octets.
#[derive(Default)]
pub struct MessageBuffer {
    octets: ClientOctets,
    peak: usize,
}

impl MessageBuffer {
    /// Adds octets that a client has sent.
    pub fn add(&mut self, client: Token, octets: usize) {
        self.octets.add(client, octets);
        self.peak = self.peak.max(self.total());
    }

    /// Subtracts octets of a client that are no longer needed.
    pub fn subtract(&mut self, client: Token, octets: usize) {
        self.octets.subtract(client, octets);
    }

    /// Counts octets for another connection: the one on which their delivery was resumed.
    pub fn move_to(&mut self, from: Token, to: Token, octets: usize) {
        self.subtract(from, octets);
        self.add(to, octets);
    }

    /// The octets of all messages.
    pub fn total(&self) -> usize {
        self.octets.total()
    }

    /// The peak of [`MessageBuffer::total`].
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// The octets of a client's messages.
    pub fn of_client(&self, client: Token) -> usize {
        self.octets.of_client(client)
    }

    /// The client that holds the most octets; among equals, the one with the lowest token.
    pub fn largest_client(&self) -> Option<LargestClient> {
        self.octets.largest_client()
    }

    /// Whether a client holds so little that it is read, and granted credit, whatever the others hold.
    pub fn holds_little(&self, client: Token) -> bool {
        self.of_client(client) < MIN_CLIENT_BYTES
    }

    /// Whether more octets may be taken from a client. Below `max_bytes` in total they are taken from all clients.
    /// Above, a client may hold as much as is left of a reserve, which shrinks as it is used, and
    /// [`MIN_CLIENT_BYTES`] in any case.
    pub fn may_receive(&self, client: Token, max_bytes: usize) -> bool {
        self.total() < max_bytes
            || self.holds_little(client)
            || self.of_client(client) < self.remaining_reserve(max_bytes)
    }

    /// Whether a client that was not read for lack of memory is read again. A client that holds much waits until a
    /// quarter of `max_bytes` is free, so that reading does not stop again with each frame.
    pub fn may_resume(&self, client: Token, max_bytes: usize) -> bool {
        self.total() < resume_threshold(max_bytes)
            || self.holds_little(client)
            || self.of_client(client) < self.remaining_reserve(max_bytes) / 2
    }

    /// The number of octets up to the end of the reserve, which follows `max_bytes`.
    fn remaining_reserve(&self, max_bytes: usize) -> usize {
        (max_bytes + max_bytes / RESERVE_DIVISOR).saturating_sub(self.total())
    }
}

/// The total below which clients that hold much are read again.
pub fn resume_threshold(max_bytes: usize) -> usize {
    max_bytes / 4 * 3
}

#[cfg(test)]
mod tests;

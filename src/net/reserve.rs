//! The descriptor reserve: descriptors that no shortage takes from their connections.

use super::slab::Token;
use std::collections::VecDeque;

/// Descriptors that are set aside, and the connections that use them.
#[derive(Default)]
pub(super) struct DescriptorReserve {
    size: usize,
    /// Connections on reserved descriptors, the longest idle first.
    holders: VecDeque<Token>,
}

impl DescriptorReserve {
    /// Sets this many more descriptors aside.
    pub(super) fn enlarge(&mut self, descriptors: usize) {
        self.size += descriptors;
    }

    /// Whether no connection uses it.
    pub(super) fn is_unused(&self) -> bool {
        self.holders.is_empty()
    }

    /// A connection takes a reserved descriptor.
    pub(super) fn add(&mut self, token: Token) {
        self.holders.push_back(token);
    }

    /// A connection gives its descriptor back.
    pub(super) fn remove(&mut self, token: Token) {
        self.holders.retain(|holder| *holder != token);
    }

    /// A connection has received bytes: it is the last to be evicted.
    pub(super) fn mark_active(&mut self, token: Token) {
        self.remove(token);
        self.add(token);
    }

    /// Where no descriptor is left, takes the longest idle connection out.
    pub(super) fn pop_excess(&mut self) -> Option<Token> {
        if self.holders.len() >= self.size {
            self.holders.pop_front()
        } else {
            None
        }
    }

    /// The descriptors that count as taken where this many are open: all that are set aside, and all in use beside
    /// them.
    pub(super) fn committed(&self, open: usize) -> usize {
        open - self.holders.len() + self.size
    }
}

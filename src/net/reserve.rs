//! Reserved descriptors, which a shortage of descriptors does not affect.

use super::slab::Token;
use std::collections::VecDeque;

/// The number of reserved descriptors, and the connections that use them.
#[derive(Default)]
pub(super) struct DescriptorReserve {
    size: usize,
    /// Connections on reserved descriptors, ordered by last activity, the longest idle first.
    holders: VecDeque<Token>,
}

impl DescriptorReserve {
    /// Increases the number of reserved descriptors by `descriptors`.
    pub(super) fn grow(&mut self, descriptors: usize) {
        self.size += descriptors;
    }

    /// Whether no connection uses a reserved descriptor.
    pub(super) fn is_unused(&self) -> bool {
        self.holders.is_empty()
    }

    /// Adds a connection that uses a reserved descriptor.
    pub(super) fn add(&mut self, token: Token) {
        self.holders.push_back(token);
    }

    /// Removes a connection, which frees its reserved descriptor.
    pub(super) fn remove(&mut self, token: Token) {
        self.holders.retain(|holder| *holder != token);
    }

    /// Records that a connection has received bytes, which makes it the last in the eviction order.
    pub(super) fn mark_active(&mut self, token: Token) {
        self.remove(token);
        self.add(token);
    }

    /// Removes and returns the longest idle connection if all reserved descriptors are in use.
    pub(super) fn pop_longest_idle_if_full(&mut self) -> Option<Token> {
        if self.holders.len() >= self.size {
            self.holders.pop_front()
        } else {
            None
        }
    }

    /// Number of descriptors that are unavailable to others when `open` descriptors are open: the whole
    /// reserve, used or not, and all open descriptors outside it.
    pub(super) fn committed(&self, open: usize) -> usize {
        open - self.holders.len() + self.size
    }
}

//! Weighted rendezvous hashing: every node ranks the servers alike for the same seed.

use crate::random::{mix64, unit_interval};

/// The rank of a server in the order that a seed draws; low ranks come first, and large weights tend to have them.
pub fn rendezvous_rank(seed: u64, name_hash: u64, weight: f64) -> f64 {
    -unit_interval(mix64(seed ^ name_hash)).ln() / weight
}

/// An item and its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked<T> {
    /// The item's rank.
    pub rank: f64,
    /// The item.
    pub item: T,
}

/// Keeps the items of the lowest ranks, in their order. Of equal ranks the first one added comes first.
#[derive(Clone, Debug)]
pub struct LowestRanks<T> {
    entries: Vec<Ranked<T>>,
    limit: usize,
}

impl<T> LowestRanks<T> {
    /// Keeps at most `limit` items.
    pub fn new(limit: usize) -> LowestRanks<T> {
        LowestRanks { entries: Vec::with_capacity(limit + 1), limit }
    }

    /// Adds an item, if its rank is among the lowest.
    pub fn insert(&mut self, rank: f64, item: T) {
        let position = self.entries.partition_point(|entry| entry.rank <= rank);
        if position < self.limit {
            self.entries.insert(position, Ranked { rank, item });
            self.entries.truncate(self.limit);
        }
    }

    /// The items, the lowest rank first.
    pub fn into_entries(self) -> Vec<Ranked<T>> {
        self.entries
    }
}

#[cfg(test)]
mod tests;

//! Weighted rendezvous hashing: for the same seed, all nodes rank the servers in the same order.

use crate::random::{mix64, unit_interval};

/// Returns the rank of a server for a seed. Lower ranks come first; a larger weight makes a low rank more likely.
pub fn rendezvous_rank(seed: u64, name_hash: u64, weight: f64) -> f64 {
    -unit_interval(mix64(seed ^ name_hash)).ln() / weight
}

/// An item and its rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked<T> {
    /// The rank; lower ones come first.
    pub rank: f64,
    /// The ranked item, such as the id of a server.
    pub item: T,
}

/// A bounded list of the items with the lowest ranks, ordered by rank. Items of equal rank keep the order of insertion.
#[derive(Clone, Debug)]
pub struct LowestRanks<T> {
    entries: Vec<Ranked<T>>,
    limit: usize,
}

impl<T> LowestRanks<T> {
    /// Creates an empty list that keeps at most `limit` items.
    pub fn new(limit: usize) -> LowestRanks<T> {
        LowestRanks { entries: Vec::with_capacity(limit + 1), limit }
    }

    /// Creates the list of the at most `limit` items with the lowest ranks.
    pub fn collect(limit: usize, items: Vec<T>, rank: impl Fn(&T) -> f64) -> LowestRanks<T> {
        let mut lowest = LowestRanks::new(limit);
        for item in items {
            lowest.insert(rank(&item), item);
        }
        lowest
    }

    /// Adds an item if its rank is among the lowest.
    pub fn insert(&mut self, rank: f64, item: T) {
        let position = self.entries.partition_point(|entry| entry.rank <= rank);
        if position < self.limit {
            self.entries.insert(position, Ranked { rank, item });
            self.entries.truncate(self.limit);
        }
    }

    /// Returns the items, lowest rank first.
    pub fn into_entries(self) -> Vec<Ranked<T>> {
        self.entries
    }
}

/// Retains only the preferred items, if there are any.
pub fn retain_preferred<T>(items: &mut Vec<T>, is_preferred: impl Fn(&T) -> bool) {
    if items.iter().any(&is_preferred) {
        items.retain(is_preferred);
    }
}

#[cfg(test)]
mod tests;

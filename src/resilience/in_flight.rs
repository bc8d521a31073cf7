//! The attempts and connections that a node has in flight at one server, and their groups.

use crate::model::RequestId;
use std::collections::{BTreeMap, BTreeSet};

/// The requests in flight at one server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InFlight {
    requests: BTreeSet<RequestId>,
    /// The number of requests in flight of each group. A group is removed with its last request.
    groups: BTreeMap<u64, u32>,
}

impl InFlight {
    /// Adds a request that is sent to the server. `group` is the group of the request, if it has one.
    pub fn insert(&mut self, id: RequestId, group: Option<u64>) {
        self.requests.insert(id);
        if let Some(group) = group {
            *self.groups.entry(group).or_default() += 1;
        }
    }

    /// Removes a request, which must have the same group as when it was added. Returns true if it was in flight.
    pub fn remove(&mut self, id: RequestId, group: Option<u64>) -> bool {
        if !self.requests.remove(&id) {
            return false;
        }
        let Some(group) = group else { return true };
        if let Some(count) = self.groups.get_mut(&group) {
            *count -= 1;
            if *count == 0 {
                self.groups.remove(&group);
            }
        }
        true
    }

    /// The number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The requests in flight, ordered by id.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.iter().copied()
    }

    /// Returns the number of groups at the server if one more request of this group were added.
    pub fn groups_with(&self, group: Option<u64>) -> usize {
        let is_new = group.is_some_and(|group| !self.groups.contains_key(&group));
        self.groups.len() + usize::from(is_new)
    }
}

#[cfg(test)]
mod tests;

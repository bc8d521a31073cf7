//! A request queue that is fair between clients. There is one for each class at each server.

use crate::frontend::amqp::fast_map::FastHashMap;
use crate::model::RequestId;
use crate::net::Token;
use std::collections::VecDeque;

/// Requests that wait for a server's links of one class. Clients are served in round-robin order, so that many
/// deliveries of one client do not delay a single delivery of another.
#[derive(Default)]
pub struct FairQueue {
    /// The clients with waiting requests, in the order in which they are served next.
    round_robin: VecDeque<Token>,
    /// The requests of each client, oldest first. No queue in the map is empty.
    by_client: FastHashMap<Token, VecDeque<RequestId>>,
    len: usize,
}

impl FairQueue {
    /// Appends a request to its client's queue.
    pub fn push(&mut self, client: Token, request_id: RequestId) {
        let queue = self.by_client.entry(client).or_default();
        if queue.is_empty() {
            self.round_robin.push_back(client);
        }
        queue.push_back(request_id);
        self.len += 1;
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let client = self.round_robin.pop_front()?;
        let queue = self.by_client.get_mut(&client)?;
        let request_id = queue.pop_front();
        if queue.is_empty() {
            self.by_client.remove(&client);
        } else {
            self.round_robin.push_back(client);
        }
        self.len -= usize::from(request_id.is_some());
        request_id
    }

    /// Removes and returns the next request that matches, in the order of [`FairQueue::pop`].
    pub fn pop_where(&mut self, is_match: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        let found = self.round_robin.iter().find_map(|client| {
            let queue = self.by_client.get(client)?;
            queue.iter().find(|request_id| is_match(**request_id)).map(|request_id| (*client, *request_id))
        });
        let (client, request_id) = found?;
        self.remove(client, request_id);
        if self.by_client.contains_key(&client) {
            self.round_robin.retain(|waiting| *waiting != client);
            self.round_robin.push_back(client);
        }
        Some(request_id)
    }

    /// Removes a request from any position in its client's queue.
    pub fn remove(&mut self, client: Token, request_id: RequestId) {
        let Some(queue) = self.by_client.get_mut(&client) else { return };
        let before = queue.len();
        queue.retain(|waiting| *waiting != request_id);
        self.len -= before - queue.len();
        if queue.is_empty() {
            self.by_client.remove(&client);
            self.round_robin.retain(|waiting| *waiting != client);
        }
    }

    /// Whether no requests are waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Removes all requests and returns them in the order in which they would have been served.
    pub fn drain(&mut self) -> Vec<RequestId> {
        std::iter::from_fn(|| self.pop()).collect()
    }
}

#[cfg(test)]
mod tests;

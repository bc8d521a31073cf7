//! One-shot deliveries that are not answered yet: what has come of each, and where its attempt is.

use crate::net::Token;
use crate::vocabulary::{Nanos, RequestId, ServerId};
use sparbank_amqp::{Head, LinkId, Tag};
use std::collections::HashMap;

pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A delivery that is not answered yet.
pub struct Item {
    /// Where it came from, and where its answer goes.
    pub client: Token,
    pub link: LinkId,
    pub delivery: u32,
    pub tag: Tag,
    /// Its link is there to take the answer.
    pub attached: bool,
    pub class: usize,
    pub head: Head,
    /// What has come of it, from `base` on.
    pub bytes: Vec<u8>,
    /// Octets of it that were let go: it cannot be sent again from its start.
    pub base: usize,
    /// Its last part has come.
    pub whole: bool,
    pub task: Option<Task>,
}

/// The attempt of a delivery.
pub struct Task {
    pub server: ServerId,
    pub until: Nanos,
    pub stage: Stage,
}

/// How far an attempt is.
pub enum Stage {
    /// No byte has gone out: it never ran.
    Queued,
    /// A part has: it can be aborted, and then never ran. `at` octets of the message have gone.
    Sending { token: Token, link: LinkId, id: u32, at: usize },
    /// All has, or will have once the connection has written up to `end`: it may run.
    Sent { token: Token, link: LinkId, id: u32, end: u64 },
}

impl Item {
    /// Whether it can be sent from its start.
    pub fn is_repeatable(&self) -> bool {
        self.base == 0
    }
}

/// All of them, and the octets they hold together.
#[derive(Default)]
pub struct Items {
    map: Map<RequestId, Item>,
    held: usize,
    /// The most that was held at one time.
    pub most_held: usize,
}

impl Items {
    pub fn insert(&mut self, request_id: RequestId, item: Item) {
        self.count(item.bytes.len());
        self.map.insert(request_id, item);
    }

    pub fn get(&self, request_id: RequestId) -> Option<&Item> {
        self.map.get(&request_id)
    }

    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut Item> {
        self.map.get_mut(&request_id)
    }

    pub fn remove(&mut self, request_id: RequestId) -> Option<Item> {
        let item = self.map.remove(&request_id)?;
        self.held -= item.bytes.len();
        Some(item)
    }

    /// More of a delivery has come.
    pub fn extend(&mut self, request_id: RequestId, bytes: &[u8], last: bool) -> Option<&Item> {
        let item = self.map.get_mut(&request_id)?;
        item.bytes.extend_from_slice(bytes);
        item.whole |= last;
        self.held += bytes.len();
        self.most_held = self.most_held.max(self.held);
        self.map.get(&request_id)
    }

    /// What has gone out of a delivery larger than `keep` is let go.
    pub fn let_go(&mut self, request_id: RequestId, keep: usize) {
        let Some(item) = self.map.get_mut(&request_id) else { return };
        let Some(Task { stage: Stage::Sending { at, .. }, .. }) = item.task else { return };
        if item.base + item.bytes.len() <= keep {
            return;
        }
        let gone = (at - item.base).min(item.bytes.len());
        if gone >= item.bytes.len() / 2 {
            item.bytes.drain(..gone);
            item.base += gone;
            self.held -= gone;
        }
    }

    /// Octets held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Octets that are gathered outside a request.
    pub fn count(&mut self, octets: usize) {
        self.held += octets;
        self.most_held = self.most_held.max(self.held);
    }

    pub fn uncount(&mut self, octets: usize) {
        self.held -= octets;
    }

    /// Requests whose attempt at one of these servers has not gone whole, in order.
    pub fn unsent(&self, servers: &[ServerId]) -> Vec<RequestId> {
        let unsent =
            |task: &Task| servers.contains(&task.server) && !matches!(task.stage, Stage::Sent { .. });
        let mut found: Vec<RequestId> = self
            .map
            .iter()
            .filter(|(_, item)| item.task.as_ref().is_some_and(unsent))
            .map(|(request_id, _)| *request_id)
            .collect();
        found.sort_unstable();
        found
    }
}

/// Who waits for a server's links of one class: clients take turns, so that no one's many deliveries
/// hold up another's one.
#[derive(Default)]
pub struct Turns {
    order: std::collections::VecDeque<Token>,
    waiting: Map<Token, std::collections::VecDeque<RequestId>>,
    len: usize,
}

impl Turns {
    pub fn push(&mut self, client: Token, request_id: RequestId) {
        let queue = self.waiting.entry(client).or_default();
        if queue.is_empty() {
            self.order.push_back(client);
        }
        queue.push_back(request_id);
        self.len += 1;
    }

    pub fn pop(&mut self) -> Option<RequestId> {
        let client = self.order.pop_front()?;
        let queue = self.waiting.get_mut(&client)?;
        let request_id = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&client);
        } else {
            self.order.push_back(client);
        }
        self.len -= usize::from(request_id.is_some());
        request_id
    }

    pub fn remove(&mut self, client: Token, request_id: RequestId) {
        let Some(queue) = self.waiting.get_mut(&client) else { return };
        let before = queue.len();
        queue.retain(|waiting| *waiting != request_id);
        self.len -= before - queue.len();
        if queue.is_empty() {
            self.waiting.remove(&client);
            self.order.retain(|waiting| *waiting != client);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All that waits, in the order of its turns.
    pub fn drain(&mut self) -> Vec<RequestId> {
        std::iter::from_fn(|| self.pop()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::token_for_tests as token;

    #[test]
    fn one_clients_many_deliveries_do_not_hold_up_anothers_one() {
        let mut turns = Turns::default();
        (0..5).for_each(|n| turns.push(token(1), RequestId(n)));
        turns.push(token(2), RequestId(10));
        turns.push(token(3), RequestId(20));
        turns.remove(token(3), RequestId(20));
        turns.remove(token(1), RequestId(1));
        let order: Vec<u64> = turns.drain().into_iter().map(|request_id| request_id.0).collect();
        assert_eq!(order, [0, 10, 2, 3, 4]);
        assert!(turns.is_empty() && turns.pop().is_none());
    }
}

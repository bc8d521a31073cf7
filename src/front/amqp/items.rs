//! One-shot deliveries that are not answered yet: what has come of each, and where its routed task is.

use crate::interface::{Nanos, RequestId, ServerId};
use crate::net::Token;
use sparbank_amqp::{Head, LinkId, Tag};
use std::collections::HashMap;

pub type Map<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A delivery that is not answered yet.
pub struct Item {
    /// Where it came from, and where its answer goes.
    pub terminal: Token,
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

/// The routed task of a delivery.
pub struct Task {
    pub region: ServerId,
    pub until: Nanos,
    pub stage: Stage,
}

/// How far a routed task is.
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
    pub fn insert(&mut self, txn: RequestId, item: Item) {
        self.count(item.bytes.len());
        self.map.insert(txn, item);
    }

    pub fn get(&self, txn: RequestId) -> Option<&Item> {
        self.map.get(&txn)
    }

    pub fn get_mut(&mut self, txn: RequestId) -> Option<&mut Item> {
        self.map.get_mut(&txn)
    }

    pub fn remove(&mut self, txn: RequestId) -> Option<Item> {
        let item = self.map.remove(&txn)?;
        self.held -= item.bytes.len();
        Some(item)
    }

    /// More of a delivery has come.
    pub fn extend(&mut self, txn: RequestId, bytes: &[u8], last: bool) -> Option<&Item> {
        let item = self.map.get_mut(&txn)?;
        item.bytes.extend_from_slice(bytes);
        item.whole |= last;
        self.held += bytes.len();
        self.most_held = self.most_held.max(self.held);
        self.map.get(&txn)
    }

    /// What has gone out of a delivery larger than `keep` is let go.
    pub fn let_go(&mut self, txn: RequestId, keep: usize) {
        let Some(item) = self.map.get_mut(&txn) else { return };
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

    /// Octets that are gathered outside a transaction.
    pub fn count(&mut self, octets: usize) {
        self.held += octets;
        self.most_held = self.most_held.max(self.held);
    }

    pub fn uncount(&mut self, octets: usize) {
        self.held -= octets;
    }

    /// Transactions whose routed task at one of these regions has not gone whole, in order.
    pub fn unsent(&self, regions: &[ServerId]) -> Vec<RequestId> {
        let unsent =
            |task: &Task| regions.contains(&task.region) && !matches!(task.stage, Stage::Sent { .. });
        let mut found: Vec<RequestId> = self
            .map
            .iter()
            .filter(|(_, item)| item.task.as_ref().is_some_and(unsent))
            .map(|(txn, _)| *txn)
            .collect();
        found.sort_unstable();
        found
    }
}

/// Who waits for a region's links of one class: terminals take turns, so that no one's many deliveries
/// hold up another's one.
#[derive(Default)]
pub struct Turns {
    order: std::collections::VecDeque<Token>,
    waiting: Map<Token, std::collections::VecDeque<RequestId>>,
    len: usize,
}

impl Turns {
    pub fn push(&mut self, terminal: Token, txn: RequestId) {
        let queue = self.waiting.entry(terminal).or_default();
        if queue.is_empty() {
            self.order.push_back(terminal);
        }
        queue.push_back(txn);
        self.len += 1;
    }

    pub fn pop(&mut self) -> Option<RequestId> {
        let terminal = self.order.pop_front()?;
        let queue = self.waiting.get_mut(&terminal)?;
        let txn = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&terminal);
        } else {
            self.order.push_back(terminal);
        }
        self.len -= usize::from(txn.is_some());
        txn
    }

    pub fn remove(&mut self, terminal: Token, txn: RequestId) {
        let Some(queue) = self.waiting.get_mut(&terminal) else { return };
        let before = queue.len();
        queue.retain(|waiting| *waiting != txn);
        self.len -= before - queue.len();
        if queue.is_empty() {
            self.waiting.remove(&terminal);
            self.order.retain(|waiting| *waiting != terminal);
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
    use crate::net::tests_token as token;

    #[test]
    fn one_terminals_many_deliveries_do_not_hold_up_anothers_one() {
        let mut turns = Turns::default();
        (0..5).for_each(|n| turns.push(token(1), RequestId(n)));
        turns.push(token(2), RequestId(10));
        turns.push(token(3), RequestId(20));
        turns.remove(token(3), RequestId(20));
        turns.remove(token(1), RequestId(1));
        let order: Vec<u64> = turns.drain().into_iter().map(|txn| txn.0).collect();
        assert_eq!(order, [0, 10, 2, 3, 4]);
        assert!(turns.is_empty() && turns.pop().is_none());
    }
}

//! What is remembered of deliveries whose link may come again (part 2, sections 2.6.5 and 2.6.13), so that
//! none is run twice: those that still run, and how those ended that were answered. Sans I/O.
//!
//! A link goes by its peer's container, its user and its name. One whose target asks for a time-out is
//! remembered from its attach on; any other only from a detach that does not close it, and only as long
//! as its connection lasts.

use super::items::Map;
use crate::net::Token;
use crate::vocabulary::{Nanos, RequestId};
use sparbank_amqp::{State, Tag};
use std::collections::{HashSet, VecDeque};

/// A link's name among all peers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    pub container: String,
    pub user: Option<String>,
    pub name: String,
}

/// What became of a delivery.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// It is a request that is not answered yet.
    Runs(RequestId),
    /// It was answered with this.
    Ended(State),
}

struct Memory {
    /// The connection that the link is on or was on last.
    token: Token,
    attached: bool,
    fates: Map<Tag, Fate>,
    /// Those that ended, oldest first.
    ended: VecDeque<Tag>,
    /// How long it is kept after its link is gone; 0: as long as its connection lasts.
    timeout: Nanos,
    expires: Option<Nanos>,
}

/// The bounds.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Links that are remembered.
    pub links: usize,
    /// Ended deliveries that are remembered of each.
    pub ended: usize,
    /// The longest time-out.
    pub timeout: Nanos,
}

/// All that is remembered.
#[derive(Default)]
pub struct Recovery {
    links: Map<Key, Memory>,
    runs: Map<RequestId, (Key, Tag)>,
    /// Links that came again.
    pub resumed: u64,
}

/// What a link finds when it attaches.
#[derive(Debug, Default, PartialEq)]
pub struct Found {
    /// The deliveries that the peer asks about and that are known, with their client state or none.
    pub known: Vec<(Tag, Option<State>)>,
    /// The deliveries that the peer asks about while nothing at all is known of its link: whether they ran
    /// cannot be told.
    pub unknown: HashSet<Tag>,
    /// Requests that the peer does not ask about any more.
    pub forgotten: Vec<RequestId>,
}

impl Recovery {
    /// A link attaches; `asked` are the tags of the peer's unsettled map. A time-out in nanoseconds has it
    /// remembered from now on.
    pub fn attach(
        &mut self,
        bounds: Bounds,
        key: &Key,
        token: Token,
        timeout: Nanos,
        asked: &[Tag],
    ) -> Found {
        let mut found = Found::default();
        let timeout = timeout.min(bounds.timeout);
        match self.links.get_mut(key) {
            Some(memory) => {
                self.resumed += u64::from(!memory.attached);
                (memory.token, memory.attached, memory.expires) = (token, true, None);
                memory.timeout = timeout;
                for tag in asked {
                    match memory.fates.get(tag) {
                        Some(Fate::Ended(state)) => found.known.push((*tag, Some(state.clone()))),
                        Some(Fate::Runs(_)) => found.known.push((*tag, None)),
                        None => {}
                    }
                }
                let asked: HashSet<Tag> = asked.iter().copied().collect();
                memory.fates.retain(|tag, fate| {
                    if let (Fate::Runs(request_id), false) = (&fate, asked.contains(tag)) {
                        found.forgotten.push(*request_id);
                    }
                    asked.contains(tag)
                });
                memory.ended.retain(|tag| asked.contains(tag));
                found.forgotten.sort_unstable();
            }
            None => {
                found.unknown = asked.iter().take(bounds.ended).copied().collect();
                if timeout > 0 {
                    self.remember(bounds, key, token, timeout);
                }
            }
        }
        for request_id in &found.forgotten {
            self.runs.remove(request_id);
        }
        found
    }

    fn remember(&mut self, bounds: Bounds, key: &Key, token: Token, timeout: Nanos) -> bool {
        if self.links.len() >= bounds.links {
            return false;
        }
        let (fates, ended) = (Map::default(), VecDeque::new());
        let memory = Memory { token, attached: true, fates, ended, timeout, expires: None };
        self.links.insert(key.clone(), memory);
        true
    }

    /// Whether a link is remembered.
    pub fn knows(&self, key: &Key) -> bool {
        self.links.contains_key(key)
    }

    /// What became of a delivery on a link.
    pub fn fate(&self, key: &Key, tag: &Tag) -> Option<&Fate> {
        self.links.get(key)?.fates.get(tag)
    }

    /// A delivery on a link that is remembered is a request.
    pub fn runs(&mut self, key: &Key, tag: Tag, request_id: RequestId) {
        if let Some(memory) = self.links.get_mut(key) {
            memory.fates.insert(tag, Fate::Runs(request_id));
            self.runs.insert(request_id, (key.clone(), tag));
        }
    }

    /// A request has its answer.
    pub fn ended(&mut self, bounds: Bounds, request_id: RequestId, state: &State) {
        let Some((key, tag)) = self.runs.remove(&request_id) else { return };
        let Some(memory) = self.links.get_mut(&key) else { return };
        memory.fates.insert(tag, Fate::Ended(state.clone()));
        memory.ended.push_back(tag);
        while memory.ended.len() > bounds.ended {
            if let Some(oldest) = memory.ended.pop_front() {
                memory.fates.remove(&oldest);
            }
        }
    }

    /// A request is of no interest any more.
    pub fn left(&mut self, request_id: RequestId) {
        if let Some((key, tag)) = self.runs.remove(&request_id) {
            if let Some(memory) = self.links.get_mut(&key) {
                memory.fates.remove(&tag);
            }
        }
    }

    /// A link is detached and not closed: it may come again. False where there is no room to remember it.
    pub fn suspend(&mut self, bounds: Bounds, key: &Key, token: Token, now: Nanos) -> bool {
        if !self.knows(key) && !self.remember(bounds, key, token, 0) {
            return false;
        }
        if let Some(memory) = self.links.get_mut(key) {
            memory.attached = false;
            memory.expires = (memory.timeout > 0).then_some(now + memory.timeout);
        }
        true
    }

    /// A connection is gone. Gives the requests that nobody can ask about any more.
    pub fn lost(&mut self, token: Token, now: Nanos) -> Vec<RequestId> {
        let mut gone = Vec::new();
        for (key, memory) in &mut self.links {
            if memory.token == token {
                memory.attached = false;
                memory.expires.get_or_insert(now + memory.timeout);
                if memory.timeout == 0 {
                    gone.push(key.clone());
                }
            }
        }
        self.forget_all(gone)
    }

    /// A link is closed, or its time is over. Gives the requests that nobody can ask about any more.
    pub fn forget(&mut self, key: &Key) -> Vec<RequestId> {
        self.forget_all(vec![key.clone()])
    }

    /// What has expired by now.
    pub fn expire(&mut self, now: Nanos) -> Vec<RequestId> {
        let over = |m: &Memory| !m.attached && m.expires.is_some_and(|at| at <= now);
        let over = self.links.iter().filter(|(_, m)| over(m)).map(|(key, _)| key.clone()).collect();
        self.forget_all(over)
    }

    fn forget_all(&mut self, mut keys: Vec<Key>) -> Vec<RequestId> {
        keys.sort_unstable();
        let mut left = Vec::new();
        for key in keys {
            let Some(memory) = self.links.remove(&key) else { continue };
            for fate in memory.fates.into_values() {
                if let Fate::Runs(request_id) = fate {
                    self.runs.remove(&request_id);
                    left.push(request_id);
                }
            }
        }
        left.sort_unstable();
        left
    }

    /// Links that are remembered.
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::token_for_tests as token;

    const BOUNDS: Bounds = Bounds { links: 2, ended: 3, timeout: 1000 };

    fn key(name: &str) -> Key {
        Key { container: "c".into(), user: None, name: name.into() }
    }

    fn tag(n: u8) -> Tag {
        Tag::new(&[n]).expect("short")
    }

    #[test]
    fn a_link_that_comes_again_hears_what_became_of_its_deliveries() {
        let mut recovery = Recovery::default();
        let link = key("a");
        assert_eq!(recovery.attach(BOUNDS, &link, token(1), 500, &[]), Found::default());
        for n in 0..3 {
            recovery.runs(&link, tag(n), RequestId(u64::from(n)));
        }
        recovery.ended(BOUNDS, RequestId(0), &State::Accepted);
        assert!(recovery.lost(token(1), 100).is_empty(), "its time has not come");
        assert!(recovery.expire(599).is_empty());
        let found = recovery.attach(BOUNDS, &link, token(2), 500, &[tag(0), tag(1), tag(9)]);
        assert_eq!(found.known, [(tag(0), Some(State::Accepted)), (tag(1), None)]);
        assert_eq!((found.unknown.len(), found.forgotten), (0, vec![RequestId(2)]));
        assert_eq!(recovery.fate(&link, &tag(9)), None, "it never came whole: it may run");
        // Lost again, and this time for good.
        recovery.lost(token(2), 700);
        assert_eq!(recovery.expire(1200), [RequestId(1)]);
        assert_eq!((recovery.len(), recovery.runs.len()), (0, 0));
        let found = recovery.attach(BOUNDS, &link, token(3), 500, &[tag(1)]);
        assert!(found.unknown.contains(&tag(1)), "nobody knows any more whether it ran");
    }

    #[test]
    fn what_is_remembered_is_bounded() {
        let mut recovery = Recovery::default();
        let link = key("a");
        recovery.attach(BOUNDS, &link, token(1), 9_999, &[]);
        for n in 0..10 {
            recovery.runs(&link, tag(n), RequestId(u64::from(n)));
            recovery.ended(BOUNDS, RequestId(u64::from(n)), &State::Released);
        }
        assert_eq!(recovery.links[&link].fates.len(), 3);
        assert_eq!(recovery.links[&link].timeout, 1000, "no longer than the node allows");
        recovery.attach(BOUNDS, &key("b"), token(1), 1, &[]);
        recovery.attach(BOUNDS, &key("c"), token(1), 1, &[]);
        assert!(!recovery.knows(&key("c")) && !recovery.suspend(BOUNDS, &key("c"), token(1), 0));
    }

    #[test]
    fn without_a_time_out_a_link_is_remembered_as_long_as_its_connection() {
        let mut recovery = Recovery::default();
        let link = key("a");
        recovery.attach(BOUNDS, &link, token(1), 0, &[]);
        assert!(!recovery.knows(&link));
        assert!(recovery.suspend(BOUNDS, &link, token(1), 5));
        recovery.runs(&link, tag(1), RequestId(7));
        assert!(recovery.expire(Nanos::MAX).is_empty());
        let found = recovery.attach(BOUNDS, &link, token(1), 0, &[tag(1)]);
        assert_eq!(found.known, [(tag(1), None)]);
        assert_eq!(recovery.lost(token(1), 9), [RequestId(7)]);
        assert!(!recovery.knows(&link));
    }
}

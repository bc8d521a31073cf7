//! Link recovery (standard, sections 2.6.5 and 2.6.13): the deliveries of links that may be resumed,
//! remembered so that none is run twice. Knows which still run and the states of those that are settled. Sans I/O.
//!
//! A link is identified by its peer's container, its user and its name. A link whose target requests a timeout is
//! remembered from its attach on. Any other link is remembered only after a detach that does not close it, and only
//! as long as its connection lasts.

use super::fast_map::FastHashMap;
use crate::model::RequestId;
use crate::net::Token;
use sparbank_amqp::{State, Tag};
use sparbank_time::MonotonicTime;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;

/// A link's identity across connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkKey {
    /// The peer's container id.
    pub container: String,
    /// The authenticated user; none for an anonymous peer.
    pub user: Option<String>,
    /// The link's name.
    pub name: String,
}

/// The state of a delivery on a remembered link.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryStatus {
    /// It is a request that is not answered yet.
    Running(RequestId),
    /// It was answered with this state.
    Settled(State),
}

struct RememberedLink {
    /// The connection that the link is on or was on last.
    token: Token,
    is_attached: bool,
    deliveries: FastHashMap<Tag, DeliveryStatus>,
    /// The tags of settled deliveries, oldest first.
    settled: VecDeque<Tag>,
    /// How long it is remembered after its link is lost; zero: as long as its connection lasts.
    timeout: Duration,
    expires_at: Option<MonotonicTime>,
}

/// Bounds on what is remembered.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// Links that are remembered at the same time.
    pub max_links: usize,
    /// Settled deliveries that are remembered of each link.
    pub max_settled_per_link: usize,
    /// The longest timeout.
    pub max_timeout: Duration,
}

/// All remembered links.
#[derive(Default)]
pub struct Recovery {
    links: FastHashMap<LinkKey, RememberedLink>,
    running: FastHashMap<RequestId, RunningDelivery>,
    resumed: u64,
}

/// The delivery of a running request.
struct RunningDelivery {
    link: LinkKey,
    tag: Tag,
}

/// What the node knows about a link's deliveries when it attaches.
#[derive(Debug, Default, PartialEq)]
pub struct ResumedLink {
    /// Deliveries of the peer's unsettled map that are known.
    pub known: Vec<KnownDelivery>,
    /// Deliveries of the peer's unsettled map while nothing at all is known of the link: whether they ran is
    /// unknown.
    pub unknown: HashSet<Tag>,
    /// Running requests whose deliveries are not in the peer's unsettled map any more.
    pub abandoned: Vec<RequestId>,
}

/// A delivery of a link that attaches again.
#[derive(Debug, PartialEq)]
pub struct KnownDelivery {
    /// Its tag.
    pub tag: Tag,
    /// Its state; none if it is not settled.
    pub state: Option<State>,
}

impl Recovery {
    /// A link attaches. `unsettled` are the tags of the peer's unsettled map. A timeout above zero has the link
    /// remembered from now on.
    pub fn attach(
        &mut self,
        limits: RecoveryLimits,
        key: &LinkKey,
        token: Token,
        timeout: Duration,
        unsettled: &[Tag],
    ) -> ResumedLink {
        let timeout = timeout.min(limits.max_timeout);
        let Some(link) = self.links.get_mut(key) else {
            if !timeout.is_zero() {
                self.remember(limits, key, token, timeout);
            }
            let unknown = unsettled.iter().take(limits.max_settled_per_link).copied().collect();
            return ResumedLink { unknown, ..ResumedLink::default() };
        };
        self.resumed += u64::from(!link.is_attached);
        link.token = token;
        link.is_attached = true;
        link.expires_at = None;
        link.timeout = timeout;
        let known = link.known_among(unsettled);
        let abandoned = link.retain_unsettled(unsettled);
        for request_id in &abandoned {
            self.running.remove(request_id);
        }
        ResumedLink { known, unknown: HashSet::new(), abandoned }
    }

    fn remember(&mut self, limits: RecoveryLimits, key: &LinkKey, token: Token, timeout: Duration) -> bool {
        if self.links.len() >= limits.max_links {
            return false;
        }
        let link = RememberedLink {
            token,
            is_attached: true,
            deliveries: FastHashMap::default(),
            settled: VecDeque::new(),
            timeout,
            expires_at: None,
        };
        self.links.insert(key.clone(), link);
        true
    }

    /// Whether a link is remembered.
    pub fn is_remembered(&self, key: &LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// The status of a delivery on a link.
    pub fn status(&self, key: &LinkKey, tag: &Tag) -> Option<&DeliveryStatus> {
        self.links.get(key)?.deliveries.get(tag)
    }

    /// A delivery on a remembered link has become a request.
    pub fn record_running(&mut self, key: &LinkKey, tag: Tag, request_id: RequestId) {
        if let Some(link) = self.links.get_mut(key) {
            link.deliveries.insert(tag, DeliveryStatus::Running(request_id));
            self.running.insert(request_id, RunningDelivery { link: key.clone(), tag });
        }
    }

    /// A request has its answer.
    pub fn record_settled(&mut self, limits: RecoveryLimits, request_id: RequestId, state: &State) {
        let Some(RunningDelivery { link, tag }) = self.running.remove(&request_id) else { return };
        let Some(link) = self.links.get_mut(&link) else { return };
        link.deliveries.insert(tag, DeliveryStatus::Settled(state.clone()));
        link.settled.push_back(tag);
        while link.settled.len() > limits.max_settled_per_link {
            if let Some(oldest) = link.settled.pop_front() {
                link.deliveries.remove(&oldest);
            }
        }
    }

    /// A request was abandoned: its delivery is forgotten.
    pub fn forget_request(&mut self, request_id: RequestId) {
        let Some(RunningDelivery { link, tag }) = self.running.remove(&request_id) else { return };
        if let Some(link) = self.links.get_mut(&link) {
            link.deliveries.remove(&tag);
        }
    }

    /// A link is detached and not closed: it may be resumed. False if there is no capacity to remember it.
    pub fn suspend(
        &mut self,
        limits: RecoveryLimits,
        key: &LinkKey,
        token: Token,
        now: MonotonicTime,
    ) -> bool {
        if !self.is_remembered(key) && !self.remember(limits, key, token, Duration::ZERO) {
            return false;
        }
        if let Some(link) = self.links.get_mut(key) {
            link.is_attached = false;
            link.expires_at = (!link.timeout.is_zero()).then_some(now + link.timeout);
        }
        true
    }

    /// A connection is lost. Returns the requests whose outcome nobody can request any more.
    pub fn on_connection_lost(&mut self, token: Token, now: MonotonicTime) -> Vec<RequestId> {
        let mut forgotten = Vec::new();
        for (key, link) in &mut self.links {
            if link.token == token {
                link.is_attached = false;
                link.expires_at.get_or_insert(now + link.timeout);
                if link.timeout.is_zero() {
                    forgotten.push(key.clone());
                }
            }
        }
        self.forget_links(forgotten)
    }

    /// A link is closed. Returns the requests whose outcome nobody can request any more.
    pub fn forget_link(&mut self, key: &LinkKey) -> Vec<RequestId> {
        self.forget_links(vec![key.clone()])
    }

    /// Forgets the links that have expired by now. Returns the requests whose outcome nobody can request any more.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        let expired = self.links.iter().filter(|(_, link)| link.is_expired(now));
        let expired = expired.map(|(key, _)| key.clone()).collect();
        self.forget_links(expired)
    }

    fn forget_links(&mut self, mut keys: Vec<LinkKey>) -> Vec<RequestId> {
        keys.sort_unstable();
        let mut abandoned = Vec::new();
        for key in keys {
            let Some(link) = self.links.remove(&key) else { continue };
            for status in link.deliveries.into_values() {
                if let DeliveryStatus::Running(request_id) = status {
                    self.running.remove(&request_id);
                    abandoned.push(request_id);
                }
            }
        }
        abandoned.sort_unstable();
        abandoned
    }

    /// How many links were resumed.
    pub fn resumed_links(&self) -> u64 {
        self.resumed
    }

    /// The number of remembered links.
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

impl RememberedLink {
    /// The known deliveries among these, in their order.
    fn known_among(&self, unsettled: &[Tag]) -> Vec<KnownDelivery> {
        let known = |tag: &Tag| {
            let state = match self.deliveries.get(tag)? {
                DeliveryStatus::Settled(state) => Some(state.clone()),
                DeliveryStatus::Running(_) => None,
            };
            Some(KnownDelivery { tag: *tag, state })
        };
        unsettled.iter().filter_map(known).collect()
    }

    /// Forgets all deliveries but these. Returns the requests that were running among the forgotten, in order.
    fn retain_unsettled(&mut self, unsettled: &[Tag]) -> Vec<RequestId> {
        let unsettled: HashSet<Tag> = unsettled.iter().copied().collect();
        let mut abandoned = Vec::new();
        self.deliveries.retain(|tag, status| {
            let retained = unsettled.contains(tag);
            if let (DeliveryStatus::Running(request_id), false) = (&status, retained) {
                abandoned.push(*request_id);
            }
            retained
        });
        self.settled.retain(|tag| unsettled.contains(tag));
        abandoned.sort_unstable();
        abandoned
    }

    fn is_expired(&self, now: MonotonicTime) -> bool {
        !self.is_attached && self.expires_at.is_some_and(|at| at <= now)
    }
}

#[cfg(test)]
mod tests;

//! Link recovery (AMQP 1.0, sections 2.6.5 and 2.6.13): remembers the deliveries of links that may be resumed, so that
//! no delivery is run twice. It records which deliveries are still running and the final states of the others. This
//! module performs no I/O.
//!
//! A link is identified by the container id of its peer, the authenticated user and the link name. A link whose target
//! requests a timeout is remembered from its attach on. Any other link is remembered only after a detach that does not
//! close it, and only as long as its connection lasts.

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
    /// The authenticated user; `None` for an anonymous peer.
    pub user: Option<String>,
    /// The link's name.
    pub name: String,
}

/// The status of a delivery on a remembered link.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryStatus {
    /// Its request has no final answer yet.
    Running(RequestId),
    /// It was settled with this state.
    Settled(State),
}

/// A link that may be resumed.
struct RememberedLink {
    /// The connection of the link, or its last connection if it is not attached.
    token: Token,
    is_attached: bool,
    deliveries: FastHashMap<Tag, DeliveryStatus>,
    /// The tags of settled deliveries, oldest first.
    settled: VecDeque<Tag>,
    /// How long it is remembered after it is lost. Zero means as long as its connection lasts.
    timeout: Duration,
    expires_at: Option<MonotonicTime>,
}

/// Limits on the memory used for link recovery.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// The maximum number of remembered links.
    pub max_links: usize,
    /// The maximum number of settled deliveries that are remembered for each link.
    pub max_settled_per_link: usize,
    /// Upper bound on the timeout of a link.
    pub max_timeout: Duration,
}

/// All remembered links and their deliveries.
#[derive(Default)]
pub struct Recovery {
    links: FastHashMap<LinkKey, RememberedLink>,
    running: FastHashMap<RequestId, RunningDelivery>,
    resumed_links: u64,
}

/// The delivery of a running request.
struct RunningDelivery {
    link: LinkKey,
    tag: Tag,
}

/// What is known about the deliveries of a link at the time of its attach.
#[derive(Debug, Default, PartialEq)]
pub struct ResumedLink {
    /// Deliveries in the peer's unsettled map that are remembered.
    pub known: Vec<KnownDelivery>,
    /// Deliveries in the peer's unsettled map, if the link is not remembered. They may have run.
    pub unknown_deliveries: HashSet<Tag>,
    /// Running requests whose deliveries are no longer in the peer's unsettled map.
    pub abandoned: Vec<RequestId>,
}

/// A remembered delivery of a link that is being resumed.
#[derive(Debug, PartialEq)]
pub struct KnownDelivery {
    /// Its delivery tag.
    pub tag: Tag,
    /// Its final state; `None` if it is not settled.
    pub state: Option<State>,
}

impl Recovery {
    /// Handles the attach of a link. `unsettled` holds the tags of the peer's unsettled map. If the timeout is above
    /// zero, the link is remembered from now on, provided that the limit on links allows it.
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
            let unknown_deliveries = unsettled.iter().take(limits.max_settled_per_link).copied().collect();
            return ResumedLink { unknown_deliveries, ..ResumedLink::default() };
        };
        self.resumed_links += u64::from(!link.is_attached);
        link.token = token;
        link.is_attached = true;
        link.expires_at = None;
        link.timeout = timeout;
        let known = link.known_among(unsettled);
        let abandoned = link.retain_unsettled(unsettled);
        for request_id in &abandoned {
            self.running.remove(request_id);
        }
        ResumedLink { known, unknown_deliveries: HashSet::new(), abandoned }
    }

    /// Starts to remember a link. Returns false if the limit on links is reached.
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

    /// Returns the status of a delivery, if it is remembered.
    pub fn status(&self, key: &LinkKey, tag: &Tag) -> Option<&DeliveryStatus> {
        self.links.get(key)?.deliveries.get(tag)
    }

    /// Records the request of a delivery on a remembered link.
    pub fn record_running(&mut self, key: &LinkKey, tag: Tag, request_id: RequestId) {
        if let Some(link) = self.links.get_mut(key) {
            link.deliveries.insert(tag, DeliveryStatus::Running(request_id));
            self.running.insert(request_id, RunningDelivery { link: key.clone(), tag });
        }
    }

    /// Records the final state of a request's delivery. Beyond the limit on settled deliveries, the oldest is
    /// forgotten.
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

    /// Forgets the delivery of an abandoned request.
    pub fn forget_request(&mut self, request_id: RequestId) {
        let Some(RunningDelivery { link, tag }) = self.running.remove(&request_id) else { return };
        if let Some(link) = self.links.get_mut(&link) {
            link.deliveries.remove(&tag);
        }
    }

    /// Handles a detach that does not close the link, so that it may be resumed. Returns false if the link cannot be
    /// remembered because the limit on links is reached.
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

    /// Handles the loss of a connection. Returns the running requests of the links that are forgotten with it: no
    /// client can obtain their outcome.
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

    /// Forgets a link that was closed. Returns its running requests: no client can obtain their outcome.
    pub fn forget_link(&mut self, key: &LinkKey) -> Vec<RequestId> {
        self.forget_links(vec![key.clone()])
    }

    /// Forgets the links whose timeout has passed. Returns their running requests: no client can obtain their outcome.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        let expired = self.links.iter().filter(|(_, link)| link.is_expired(now));
        let expired = expired.map(|(key, _)| key.clone()).collect();
        self.forget_links(expired)
    }

    /// Forgets several links. Returns their running requests, in order.
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

    /// The number of times that a link was resumed.
    pub fn resumed_links(&self) -> u64 {
        self.resumed_links
    }

    /// The current number of remembered links.
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

impl RememberedLink {
    /// Returns the remembered deliveries among these tags, in the order of the tags.
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

    /// Forgets all deliveries except those with these tags. Returns the running requests among the forgotten
    /// deliveries, in order.
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

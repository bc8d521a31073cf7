//! Link recovery (AMQP 1.0, sections 2.6.5 and 2.6.13): retains the state of the deliveries of links that may be
//! resumed, so that no delivery is run twice: which deliveries are still running, and the final states of the others.
//! This module performs no I/O.
//!
//! A link is identified by the container id of its peer, the authenticated user and the link name. A link whose target
//! requests a timeout is retained from its attach on. Any other link is retained only after a detach that does not
//! close it, and only as long as its connection is open.

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
    /// The link name from the attach, unique per container and direction.
    pub name: String,
}

/// The status of a delivery on a retained link.
#[derive(Clone, Debug, PartialEq)]
pub enum DeliveryStatus {
    /// The delivery's request has no final answer yet.
    Running(RequestId),
    /// The delivery was settled with this state.
    Settled(State),
    /// The delivery was in the peer's unsettled map when the link was not retained. It may have run, and is not run
    /// when it is resumed.
    Unknown,
}

/// A link that may be resumed, and the status of its deliveries.
struct RetainedLink {
    /// The connection of the link, or its last connection if it is not attached.
    token: Token,
    is_attached: bool,
    deliveries: FastHashMap<Tag, DeliveryStatus>,
    /// The tags of settled deliveries, oldest first.
    settled: VecDeque<Tag>,
    /// How long the link is retained after it is lost. Zero means until its connection ends.
    timeout: Duration,
    /// When the link is removed unless it is resumed before; `None` while it is attached, or if its timeout is zero.
    expires_at: Option<MonotonicTime>,
}

/// Limits on the memory used for link recovery.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryLimits {
    /// The maximum number of retained links.
    pub max_links: usize,
    /// The maximum number of settled deliveries that are retained for each link.
    pub max_settled_per_link: usize,
    /// Upper bound on the timeout of a link.
    pub max_timeout: Duration,
}

/// All retained links and their deliveries.
#[derive(Default)]
pub struct Recovery {
    links: FastHashMap<LinkKey, RetainedLink>,
    running: FastHashMap<RequestId, RunningDelivery>,
    resumed_links: u64,
}

/// The delivery of a running request.
struct RunningDelivery {
    link: LinkKey,
    tag: Tag,
}

/// The retained state of a link's deliveries at the time of its attach.
#[derive(Debug, Default, PartialEq)]
pub struct ResumedLink {
    /// Deliveries in the peer's unsettled map whose status is retained.
    pub retained_deliveries: Vec<RetainedDelivery>,
    /// Deliveries in the peer's unsettled map, if the link was not retained before its attach and is not retained now.
    /// They may have run. Those of a link that is retained now have the status [`DeliveryStatus::Unknown`].
    pub unknown_deliveries: HashSet<Tag>,
    /// Running requests whose deliveries are no longer in the peer's unsettled map.
    pub abandoned: Vec<RequestId>,
}

/// A retained delivery of a link that is being resumed.
#[derive(Debug, PartialEq)]
pub struct RetainedDelivery {
    /// The delivery tag, which identifies the delivery across resumptions of the link.
    pub tag: Tag,
    /// The delivery's final state; `None` while its request is running.
    pub state: Option<State>,
}

impl Recovery {
    /// Handles the attach of a link. `unsettled` holds the tags of the peer's unsettled map. If the timeout is above
    /// zero, the link is retained from now on, provided that the limit on links allows it.
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
            let unknown = unsettled.iter().take(limits.max_settled_per_link).copied();
            if !timeout.is_zero() && self.retain_link(limits, key, token, timeout) {
                self.record_unknown(key, unknown);
                return ResumedLink::default();
            }
            let unknown_deliveries = unknown.collect();
            return ResumedLink { unknown_deliveries, ..ResumedLink::default() };
        };
        self.resumed_links += u64::from(!link.is_attached);
        link.token = token;
        link.is_attached = true;
        link.expires_at = None;
        link.timeout = timeout;
        let retained_deliveries = link.retained_among(unsettled);
        let abandoned = link.retain_unsettled(unsettled);
        for request_id in &abandoned {
            self.running.remove(request_id);
        }
        ResumedLink { retained_deliveries, unknown_deliveries: HashSet::new(), abandoned }
    }

    fn record_unknown(&mut self, key: &LinkKey, tags: impl Iterator<Item = Tag>) {
        if let Some(link) = self.links.get_mut(key) {
            link.deliveries.extend(tags.map(|tag| (tag, DeliveryStatus::Unknown)));
        }
    }

    /// Starts to retain the state of a link. Returns false if the limit on links is reached.
    fn retain_link(
        &mut self,
        limits: RecoveryLimits,
        key: &LinkKey,
        token: Token,
        timeout: Duration,
    ) -> bool {
        if self.links.len() >= limits.max_links {
            return false;
        }
        let link = RetainedLink {
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

    /// Whether the state of a link is retained.
    pub fn is_retained(&self, key: &LinkKey) -> bool {
        self.links.contains_key(key)
    }

    /// Whether a retained link was attached on another connection after this one.
    pub fn was_attached_later(&self, key: &LinkKey, token: Token) -> bool {
        self.links.get(key).is_some_and(|link| link.token != token)
    }

    /// The running requests of a retained link, in order.
    pub fn running_requests(&self, key: &LinkKey) -> Vec<RequestId> {
        let statuses = self.links.get(key).into_iter().flat_map(|link| link.deliveries.values());
        let running = |status: &DeliveryStatus| match status {
            DeliveryStatus::Running(request_id) => Some(*request_id),
            DeliveryStatus::Settled(_) | DeliveryStatus::Unknown => None,
        };
        let mut requests: Vec<RequestId> = statuses.filter_map(running).collect();
        requests.sort_unstable();
        requests
    }

    /// Returns the status of a delivery, if it is retained.
    pub fn status(&self, key: &LinkKey, tag: &Tag) -> Option<&DeliveryStatus> {
        self.links.get(key)?.deliveries.get(tag)
    }

    /// Records the request of a delivery, if its link is retained. It replaces a settled delivery that had the same tag.
    pub fn record_running(&mut self, key: &LinkKey, tag: Tag, request_id: RequestId) {
        if let Some(link) = self.links.get_mut(key) {
            let previous = link.deliveries.insert(tag, DeliveryStatus::Running(request_id));
            if matches!(previous, Some(DeliveryStatus::Settled(_))) {
                link.settled.retain(|settled| *settled != tag);
            }
            self.running.insert(request_id, RunningDelivery { link: key.clone(), tag });
        }
    }

    /// Records the final state of a request's delivery. Beyond the limit on settled deliveries, the oldest is
    /// evicted.
    pub fn record_settled(&mut self, limits: RecoveryLimits, request_id: RequestId, state: &State) {
        let Some(RunningDelivery { link, tag }) = self.running.remove(&request_id) else { return };
        if let Some(link) = self.links.get_mut(&link) {
            link.record_settled(limits, tag, state);
        }
    }

    /// Records the final state with which a delivery of unknown status is answered, as
    /// [`Recovery::record_settled`] does for a request.
    pub fn record_unknown_settled(&mut self, limits: RecoveryLimits, key: &LinkKey, tag: Tag, state: &State) {
        if let Some(link) = self.links.get_mut(key) {
            link.record_settled(limits, tag, state);
        }
    }

    /// Removes the delivery of an abandoned request.
    pub fn remove_request(&mut self, request_id: RequestId) {
        let Some(RunningDelivery { link, tag }) = self.running.remove(&request_id) else { return };
        if let Some(link) = self.links.get_mut(&link) {
            link.deliveries.remove(&tag);
        }
    }

    /// Handles a detach that does not close the link, so that it may be resumed. Returns false if the link cannot be
    /// retained because the limit on links is reached.
    pub fn suspend(
        &mut self,
        limits: RecoveryLimits,
        key: &LinkKey,
        token: Token,
        now: MonotonicTime,
    ) -> bool {
        if !self.is_retained(key) && !self.retain_link(limits, key, token, Duration::ZERO) {
            return false;
        }
        if let Some(link) = self.links.get_mut(key) {
            link.is_attached = false;
            link.expires_at = (!link.timeout.is_zero()).then_some(now + link.timeout);
        }
        true
    }

    /// Handles the loss of a connection. Returns the running requests of the links that are removed with it: no
    /// client can obtain their outcome.
    pub fn on_connection_lost(&mut self, token: Token, now: MonotonicTime) -> Vec<RequestId> {
        let mut removed = Vec::new();
        for (key, link) in &mut self.links {
            if link.token == token {
                link.is_attached = false;
                link.expires_at.get_or_insert(now + link.timeout);
                if link.timeout.is_zero() {
                    removed.push(key.clone());
                }
            }
        }
        self.remove_links(removed)
    }

    /// Removes a link that was closed. Returns its running requests: no client can obtain their outcome.
    pub fn remove_link(&mut self, key: &LinkKey) -> Vec<RequestId> {
        self.remove_links(vec![key.clone()])
    }

    /// Removes the links whose timeout has passed. Returns their running requests: no client can obtain their outcome.
    pub fn expire(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        let expired = self.links.iter().filter(|(_, link)| link.is_expired(now));
        let expired = expired.map(|(key, _)| key.clone()).collect();
        self.remove_links(expired)
    }

    /// Removes several links. Returns their running requests, in order.
    fn remove_links(&mut self, mut keys: Vec<LinkKey>) -> Vec<RequestId> {
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

    /// The current number of retained links.
    pub fn len(&self) -> usize {
        self.links.len()
    }
}

impl RetainedLink {
    fn record_settled(&mut self, limits: RecoveryLimits, tag: Tag, state: &State) {
        self.deliveries.insert(tag, DeliveryStatus::Settled(state.clone()));
        self.settled.push_back(tag);
        while self.settled.len() > limits.max_settled_per_link {
            if let Some(oldest) = self.settled.pop_front() {
                self.deliveries.remove(&oldest);
            }
        }
    }

    /// Returns the retained deliveries among these tags, in the order of the tags.
    fn retained_among(&self, unsettled: &[Tag]) -> Vec<RetainedDelivery> {
        let retained = |tag: &Tag| {
            let state = match self.deliveries.get(tag)? {
                DeliveryStatus::Settled(state) => Some(state.clone()),
                DeliveryStatus::Running(_) => None,
                // Absent from the answer's map, as at the attach that found the link not retained.
                DeliveryStatus::Unknown => return None,
            };
            Some(RetainedDelivery { tag: *tag, state })
        };
        unsettled.iter().filter_map(retained).collect()
    }

    /// Removes all deliveries except those with these tags. Returns the running requests of the removed deliveries, in
    /// order.
    fn retain_unsettled(&mut self, unsettled: &[Tag]) -> Vec<RequestId> {
        let unsettled: HashSet<Tag> = unsettled.iter().copied().collect();
        let mut abandoned = Vec::new();
        self.deliveries.retain(|tag, status| {
            let is_retained = unsettled.contains(tag);
            if let (DeliveryStatus::Running(request_id), false) = (&status, is_retained) {
                abandoned.push(*request_id);
            }
            is_retained
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

//! The grantor at this node: it collects lease requests and answers them together, once per exchange interval.

use crate::net::Token;
use sparbank_quota::{Grantor, HolderId, LeaseGrant, LeaseRequest, LeaseTable, LogEntry, QuotaPlan};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where a lease request came from, and where its grant goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// Another node, by its connection.
    Remote(Token),
    /// This node.
    Local,
}

struct PendingRequest {
    requester: Requester,
    request: LeaseRequest,
}

/// A grant and the requester that it goes to.
pub(super) struct Reply {
    pub(super) requester: Requester,
    pub(super) grant: LeaseGrant,
}

/// What was applied at once.
#[derive(Default)]
pub(super) struct AppliedBatch {
    pub(super) expiries: usize,
    pub(super) requests: usize,
    pub(super) replies: Vec<Reply>,
}

/// The only grantor of a fleet. It keeps its lease table in memory.
pub(super) struct GrantorService {
    grantor: Grantor,
    /// An earlier incarnation may have granted leases that this one does not know; it grants nothing until all of them
    /// have expired.
    grants_from: MonotonicTime,
    /// The newest request of each holder since the last batch.
    pending: BTreeMap<HolderId, PendingRequest>,
}

impl GrantorService {
    pub(super) fn new(plan: QuotaPlan, now: MonotonicTime) -> GrantorService {
        let grants_from = now + plan.connections_cleared_after();
        let grantor = Grantor::new(LeaseTable::new(plan), now);
        GrantorService { grantor, grants_from, pending: BTreeMap::new() }
    }

    /// How long this grantor still waits before it grants.
    pub(super) fn grant_delay(&self, now: MonotonicTime) -> Duration {
        self.grants_from.saturating_duration_since(now)
    }

    /// Whether a request is of this grantor's plan.
    pub(super) fn matches_layout(&self, request: &LeaseRequest) -> bool {
        self.grantor.lease_table().matches_layout(request)
    }

    /// Queues a request for the next batch, if it is its holder's newest. No more holders are queued than the lease
    /// table tracks.
    pub(super) fn enqueue(&mut self, requester: Requester, request: LeaseRequest) {
        let members = self.grantor.lease_table().plan().members.len();
        let max_pending = LeaseTable::MAX_INCARNATIONS_PER_MEMBER * members;
        let queued = self.pending.get(&request.holder);
        let is_newer = queued.is_none_or(|queued| queued.request.sequence < request.sequence);
        let has_room = queued.is_some() || self.pending.len() < max_pending;
        if is_newer && has_room {
            self.pending.insert(request.holder, PendingRequest { requester, request });
        }
    }

    /// Applies the queued requests and the leases that have expired. Until the grantor grants, requests are dropped.
    pub(super) fn apply_pending(&mut self, now: MonotonicTime) -> AppliedBatch {
        let pending = std::mem::take(&mut self.pending);
        if now < self.grants_from {
            return AppliedBatch::default();
        }
        let expiries = self.grantor.expired_leases(now);
        if expiries.is_empty() && pending.is_empty() {
            return AppliedBatch::default();
        }
        let mut requesters = BTreeMap::new();
        let mut requests = Vec::with_capacity(pending.len());
        for (holder, PendingRequest { requester, request }) in pending {
            requesters.insert(holder, requester);
            requests.push(request);
        }
        let entry = LogEntry { expiries, requests };
        let grants = self.grantor.apply(now, &entry);
        let reply = |grant: LeaseGrant| {
            let requester = *requesters.get(&grant.holder)?;
            Some(Reply { requester, grant })
        };
        AppliedBatch {
            expiries: entry.expiries.len(),
            requests: entry.requests.len(),
            replies: grants.into_iter().filter_map(reply).collect(),
        }
    }
}

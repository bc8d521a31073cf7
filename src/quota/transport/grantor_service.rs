//! The grantor on this node: collects lease requests and answers them in one batch per exchange interval.

use crate::net::Token;
use sparbank_quota::{Grantor, HolderId, LeaseGrant, LeaseRequest, LeaseTable, LogEntry, QuotaPlan};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// The sender of a lease request, to which the grant is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// Another node, identified by its connection.
    Remote(Token),
    /// This node, which holds leases from its own grantor.
    Local,
}

struct PendingRequest {
    requester: Requester,
    request: LeaseRequest,
}

/// A grant and the requester to send it to.
pub(super) struct Reply {
    pub(super) requester: Requester,
    pub(super) grant: LeaseGrant,
}

/// The result of [`GrantorService::apply_pending`].
#[derive(Default)]
pub(super) struct AppliedBatch {
    pub(super) expired_leases: usize,
    pub(super) applied_requests: usize,
    pub(super) replies: Vec<Reply>,
}

/// The only grantor of a fleet. The lease table is kept in memory only.
pub(super) struct GrantorService {
    grantor: Grantor,
    /// When this grantor starts to grant leases. An earlier incarnation may have granted leases that are not in this
    /// lease table, so nothing is granted until all of those have certainly expired.
    grants_from: MonotonicTime,
    /// The newest request of each holder since the previous batch.
    pending: BTreeMap<HolderId, PendingRequest>,
}

impl GrantorService {
    pub(super) fn new(plan: QuotaPlan, now: MonotonicTime) -> GrantorService {
        let grants_from = now + plan.connections_cleared_after();
        let grantor = Grantor::new(LeaseTable::new(plan), now);
        GrantorService { grantor, grants_from, pending: BTreeMap::new() }
    }

    /// The time until this grantor starts to grant leases; zero once it does.
    pub(super) fn grant_delay(&self, now: MonotonicTime) -> Duration {
        self.grants_from.saturating_duration_since(now)
    }

    /// Whether a request was made for the same plan layout as this grantor's.
    pub(super) fn matches_layout(&self, request: &LeaseRequest) -> bool {
        self.grantor.lease_table().matches_layout(request)
    }

    /// Queues a request for the next batch if it is the newest of its holder. The number of queued holders is limited
    /// to the number that the lease table tracks.
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

    /// Reclaims the expired leases, applies the queued requests, and returns the grants. Requests are dropped until the
    /// grantor starts to grant.
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
            expired_leases: entry.expiries.len(),
            applied_requests: entry.requests.len(),
            replies: grants.into_iter().filter_map(reply).collect(),
        }
    }
}

//! Counting of this node's requests against the fleet-wide quotas.

use super::open_requests::{OpenRequests, Request};
use crate::model::RequestId;
use crate::quota::QuotaAdmission;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A request that was rejected by the quotas on arrival and has no final answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRejection {
    pub request_id: RequestId,
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
}

/// The decision of the quotas on a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The fleet has no quotas.
    Unlimited,
    /// The request is admitted and counts against the quotas until it ends.
    Counted,
    /// The request is rejected; its client should retry after this time.
    Rejected(Duration),
}

/// The quota admission of this node, if the fleet has quotas, and the rejected requests that await their answer.
#[derive(Default)]
pub struct QuotaUsage {
    admission: Option<QuotaAdmission>,
    rejections: Vec<QuotaRejection>,
}

impl QuotaUsage {
    /// Enables quotas: from now on, requests are counted against them.
    pub fn enable(&mut self, admission: QuotaAdmission) {
        self.admission = Some(admission);
    }

    /// The quota admission, if the fleet has quotas.
    pub fn admission(&self) -> Option<&QuotaAdmission> {
        self.admission.as_ref()
    }

    /// Mutable access to the quota admission, if the fleet has quotas.
    pub fn admission_mut(&mut self) -> Option<&mut QuotaAdmission> {
        self.admission.as_mut()
    }

    /// Decides whether a new request of this class is admitted.
    pub fn admit_request(&mut self, now: MonotonicTime, class: usize) -> QuotaDecision {
        let Some(admission) = &mut self.admission else { return QuotaDecision::Unlimited };
        match admission.admit_request(now, class) {
            Ok(()) => QuotaDecision::Counted,
            Err(retry_after) => QuotaDecision::Rejected(retry_after),
        }
    }

    /// Whether a retry of a request of this class is admitted; if so, it is counted.
    pub fn admits_retry(&mut self, now: MonotonicTime, class: usize) -> bool {
        self.admission.as_mut().is_none_or(|admission| admission.admit_retry(now, class).is_ok())
    }

    /// Whether a request that was admitted may no longer be sent, because this node's connections exceed a quota.
    pub fn forbids_sending(&self, now: MonotonicTime, request: &Request) -> bool {
        let admission = self.admission.as_ref().filter(|_| request.uses_quota);
        admission.is_some_and(|admission| admission.exceeds_connections(now, request.class))
    }

    /// Counts a connection that was established before this process took it over. Returns whether the fleet has quotas.
    pub fn adopt_connection(&mut self, class: usize) -> bool {
        let Some(admission) = &mut self.admission else { return false };
        admission.adopt_connection(class);
        true
    }

    /// Releases what an ended request counted against the quotas.
    pub fn release(&mut self, request: &Request) {
        if let Some(admission) = self.admission.as_mut().filter(|_| request.uses_quota) {
            admission.release(request.class);
        }
    }

    /// The established connections that exceed the quotas, newest first.
    pub fn connections_over_quota(&mut self, now: MonotonicTime, requests: &OpenRequests) -> Vec<RequestId> {
        let Some(admission) = self.admission.as_mut() else { return Vec::new() };
        if !admission.has_excess(now) {
            return Vec::new();
        }
        let mut newest = requests.ids_oldest_first(|request| request.uses_quota && request.is_established());
        newest.reverse();
        let classes = newest.iter().filter_map(|id| requests.get(*id)).map(|request| request.class);
        let is_excess = admission.select_excess(now, classes);
        newest.into_iter().zip(is_excess).filter_map(|(id, is_excess)| is_excess.then_some(id)).collect()
    }

    /// Queues a rejected request for its answer.
    pub fn push_rejection(&mut self, rejection: QuotaRejection) {
        self.rejections.push(rejection);
    }

    /// Whether any rejected request awaits its answer.
    pub fn has_rejections(&self) -> bool {
        !self.rejections.is_empty()
    }

    /// Removes and returns the rejected requests, which the caller has to answer.
    pub fn take_rejections(&mut self) -> Vec<QuotaRejection> {
        std::mem::take(&mut self.rejections)
    }
}

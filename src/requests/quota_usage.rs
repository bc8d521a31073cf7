//! How requests count against the fleet-wide quotas at this node.

use super::open_requests::{OpenRequests, Request};
use crate::model::RequestId;
use crate::quota::QuotaAdmission;
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// A request that the quotas rejected on arrival and that has no final answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRejection {
    /// The request.
    pub request_id: RequestId,
    /// How long its client should wait before it retries.
    pub retry_after: Duration,
}

/// Whether a new request counts against the quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The fleet has no quotas.
    Unlimited,
    /// It is admitted, and counts until it ends.
    Counted,
    /// It is rejected.
    Rejected(Duration),
}

/// The quotas, where the fleet has any, and the requests that they rejected.
#[derive(Default)]
pub struct QuotaUsage {
    admission: Option<QuotaAdmission>,
    rejections: Vec<QuotaRejection>,
}

impl QuotaUsage {
    /// Counts requests against these quotas from now on.
    pub fn enable(&mut self, admission: QuotaAdmission) {
        self.admission = Some(admission);
    }

    /// The quotas, where the fleet has any.
    pub fn admission(&self) -> Option<&QuotaAdmission> {
        self.admission.as_ref()
    }

    /// The quotas, where the fleet has any.
    pub fn admission_mut(&mut self) -> Option<&mut QuotaAdmission> {
        self.admission.as_mut()
    }

    /// Decides on a new request of this class.
    pub fn admit_request(&mut self, now: MonotonicTime, class: usize) -> QuotaDecision {
        let Some(admission) = &mut self.admission else { return QuotaDecision::Unlimited };
        match admission.admit_request(now, class) {
            Ok(()) => QuotaDecision::Counted,
            Err(retry_after) => QuotaDecision::Rejected(retry_after),
        }
    }

    /// Whether a request of this class may have a further attempt.
    pub fn admits_retry(&mut self, now: MonotonicTime, class: usize) -> bool {
        self.admission.as_mut().is_none_or(|admission| admission.admit_retry(now, class).is_ok())
    }

    /// Counts a connection that was established before this process took it on. Returns whether there are quotas.
    pub fn adopt_connection(&mut self, class: usize) -> bool {
        let Some(admission) = &mut self.admission else { return false };
        admission.adopt_connection(class);
        true
    }

    /// A request has ended.
    pub fn release(&mut self, request: &Request) {
        if let Some(admission) = self.admission.as_mut().filter(|_| request.uses_quota) {
            admission.release(request.class);
        }
    }

    /// The established connections that exceed the quotas, the newest first.
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

    /// Keeps a rejected request until it is answered.
    pub fn push_rejection(&mut self, rejection: QuotaRejection) {
        self.rejections.push(rejection);
    }

    /// Whether rejected requests have no answer yet.
    pub fn has_rejections(&self) -> bool {
        !self.rejections.is_empty()
    }

    /// Takes the rejected requests, to be answered now.
    pub fn take_rejections(&mut self) -> Vec<QuotaRejection> {
        std::mem::take(&mut self.rejections)
    }
}

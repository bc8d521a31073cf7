//! Admission of this node's requests against its allotments of the fleet-wide quotas.

use super::QuotaMembership;
use sparbank_quota::{
    AdmissionController, AttemptKind, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, QuotaPlan, QuotaScope,
    QuotaStatus, Rejection,
};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The lease holder of this node, and the quotas that apply to the requests of each class.
pub struct QuotaAdmission {
    plan: QuotaPlan,
    holder: LeaseHolder,
    controller: AdmissionController,
    /// By class.
    scopes: Vec<QuotaScope>,
    /// The largest Retry-After that clients are given.
    max_retry_after: Duration,
}

impl QuotaAdmission {
    /// Starts on the floors of the member alone. The start time identifies this incarnation of the member.
    pub fn new(
        membership: QuotaMembership,
        now: MonotonicTime,
        classes: &[String],
        max_retry_after: Duration,
    ) -> QuotaAdmission {
        let QuotaMembership { plan, member } = membership;
        let id = HolderId { member: member as u16, incarnation: now.as_nanos() };
        // The requests do not name a subscriber.
        let controller = AdmissionController::new(&plan, &[String::new()], classes);
        let scopes = classes.iter().map(|class| controller.scope("", class)).collect();
        let holder = LeaseHolder::new(id, plan.clone(), now);
        QuotaAdmission { plan, holder, controller, scopes, max_retry_after }
    }

    /// Admits the first attempt of a request of this class.
    ///
    /// # Errors
    ///
    /// The Retry-After for the client, if a quota is exhausted.
    pub fn admit_request(&mut self, now: MonotonicTime, class: usize) -> Result<(), Duration> {
        self.admit(now, class, AttemptKind::First)
    }

    /// Admits a further attempt of an admitted request.
    ///
    /// # Errors
    ///
    /// The Retry-After for the client, if a quota is exhausted.
    pub fn admit_retry(&mut self, now: MonotonicTime, class: usize) -> Result<(), Duration> {
        self.admit(now, class, AttemptKind::Retry)
    }

    fn admit(&mut self, now: MonotonicTime, class: usize, attempt: AttemptKind) -> Result<(), Duration> {
        let admitted = self.controller.admit(&mut self.holder, now, self.scopes[class], attempt);
        admitted.map_err(|rejection: Rejection| rejection.retry_after.min(self.max_retry_after))
    }

    /// An admitted request, or an adopted connection, has ended.
    pub fn release(&mut self, class: usize) {
        self.controller.release(&mut self.holder, self.scopes[class]);
    }

    /// Counts an established connection that was admitted by another process.
    pub fn adopt_connection(&mut self, class: usize) {
        self.controller.adopt_connection(&mut self.holder, self.scopes[class]);
    }

    /// Whether more connections are in use than some level allows this node.
    pub fn has_excess(&mut self, now: MonotonicTime) -> bool {
        (0..self.plan.quotas.len()).any(|quota| self.holder.excess(now, quota) > 0)
    }

    /// Selects the established connections that have to end because they exceed a level. The connections are given by
    /// class, newest first; the result has an element for each of them.
    pub fn select_excess(&mut self, now: MonotonicTime, classes: impl Iterator<Item = usize>) -> Vec<bool> {
        let quotas = 0..self.plan.quotas.len();
        let mut excess: Vec<u64> = quotas.map(|quota| self.holder.excess(now, quota)).collect();
        let mut has_to_end = |class: usize| {
            let levels = self.controller.levels(self.scopes[class]);
            let exceeds = levels.iter().any(|level| excess[*level] > 0);
            if exceeds {
                for level in levels {
                    excess[*level] = excess[*level].saturating_sub(1);
                }
            }
            exceeds
        };
        classes.map(&mut has_to_end).collect()
    }

    /// The next lease request, if it is due; it has to be sent at once.
    pub fn poll_lease_request(&mut self, now: MonotonicTime) -> Option<LeaseRequest> {
        let is_due = self.holder.next_request_at() <= now;
        is_due.then(|| self.holder.create_request(now))
    }

    /// Handles a grant that arrived; false if it is ignored.
    pub fn on_lease_grant(&mut self, now: MonotonicTime, grant: &LeaseGrant) -> bool {
        self.holder.on_grant(now, grant)
    }

    /// The node shuts down: its allotments are given back as they fall out of use.
    pub fn shut_down(&mut self) {
        self.holder.shut_down();
    }

    /// How long the lease is still valid; zero while the node lives on its floors.
    pub fn lease_remaining(&self, now: MonotonicTime) -> Duration {
        self.holder.lease_remaining(now)
    }

    /// The name and the state of each quota, for log lines.
    pub fn statuses(&self) -> impl Iterator<Item = (&str, QuotaStatus)> {
        let quotas = self.plan.quotas.iter().enumerate();
        quotas.map(|(index, quota)| (quota.name.as_str(), self.holder.status(index)))
    }
}

//! Admission of this node's requests within its allotments of the fleet-wide quotas.

use super::QuotaMembership;
use sparbank_quota::{
    AdmissionController, AttemptKind, HolderId, LeaseGrant, LeaseHolder, LeaseRequest, QuotaPlan, QuotaScope,
    QuotaStatus, Rejection,
};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// This node's lease holder and the quotas that apply to the requests of each class.
pub struct QuotaAdmission {
    plan: QuotaPlan,
    holder: LeaseHolder,
    controller: AdmissionController,
    /// The quota scope of each class.
    scopes: Vec<QuotaScope>,
    /// The upper bound of the Retry-After that is sent to clients.
    max_retry_after: Duration,
}

impl QuotaAdmission {
    /// Creates the admission without a lease: until the first grant, only the member's floors are available. The start
    /// time identifies this incarnation of the member.
    pub fn new(
        membership: QuotaMembership,
        now: MonotonicTime,
        classes: &[String],
        max_retry_after: Duration,
    ) -> QuotaAdmission {
        let QuotaMembership { plan, member } = membership;
        let id = HolderId { member: member as u16, incarnation: now.as_nanos() };
        // Requests carry no subscriber, so the empty subscriber is the only one.
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

    /// Admits a retry of an admitted request.
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

    /// Whether this node's connections of a class exceed a quota at this time.
    pub fn exceeds_connections(&self, now: MonotonicTime, class: usize) -> bool {
        self.controller.exceeds_levels(&self.holder, now, self.scopes[class])
    }

    /// Releases the quotas that an admitted request or an adopted connection of this class held until its end.
    pub fn release(&mut self, class: usize) {
        self.controller.release(&mut self.holder, self.scopes[class]);
    }

    /// Counts an established connection that was admitted by another process.
    pub fn adopt_connection(&mut self, class: usize) {
        self.controller.adopt_connection(&mut self.holder, self.scopes[class]);
    }

    /// Whether the established connections exceed any connection quota of this node.
    pub fn has_excess(&mut self, now: MonotonicTime) -> bool {
        (0..self.plan.quotas.len()).any(|quota| self.holder.excess(now, quota) > 0)
    }

    /// Selects the established connections that have to be closed because they exceed a connection quota. `classes` is
    /// the class of each connection, newest first; the result has one element per connection.
    pub fn select_excess(&mut self, now: MonotonicTime, classes: impl Iterator<Item = usize>) -> Vec<bool> {
        let quotas = 0..self.plan.quotas.len();
        let mut excess: Vec<u64> = quotas.map(|quota| self.holder.excess(now, quota)).collect();
        let mut exceeds_quota = |class: usize| {
            let connection_quotas = self.controller.levels(self.scopes[class]);
            let exceeds = connection_quotas.iter().any(|quota| excess[*quota] > 0);
            if exceeds {
                for quota in connection_quotas {
                    excess[*quota] = excess[*quota].saturating_sub(1);
                }
            }
            exceeds
        };
        classes.map(&mut exceeds_quota).collect()
    }

    /// Creates the next lease request if it is due. The caller has to send it immediately.
    pub fn poll_lease_request(&mut self, now: MonotonicTime) -> Option<LeaseRequest> {
        let is_due = self.holder.next_request_at() <= now;
        is_due.then(|| self.holder.create_request(now))
    }

    /// Applies a received grant. Returns false if the grant is ignored.
    pub fn on_lease_grant(&mut self, now: MonotonicTime, grant: &LeaseGrant) -> bool {
        self.holder.on_grant(now, grant)
    }

    /// Starts the shutdown: allotments are returned to the grantor as they are no longer used.
    pub fn shut_down(&mut self) {
        self.holder.shut_down();
    }

    /// The remaining validity of the lease; zero while the node has no lease and is limited to its floors.
    pub fn lease_remaining(&self, now: MonotonicTime) -> Duration {
        self.holder.lease_remaining(now)
    }

    /// The name and the status of each quota, for log lines.
    pub fn statuses(&self) -> impl Iterator<Item = (&str, QuotaStatus)> {
        let quotas = self.plan.quotas.iter().enumerate();
        quotas.map(|(index, quota)| (quota.name.as_str(), self.holder.status(index)))
    }
}

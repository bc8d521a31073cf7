//! The open requests and the accounting of them: counters, quotas, and records of flows and attempts.
//!
//! Each method makes one transition of a request and accounts for it. Nothing here knows of the balancer.

use super::open_requests::{Attempt, OpenRequests, Request, RequestState};
use super::quota_usage::{QuotaDecision, QuotaRejection, QuotaUsage};
use super::records::{AttemptRecord, AttemptStep, FlowRecord, FlowResult, Records};
use super::transition::{
    AttemptPlan, EndedAttempt, EndedRequest, EstablishedAttempt, MigratedConnection, NotStarted,
    ReleasedConnection, StartedAttempt,
};
use crate::counters::Counters;
use crate::frontend_id::FrontendId;
use crate::model::{Arrival, Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The open requests and the accounting of them.
#[derive(Default)]
pub struct RequestLedger {
    open: OpenRequests,
    quotas: QuotaUsage,
    records: Records,
    counters: Counters,
}

impl RequestLedger {
    /// The open requests.
    pub fn open(&self) -> &OpenRequests {
        &self.open
    }

    /// The use of the quotas.
    pub fn quotas(&self) -> &QuotaUsage {
        &self.quotas
    }

    /// The use of the quotas.
    pub fn quotas_mut(&mut self) -> &mut QuotaUsage {
        &mut self.quotas
    }

    /// The records of flows and attempts.
    pub fn records_mut(&mut self) -> &mut Records {
        &mut self.records
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The counts, for what is counted elsewhere.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Adds a request that arrives. Its id is also written into the arrival. Returns it, and whether the quotas admit it:
    /// a rejected request stays open until [`RequestLedger::reject_over_quota`].
    pub fn insert_arrival(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
    ) -> QuotaDecision {
        self.counters.requests += 1;
        let request_id = self.open.insert(now, frontend, arrival, RequestState::NoAttempt);
        let decision = self.quotas.admit_request(now, arrival.class);
        match decision {
            QuotaDecision::Unlimited => {}
            QuotaDecision::Counted => self.open.mark_quota_used(request_id),
            QuotaDecision::Rejected(retry_after) => {
                self.quotas.push_rejection(QuotaRejection { request_id, retry_after });
            }
        }
        decision
    }

    /// Adds a request whose connection is established already. Its id is also written into the arrival.
    pub fn insert_established(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
        server: ServerId,
    ) -> RequestId {
        let id = self.open.insert(now, frontend, arrival, RequestState::Established(server));
        if self.quotas.adopt_connection(arrival.class) {
            self.open.mark_quota_used(id);
        }
        id
    }

    /// Sets when a request arrived, where another process received it.
    pub fn set_started_at(&mut self, id: RequestId, started_at: MonotonicTime) {
        if let Some(request) = self.open.get_mut(id) {
            request.started_at = started_at;
        }
    }

    /// Starts an attempt of a request that waits for one.
    ///
    /// # Errors
    /// The reason against it.
    pub fn start_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        plan: AttemptPlan,
    ) -> Result<StartedAttempt, NotStarted> {
        let waiting = self.open.get_mut(id).filter(|request| request.state == RequestState::NoAttempt);
        let request = waiting.ok_or(NotStarted::NotWaiting)?;
        let is_retry = request.attempts > 0;
        if is_retry && !self.quotas.admits_retry(now, request.class) {
            self.counters.quota_rejected += 1;
            return Err(NotStarted::OverQuota);
        }
        request.attempts += 1;
        let AttemptPlan { server, timeout, send_by } = plan;
        let attempt = Attempt { server, sent_at: now, number: request.attempts, send_by };
        request.state = RequestState::InFlight(attempt);
        self.counters.sent += 1;
        let timeout = timeout.min(request.deadline.saturating_duration_since(now));
        Ok(StartedAttempt { frontend: request.frontend, timeout })
    }

    /// The attempt in flight was accepted by its server.
    pub fn establish(&mut self, now: MonotonicTime, id: RequestId) -> Option<EstablishedAttempt> {
        let request = self.open.get_mut(id)?;
        let attempt = request.attempt_in_flight()?;
        request.state = RequestState::Established(attempt.server);
        self.counters.established += 1;
        self.counters.served += 1;
        let setup_time = now.saturating_duration_since(attempt.sent_at);
        self.trace_attempt(id, attempt.server, AttemptStep::Established, setup_time);
        Some(EstablishedAttempt { server: attempt.server, setup_time })
    }

    /// The attempt in flight, or the connection that it established, has ended.
    pub fn end_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let request = self.open.get_mut(id)?;
        match request.state {
            RequestState::NoAttempt => None,
            RequestState::InFlight(attempt) => {
                request.state = RequestState::NoAttempt;
                Some(self.end_in_flight(now, id, attempt, outcome))
            }
            RequestState::Established(server) => {
                let elapsed = now.saturating_duration_since(request.started_at);
                self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
                self.close_served(now, id, server, outcome);
                Some(EndedAttempt { server, is_final: true })
            }
        }
    }

    fn end_in_flight(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
    ) -> EndedAttempt {
        let server = attempt.server;
        let is_final = outcome == Outcome::Ok;
        self.counters.count_attempt(outcome);
        let elapsed = now.saturating_duration_since(attempt.sent_at);
        self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
        if is_final {
            // Served to its end in one step: it was never reported as established.
            self.counters.established += 1;
            self.counters.served += 1;
            self.close_served(now, id, server, outcome);
        }
        EndedAttempt { server, is_final }
    }

    /// The attempt in flight has ended, and its request fails with it. Returns the attempt's server.
    pub fn fail_with_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<ServerId> {
        let server = self.open.get(id)?.attempt_in_flight()?.server;
        self.counters.count_attempt(outcome);
        self.counters.failed += 1;
        self.close(now, id, Some(server), FlowResult::Failed);
        Some(server)
    }

    /// The client disconnected; an attempt in flight has been cancelled. Returns the state that the request had.
    pub fn disconnect_client(&mut self, now: MonotonicTime, id: RequestId) -> Option<RequestState> {
        let state = self.open.get(id)?.state;
        match state {
            RequestState::NoAttempt => {
                self.counters.client_disconnected += 1;
                self.close(now, id, None, FlowResult::ClientDisconnected);
            }
            RequestState::InFlight(attempt) => {
                self.counters.client_disconnected += 1;
                self.counters.count_attempt(Outcome::Cancelled);
                self.close(now, id, Some(attempt.server), FlowResult::ClientDisconnected);
            }
            RequestState::Established(server) => self.close_served(now, id, server, Outcome::Cancelled),
        }
        Some(state)
    }

    /// Closes an established connection that its client is to open anew.
    pub fn migrate(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<MigratedConnection> {
        let request = self.open.get(id)?;
        let RequestState::Established(server) = request.state else { return None };
        let migrated = MigratedConnection { frontend: request.frontend, server };
        let elapsed = now.saturating_duration_since(request.started_at);
        self.counters.migrated += 1;
        self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
        self.close(now, id, Some(server), FlowResult::Migrated);
        Some(migrated)
    }

    /// The established connections that exceed the quotas, the newest first.
    pub fn connections_over_quota(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        self.quotas.connections_over_quota(now, &self.open)
    }

    /// Removes an established connection that another process continues. It leaves no flow record: that process
    /// records the whole flow.
    pub fn hand_over(&mut self, id: RequestId) -> Option<ReleasedConnection> {
        let RequestState::Established(server) = self.open.get(id)?.state else { return None };
        let request = self.open.remove(id)?;
        self.quotas.release(&request);
        self.counters.handed_over += 1;
        Some(ReleasedConnection { server, started_at: request.started_at })
    }

    /// Fails a request that has no answer yet, whatever its state.
    pub fn fail_unanswered(&mut self, now: MonotonicTime, id: RequestId) -> Option<EndedRequest> {
        let request = self.open.get(id)?;
        let ended = EndedRequest { frontend: request.frontend, state: request.state };
        if request.attempt_in_flight().is_some() {
            self.counters.count_attempt(Outcome::Cancelled);
        }
        self.counters.failed += 1;
        self.close(now, id, None, FlowResult::Failed);
        Some(ended)
    }

    /// Fails a request that waits for an attempt. Returns its frontend.
    pub fn fail(&mut self, now: MonotonicTime, id: RequestId) -> Option<FrontendId> {
        let request = self.close_waiting(now, id, FlowResult::Failed)?;
        self.counters.failed += 1;
        Some(request.frontend)
    }

    /// Rejects a request that waits for an attempt. Returns its frontend.
    pub fn reject(&mut self, now: MonotonicTime, id: RequestId) -> Option<FrontendId> {
        let request = self.close_waiting(now, id, FlowResult::Rejected)?;
        self.counters.rejected += 1;
        self.counters.rejected_unsent += u64::from(request.attempts == 0);
        Some(request.frontend)
    }

    /// Rejects a request that the quotas did not admit. Returns its frontend.
    pub fn reject_over_quota(&mut self, now: MonotonicTime, id: RequestId) -> Option<FrontendId> {
        let frontend = self.reject(now, id)?;
        self.counters.quota_rejected += 1;
        Some(frontend)
    }

    /// Closes a request that has no attempt in flight and no answer yet.
    fn close_waiting(&mut self, now: MonotonicTime, id: RequestId, result: FlowResult) -> Option<Request> {
        self.open.get(id).filter(|request| request.state == RequestState::NoAttempt)?;
        self.close(now, id, None, result)
    }

    /// Closes a request that was served, after its connection ended with this outcome.
    fn close_served(&mut self, now: MonotonicTime, id: RequestId, server: ServerId, outcome: Outcome) {
        let result = match outcome {
            Outcome::Ok | Outcome::Cancelled => FlowResult::Served,
            _ => FlowResult::Broken,
        };
        self.counters.ended += 1;
        self.close(now, id, Some(server), result);
    }

    fn close(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        server: Option<ServerId>,
        result: FlowResult,
    ) -> Option<Request> {
        let request = self.open.remove(id)?;
        self.quotas.release(&request);
        self.records.push_flow(FlowRecord {
            request_id: id,
            frontend: request.frontend,
            class: request.class,
            server,
            started_at: request.started_at,
            ended_at: now,
            attempts: request.attempts,
            result,
        });
        Some(request)
    }

    fn trace_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerId,
        step: AttemptStep,
        elapsed: Duration,
    ) {
        self.records.push_attempt(AttemptRecord { request_id, server, step, elapsed });
    }
}

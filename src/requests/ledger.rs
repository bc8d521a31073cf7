//! The open requests and their accounting: counters, quota usage, flow records and attempt records.
//!
//! Each method performs one state transition of a request and accounts for it. This module does not depend on the
//! balancer.

use super::open_requests::{Attempt, OpenRequests, Request, RequestState};
use super::quota_usage::{QuotaDecision, QuotaRejection, QuotaUsage};
use super::records::{AttemptRecord, AttemptStep, FlowRecord, FlowResult, Records};
use super::transition::{
    AttemptPlan, AttemptRefusal, EndedAttempt, EndedRequest, EstablishedAttempt, MigratedConnection,
    ReleasedConnection, StartedAttempt,
};
use crate::counters::Counters;
use crate::frontend_id::FrontendId;
use crate::model::{Arrival, Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// The open requests and their accounting.
#[derive(Default)]
pub struct RequestLedger {
    open: OpenRequests,
    quota_usage: QuotaUsage,
    records: Records,
    counters: Counters,
}

impl RequestLedger {
    /// The requests that have arrived and not ended yet.
    pub fn open(&self) -> &OpenRequests {
        &self.open
    }

    /// The quota usage of the requests.
    pub fn quota_usage(&self) -> &QuotaUsage {
        &self.quota_usage
    }

    /// Mutable access to the quota usage.
    pub fn quota_usage_mut(&mut self) -> &mut QuotaUsage {
        &mut self.quota_usage
    }

    /// Mutable access to the flow records and attempt records.
    pub fn records_mut(&mut self) -> &mut Records {
        &mut self.records
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Mutable access to the counters, for events that are counted outside the ledger.
    pub fn counters_mut(&mut self) -> &mut Counters {
        &mut self.counters
    }

    /// Adds a request that has arrived and writes its new id into `arrival`. Returns whether the quotas admit it; a
    /// rejected request stays open until [`RequestLedger::reject_over_quota`].
    pub fn insert_arrival(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
    ) -> QuotaDecision {
        self.counters.requests += 1;
        let request_id = self.open.insert(now, frontend, arrival, RequestState::AwaitingAttempt);
        let decision = self.quota_usage.admit_request(now, arrival.class);
        match decision {
            QuotaDecision::Unlimited => {}
            QuotaDecision::Counted => self.open.mark_uses_quota(request_id),
            QuotaDecision::Rejected(retry_after) => {
                self.quota_usage.push_rejection(QuotaRejection { request_id, retry_after });
            }
        }
        decision
    }

    /// Adds a request whose connection is already established. The new id is also written into `arrival`.
    pub fn insert_established(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
        server: ServerId,
    ) -> RequestId {
        let id = self.open.insert(now, frontend, arrival, RequestState::Established(server));
        if self.quota_usage.adopt_connection(arrival.class) {
            self.open.mark_uses_quota(id);
        }
        id
    }

    /// Adds a session from before this process started, which is being restored. The new id is also written into
    /// `arrival`.
    pub fn insert_restoring(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: &mut Arrival,
    ) -> RequestId {
        self.open.insert(now, frontend, arrival, RequestState::Restoring)
    }

    /// Marks a session that was being restored as established. Returns false if it is not being restored.
    pub fn restore(&mut self, id: RequestId, server: ServerId) -> bool {
        let restoring = self.open.get_mut(id).filter(|request| request.state == RequestState::Restoring);
        let Some(request) = restoring else { return false };
        request.state = RequestState::Established(server);
        self.counters.resumed += 1;
        if self.quota_usage.adopt_connection(request.class) {
            self.open.mark_uses_quota(id);
        }
        true
    }

    /// Closes a session that is not restored. Does nothing if it is not being restored any more.
    pub fn abandon_restoration(&mut self, now: MonotonicTime, id: RequestId, result: FlowResult) {
        if self.open.get(id).is_some_and(|request| request.state == RequestState::Restoring) {
            self.counters.restore_failed += 1;
            self.close(now, id, None, result);
        }
    }

    /// Sets the arrival time of a request that another process received.
    pub fn set_started_at(&mut self, id: RequestId, started_at: MonotonicTime) {
        if let Some(request) = self.open.get_mut(id) {
            request.started_at = started_at;
        }
    }

    /// Starts an attempt of a request that is waiting for one.
    ///
    /// # Errors
    /// Why the attempt cannot be started.
    pub fn start_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        plan: AttemptPlan,
    ) -> Result<StartedAttempt, AttemptRefusal> {
        let waiting = self.open.get_mut(id).filter(|request| request.state == RequestState::AwaitingAttempt);
        let request = waiting.ok_or(AttemptRefusal::NotAwaitingAttempt)?;
        let is_retry = request.attempts > 0;
        if is_retry && !self.quota_usage.admits_retry(now, request.class) {
            self.counters.quota_rejected += 1;
            return Err(AttemptRefusal::OverQuota);
        }
        request.attempts += 1;
        let AttemptPlan { server, timeout, send_by } = plan;
        let attempt = Attempt { server, started_at: now, number: request.attempts, send_by };
        request.state = RequestState::InFlight(attempt);
        self.counters.sent += 1;
        let timeout = timeout.min(request.deadline.saturating_duration_since(now));
        Ok(StartedAttempt { frontend: request.frontend, timeout })
    }

    /// Marks the attempt in flight as accepted by its server. Returns `None` if no attempt is in flight.
    pub fn establish(&mut self, now: MonotonicTime, id: RequestId) -> Option<EstablishedAttempt> {
        let request = self.open.get_mut(id)?;
        let attempt = request.attempt_in_flight()?;
        request.state = RequestState::Established(attempt.server);
        self.counters.established += 1;
        self.counters.served += 1;
        let setup_time = now.saturating_duration_since(attempt.started_at);
        self.record_attempt_step(id, attempt.server, AttemptStep::Established, setup_time);
        Some(EstablishedAttempt { server: attempt.server, setup_time })
    }

    /// Ends the attempt in flight, or the connection that it established. Returns `None` if there is neither.
    pub fn end_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<EndedAttempt> {
        let request = self.open.get_mut(id)?;
        match request.state {
            RequestState::Restoring | RequestState::AwaitingAttempt => None,
            RequestState::InFlight(attempt) => {
                request.state = RequestState::AwaitingAttempt;
                Some(self.end_in_flight(now, id, attempt, outcome))
            }
            RequestState::Established(server) => {
                let elapsed = now.saturating_duration_since(request.started_at);
                self.record_attempt_step(id, server, AttemptStep::Ended(outcome), elapsed);
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
        let elapsed = now.saturating_duration_since(attempt.started_at);
        self.record_attempt_step(id, server, AttemptStep::Ended(outcome), elapsed);
        if is_final {
            // The request was served and ended in one step, so `establish` was never called for it.
            self.counters.established += 1;
            self.counters.served += 1;
            self.close_served(now, id, server, outcome);
        }
        EndedAttempt { server, is_final }
    }

    /// Ends the attempt in flight and fails its request. Returns the attempt's server.
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

    /// Closes a request whose client has disconnected. The caller has already cancelled any attempt in flight. Returns
    /// the request's previous state.
    pub fn disconnect_client(&mut self, now: MonotonicTime, id: RequestId) -> Option<RequestState> {
        let state = self.open.get(id)?.state;
        match state {
            RequestState::Restoring => {
                self.abandon_restoration(now, id, FlowResult::ClientDisconnected);
            }
            RequestState::AwaitingAttempt => {
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

    /// Closes an established connection so that its client reconnects.
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
        self.record_attempt_step(id, server, AttemptStep::Ended(outcome), elapsed);
        self.close(now, id, Some(server), FlowResult::Migrated);
        Some(migrated)
    }

    /// The established connections that exceed the quotas, newest first.
    pub fn connections_over_quota(&mut self, now: MonotonicTime) -> Vec<RequestId> {
        self.quota_usage.connections_over_quota(now, &self.open)
    }

    /// Removes an established connection that is handed over to another process. No flow record is written here, since
    /// that process records the complete flow.
    pub fn hand_over(&mut self, id: RequestId) -> Option<ReleasedConnection> {
        let RequestState::Established(server) = self.open.get(id)?.state else { return None };
        let request = self.open.remove(id)?;
        self.quota_usage.release(&request);
        self.counters.handed_over += 1;
        Some(ReleasedConnection { server, started_at: request.started_at })
    }

    /// Fails an unanswered request, whether or not an attempt is in flight. Returns its frontend and its previous
    /// state.
    pub fn fail_unanswered(&mut self, now: MonotonicTime, id: RequestId) -> Option<EndedRequest> {
        let request = self.open.get(id)?;
        let ended = EndedRequest { frontend: request.frontend, state: request.state };
        if request.attempt_in_flight().is_some() {
            self.counters.count_attempt(Outcome::Cancelled);
        }
        if request.state == RequestState::Restoring {
            self.counters.restore_failed += 1;
        } else {
            self.counters.failed += 1;
        }
        self.close(now, id, None, FlowResult::Failed);
        Some(ended)
    }

    /// Fails a request that is waiting for an attempt. Returns its frontend.
    pub fn fail(&mut self, now: MonotonicTime, id: RequestId) -> Option<FrontendId> {
        let request = self.close_awaiting_attempt(now, id, FlowResult::Failed)?;
        self.counters.failed += 1;
        Some(request.frontend)
    }

    /// Rejects a request that is waiting for an attempt. Returns its frontend.
    pub fn reject(&mut self, now: MonotonicTime, id: RequestId) -> Option<FrontendId> {
        let request = self.close_awaiting_attempt(now, id, FlowResult::Rejected)?;
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
    fn close_awaiting_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        result: FlowResult,
    ) -> Option<Request> {
        self.open.get(id).filter(|request| request.state == RequestState::AwaitingAttempt)?;
        self.close(now, id, None, result)
    }

    /// Closes a served request whose connection ended with this outcome.
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
        self.quota_usage.release(&request);
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

    fn record_attempt_step(
        &mut self,
        request_id: RequestId,
        server: ServerId,
        step: AttemptStep,
        elapsed: Duration,
    ) {
        self.records.push_attempt(AttemptRecord { request_id, server, step, elapsed });
    }
}

//! The request table: keeps the open requests and gathers events about them for the balancer.

use super::command::Command;
use super::open_requests::{Attempt, OpenRequests, Request, RequestState};
use super::records::{AttemptRecord, AttemptStep, FlowRecord, FlowResult, RecordBuffer};
use crate::counters::Counters;
use crate::frontend_id::FrontendId;
use crate::model::{Arrival, Event, Outcome, RequestId, ServerId, Settings, SettingsError};
use crate::policy::Balancer;
use crate::quota::QuotaAdmission;
use crate::rules::{self, SendInputs, SendRefusal, ViolationLog};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An established connection that the process before this one handed over.
#[derive(Clone, Debug, PartialEq)]
pub struct HandedOverConnection {
    /// The frontend through which its request arrived.
    pub frontend: FrontendId,
    /// The request that opened it.
    pub arrival: Arrival,
    /// Its server.
    pub server: ServerId,
    /// When its request arrived, on the node's clock.
    pub started_at: MonotonicTime,
    /// Its last load report, in nanoseconds of work a second.
    pub load: Option<Duration>,
}

/// A request that the quotas rejected on arrival.
pub(super) struct QuotaRejection {
    pub(super) request_id: RequestId,
    pub(super) retry_after: Duration,
}

/// The open requests, and the events about them that the balancer has not seen yet.
pub struct RequestTable {
    pub(super) balancer: Balancer,
    pub(super) open: OpenRequests,
    pub(super) pending_events: Vec<Event>,
    /// Quotas that bound what this node admits, where the fleet has any.
    pub quotas: Option<QuotaAdmission>,
    /// Requests that the quotas rejected and that have no final answer yet.
    pub(super) quota_rejections: Vec<QuotaRejection>,
    /// Flows that ended, where they are exported.
    pub ended_flows: RecordBuffer<FlowRecord>,
    /// Counts since the start of the process.
    pub counters: Counters,
    /// Rules that were broken, which is a fault of this program.
    pub violations: ViolationLog,
    /// Steps of attempts, where they are traced.
    pub attempt_trace: RecordBuffer<AttemptRecord>,
}

impl RequestTable {
    /// An empty table. The seed determines the balancer's random draws.
    ///
    /// # Errors
    ///
    /// The field of the settings that cannot be right.
    pub fn new(seed: u64, settings: Settings) -> Result<RequestTable, SettingsError> {
        Ok(RequestTable {
            balancer: Balancer::new(seed, settings)?,
            open: OpenRequests::default(),
            pending_events: Vec::new(),
            quotas: None,
            quota_rejections: Vec::new(),
            ended_flows: RecordBuffer::new(),
            counters: Counters::default(),
            violations: ViolationLog::default(),
            attempt_trace: RecordBuffer::new(),
        })
    }

    /// Applies newer settings, which have the same classes at the same indexes.
    pub fn update_settings(&mut self, settings: Settings) {
        self.balancer.update_settings(settings);
    }

    /// A snapshot of the balancer's state as JSON, for the process that replaces this one.
    pub fn state_snapshot(&self) -> String {
        self.balancer.state_snapshot()
    }

    /// Restores a [`RequestTable::state_snapshot`] of the process that this one replaces. Call it once the balancer
    /// has that process's endpoint list, and before any connection is established.
    ///
    /// # Errors
    ///
    /// The snapshot is not the JSON that it should be.
    pub fn restore_state(&mut self, snapshot: &str) -> Result<(), serde_json::Error> {
        self.balancer.restore_state(snapshot)
    }

    // ---- Reports of the frontends -----------------------------------------------------------------

    /// A request arrived. Returns the id assigned to it.
    pub fn on_request(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        mut arrival: Arrival,
    ) -> RequestId {
        self.counters.requests += 1;
        let request_id = self.open.insert(now, frontend, &mut arrival, RequestState::NoAttempt);
        if let Some(quotas) = &mut self.quotas {
            if let Err(retry_after) = quotas.admit_request(now, arrival.class) {
                self.quota_rejections.push(QuotaRejection { request_id, retry_after });
                return request_id;
            }
            self.mark_quota_used(request_id);
        }
        self.pending_events.push(Event::Request(arrival));
        request_id
    }

    /// A connection from before this node's start is established again, without a selection of its server.
    pub fn restore_established(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        arrival: Arrival,
        server: ServerId,
    ) -> RequestId {
        self.counters.resumed += 1;
        self.insert_established(now, frontend, arrival, server)
    }

    /// Continues an established connection of the process before this one.
    pub fn receive_handed_over(&mut self, now: MonotonicTime, connection: HandedOverConnection) -> RequestId {
        let HandedOverConnection { frontend, arrival, server, started_at, load } = connection;
        self.counters.inherited += 1;
        let id = self.insert_established(now, frontend, arrival, server);
        if let Some(request) = self.open.get_mut(id) {
            request.started_at = started_at;
        }
        if let Some(cost) = load {
            self.pending_events.push(Event::LoadReport { id, cost });
        }
        id
    }

    fn insert_established(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        mut arrival: Arrival,
        server: ServerId,
    ) -> RequestId {
        let id = self.open.insert(now, frontend, &mut arrival, RequestState::Established(server));
        if let Some(quotas) = &mut self.quotas {
            quotas.adopt_connection(arrival.class);
            self.mark_quota_used(id);
        }
        self.pending_events.push(Event::Resumed(arrival, server));
        id
    }

    /// Hands an established connection over to the process that replaces this one, without a flow record: that
    /// process records the whole flow. Returns when the request arrived; `None` if it is not established.
    pub fn hand_over(&mut self, id: RequestId) -> Option<MonotonicTime> {
        let RequestState::Established(server) = self.open.get(id)?.state else { return None };
        let request = self.open.remove(id)?;
        self.release_quota(&request);
        self.counters.handed_over += 1;
        self.push_last_attempt_ended(id, server, Outcome::Cancelled);
        Some(request.started_at)
    }

    /// Whether the attempt in flight may be written to its server now. A frontend asks right before the first byte, with
    /// what its sockets say at that moment.
    ///
    /// # Errors
    /// Why not; the frontend then reports the attempt as [`Outcome::NotSent`].
    pub fn may_send(
        &self,
        now: MonotonicTime,
        id: RequestId,
        client_gone: bool,
        server_ready: bool,
    ) -> Result<(), SendRefusal> {
        let attempt = self.open.get(id).and_then(Request::attempt_in_flight);
        let send_by = attempt.map_or(MonotonicTime::ZERO, |attempt| attempt.send_by);
        let is_current_attempt = attempt.is_some();
        rules::may_send(&SendInputs { now, client_gone, server_ready, is_current_attempt, send_by })
    }

    /// The attempt in flight was accepted: its connection is established and the client has its answer.
    pub fn on_established(&mut self, now: MonotonicTime, id: RequestId) {
        let Some(request) = self.open.get_mut(id) else { return };
        let RequestState::InFlight(attempt) = request.state else { return };
        request.state = RequestState::Established(attempt.server);
        self.counters.established += 1;
        self.counters.served += 1;
        let waited = now.saturating_duration_since(attempt.sent_at);
        self.trace_attempt(id, attempt.server, AttemptStep::Established, waited);
        self.pending_events.push(Event::Established { id, server: attempt.server, setup_time: waited });
    }

    /// The attempt in flight, or the connection that it established, has ended. Returns whether that was the
    /// final answer.
    pub fn on_attempt_ended(&mut self, now: MonotonicTime, id: RequestId, outcome: Outcome) -> bool {
        let Some(request) = self.open.get_mut(id) else { return false };
        let started_at = request.started_at;
        match request.state {
            RequestState::NoAttempt => false,
            RequestState::InFlight(attempt) => {
                request.state = RequestState::NoAttempt;
                self.on_in_flight_ended(now, id, attempt, outcome)
            }
            RequestState::Established(server) => {
                let elapsed = now.saturating_duration_since(started_at);
                self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
                self.close_served(now, id, server, outcome);
                self.push_last_attempt_ended(id, server, outcome);
                true
            }
        }
    }

    fn on_in_flight_ended(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        attempt: Attempt,
        outcome: Outcome,
    ) -> bool {
        let server = attempt.server;
        let done = outcome == Outcome::Ok;
        self.counters.count_attempt(outcome);
        let elapsed = now.saturating_duration_since(attempt.sent_at);
        self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
        if done {
            // Served to its end in one step: it was never reported as established.
            self.counters.established += 1;
            self.counters.served += 1;
            self.close_served(now, id, server, outcome);
        }
        self.pending_events.push(Event::AttemptEnded { id, server, outcome, done });
        done
    }

    /// The attempt in flight has ended and cannot be repeated, since its frontend no longer has the bytes to send.
    /// Returns whether a final answer, failed, is still due to the client.
    pub fn on_unrepeatable_attempt_ended(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> bool {
        let Some(request) = self.open.get(id) else { return false };
        let RequestState::InFlight(attempt) = request.state else { return false };
        self.counters.count_attempt(outcome);
        self.counters.failed += 1;
        self.pending_events.push(Event::ClientDisconnected(id));
        self.push_last_attempt_ended(id, attempt.server, outcome);
        self.close(now, id, Some(attempt.server), FlowResult::Failed);
        true
    }

    /// The client disconnected. The frontend has already cancelled the attempt, if one was in flight.
    pub fn on_client_disconnected(&mut self, now: MonotonicTime, id: RequestId) {
        let Some(request) = self.open.get(id) else { return };
        match request.state {
            RequestState::NoAttempt => {
                self.counters.client_disconnected += 1;
                self.pending_events.push(Event::ClientDisconnected(id));
                self.close(now, id, None, FlowResult::ClientDisconnected);
            }
            RequestState::InFlight(attempt) => {
                self.counters.client_disconnected += 1;
                self.counters.count_attempt(Outcome::Cancelled);
                self.pending_events.push(Event::ClientDisconnected(id));
                self.push_last_attempt_ended(id, attempt.server, Outcome::Cancelled);
                self.close(now, id, Some(attempt.server), FlowResult::ClientDisconnected);
            }
            RequestState::Established(server) => {
                self.push_last_attempt_ended(id, server, Outcome::Cancelled);
                self.close_served(now, id, server, Outcome::Cancelled);
            }
        }
    }

    /// Any other event for the balancer: reports, endpoint lists, timers.
    pub fn push_event(&mut self, event: Event) {
        self.pending_events.push(event);
    }

    // ---- What the node ends by itself --------------------------------------------------------------

    /// Closes an established connection that the node migrates, during a drain or because its server is silent.
    /// Returns the frontend that has to notify the client; `None` if it is not established.
    pub fn close_for_migration(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<FrontendId> {
        let request = self.open.get(id)?;
        let RequestState::Established(server) = request.state else { return None };
        let frontend = request.frontend;
        let elapsed = now.saturating_duration_since(request.started_at);
        self.counters.migrated += 1;
        self.trace_attempt(id, server, AttemptStep::Ended(outcome), elapsed);
        self.close(now, id, Some(server), FlowResult::Migrated);
        self.push_last_attempt_ended(id, server, outcome);
        Some(frontend)
    }

    /// Closes the established connections that exceed the quotas, the newest first.
    pub fn migrate_over_quota(&mut self, now: MonotonicTime) -> Vec<Command> {
        let Some(quotas) = &mut self.quotas else { return Vec::new() };
        if !quotas.has_excess(now) {
            return Vec::new();
        }
        let mut newest = self.open.ids_oldest_first(|request| request.uses_quota && request.is_established());
        newest.reverse();
        let classes = newest.iter().filter_map(|id| self.open.get(*id)).map(|request| request.class);
        let is_excess = quotas.select_excess(now, classes);
        let mut commands = Vec::new();
        for (request_id, is_excess) in newest.into_iter().zip(is_excess) {
            if !is_excess {
                continue;
            }
            if let Some(frontend) = self.close_for_migration(now, request_id, Outcome::Cancelled) {
                self.counters.quota_migrated += 1;
                commands.push(Command::Migrate { frontend, request_id });
            }
        }
        commands
    }

    /// The node drains or shuts down: requests that arrived before `before` and have no answer yet fail.
    pub fn fail_unanswered(&mut self, now: MonotonicTime, before: MonotonicTime) -> Vec<Command> {
        let is_due = |request: &Request| !request.is_established() && request.started_at < before;
        let mut commands = Vec::new();
        for request_id in self.open.ids_oldest_first(is_due) {
            let Some(request) = self.open.get(request_id) else { continue };
            let frontend = request.frontend;
            let state = request.state;
            self.pending_events.push(Event::ClientDisconnected(request_id));
            if let RequestState::InFlight(attempt) = state {
                commands.push(Command::CancelAttempt { frontend, request_id });
                self.counters.count_attempt(Outcome::Cancelled);
                self.push_last_attempt_ended(request_id, attempt.server, Outcome::Cancelled);
            }
            self.counters.failed += 1;
            self.close(now, request_id, None, FlowResult::Failed);
            commands.push(Command::Fail { frontend, request_id });
        }
        commands
    }

    // ---- Queries -------------------------------------------------------------------------------------

    /// Whether there is anything for [`RequestTable::decide`].
    pub fn has_pending_events(&self) -> bool {
        !self.pending_events.is_empty() || !self.quota_rejections.is_empty()
    }

    /// The frontend of a request whose attempt with this number is still in flight, for the attempt's time-out.
    pub fn frontend_of_attempt(&self, id: RequestId, number: u32) -> Option<FrontendId> {
        let request = self.open.get(id)?;
        match request.state {
            RequestState::InFlight(attempt) if attempt.number == number => Some(request.frontend),
            _ => None,
        }
    }

    /// The number of a request's latest attempt, for its time-out; zero if it had none.
    pub fn attempt_number(&self, id: RequestId) -> u32 {
        self.open.get(id).map_or(0, |request| request.attempts)
    }

    /// The requests with an established connection, oldest first.
    pub fn established(&self) -> Vec<RequestId> {
        self.open.ids_oldest_first(Request::is_established)
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    // ---- The end of a request --------------------------------------------------------------------------

    /// Closes a request that was served, after its connection ended with this outcome.
    fn close_served(&mut self, now: MonotonicTime, id: RequestId, server: ServerId, outcome: Outcome) {
        let result = match outcome {
            Outcome::Ok | Outcome::Cancelled => FlowResult::Served,
            _ => FlowResult::Broken,
        };
        self.counters.ended += 1;
        self.close(now, id, Some(server), result);
    }

    pub(super) fn close(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        server: Option<ServerId>,
        result: FlowResult,
    ) {
        let Some(request) = self.open.remove(id) else { return };
        self.release_quota(&request);
        self.ended_flows.push(FlowRecord {
            request_id: id,
            frontend: request.frontend,
            class: request.class,
            server,
            started_at: request.started_at,
            ended_at: now,
            attempts: request.attempts,
            result,
        });
    }

    /// Reports the end of a request's last attempt: no further attempt follows.
    pub(super) fn push_last_attempt_ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome) {
        self.pending_events.push(Event::AttemptEnded { id, server, outcome, done: true });
    }

    fn trace_attempt(
        &mut self,
        request_id: RequestId,
        server: ServerId,
        step: AttemptStep,
        elapsed: Duration,
    ) {
        self.attempt_trace.push(AttemptRecord { request_id, server, step, elapsed });
    }

    fn mark_quota_used(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(id) {
            request.uses_quota = true;
        }
    }

    fn release_quota(&mut self, request: &Request) {
        if let Some(quotas) = self.quotas.as_mut().filter(|_| request.uses_quota) {
            quotas.release(request.class);
        }
    }
}

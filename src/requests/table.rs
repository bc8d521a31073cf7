//! The request table: receives reports about requests, lets the balancer decide on them, and issues commands to the
//! node.

use super::command::Command;
use super::decision_queue::DecisionQueue;
use super::ledger::RequestLedger;
use super::open_requests::{HandedOverConnection, Request, RequestState};
use super::quota_usage::{QuotaDecision, QuotaRejection};
use super::records::{AttemptRecord, FlowRecord};
use super::restorations::Restorations;
use super::transition::{AttemptPlan, AttemptRefusal};
use crate::counters::Counters;
use crate::frontend_id::FrontendId;
use crate::model::{Action, Arrival, Event, Outcome, RequestId, ServerId, Settings, SettingsError};
use crate::quota::QuotaAdmission;
use crate::rules::{self, PeerStatus, SendInputs, SendRefusal, Violation, ViolationContext, ViolationLog};
use sparbank_time::MonotonicTime;

mod restoring;

/// The requests of this node and the balancer that decides on them.
pub struct RequestTable {
    decisions: DecisionQueue,
    ledger: RequestLedger,
    restorations: Restorations,
    violations: ViolationLog,
}

impl RequestTable {
    /// Creates an empty table. The seed determines the balancer's random draws.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn new(seed: u64, settings: Settings) -> Result<RequestTable, SettingsError> {
        let restorations = Restorations::new(seed, settings.clone());
        Ok(RequestTable {
            decisions: DecisionQueue::new(seed, settings)?,
            ledger: RequestLedger::default(),
            restorations,
            violations: ViolationLog::default(),
        })
    }

    /// Applies updated settings, which must have the same classes at the same indexes.
    pub fn update_settings(&mut self, settings: Settings) {
        self.restorations.update_settings(settings.clone());
        self.decisions.balancer_mut().update_settings(settings);
    }

    /// A snapshot of the balancer's state as JSON, for this process's successor.
    pub fn state_snapshot(&self) -> String {
        self.decisions.balancer().state_snapshot()
    }

    /// Restores the [`RequestTable::state_snapshot`] of this process's predecessor. Call it after the balancer has
    /// received the predecessor's endpoint list and before any connection is established.
    ///
    /// # Errors
    /// The snapshot is not valid JSON or does not have the expected structure.
    pub fn restore_state(&mut self, snapshot: &str) -> Result<(), serde_json::Error> {
        self.decisions.balancer_mut().restore_state(snapshot)
    }

    /// Discards the balancer's state of those of these servers that are removed and have neither attempts nor
    /// connections, and returns them: their ids may be reused.
    pub fn forget_servers(&mut self, servers: Vec<ServerId>) -> Vec<ServerId> {
        self.decisions.balancer_mut().forget_servers(servers)
    }

    /// Reports the arrival of a request. Returns the id assigned to it.
    pub fn on_request(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        mut arrival: Arrival,
    ) -> RequestId {
        let decision = self.ledger.insert_arrival(now, frontend, &mut arrival);
        let request_id = arrival.id;
        if !matches!(decision, QuotaDecision::Rejected(_)) {
            self.decisions.push(Event::Request(arrival));
        }
        request_id
    }

    /// Adds an established connection that the predecessor has handed over.
    pub fn receive_handed_over_connection(
        &mut self,
        now: MonotonicTime,
        connection: HandedOverConnection,
    ) -> RequestId {
        let HandedOverConnection { frontend, arrival, server, started_at, load } = connection;
        self.ledger.counters_mut().inherited += 1;
        let id = self.insert_established(now, frontend, arrival, server);
        self.ledger.set_started_at(id, started_at);
        if let Some(cost) = load {
            self.decisions.push(Event::LoadReport { id, cost });
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
        let id = self.ledger.insert_established(now, frontend, &mut arrival, server);
        self.decisions.push(Event::Resumed(arrival, server));
        id
    }

    /// Removes an established connection that is handed over to the successor. No flow record is written here, since
    /// the successor records the complete flow. Returns when the request arrived, or `None` if its connection is not
    /// established.
    pub fn hand_over(&mut self, id: RequestId) -> Option<MonotonicTime> {
        let released = self.ledger.hand_over(id)?;
        self.decisions.push_last_attempt_ended(id, released.server, Outcome::Cancelled);
        Some(released.started_at)
    }

    /// Checks whether the attempt in flight may be written to its server now. A frontend calls this right before it
    /// writes the first byte, with the state of its sockets at that moment.
    ///
    /// # Errors
    /// The reason against sending; the frontend then reports the attempt as [`Outcome::NotSent`].
    pub fn may_send(&self, now: MonotonicTime, id: RequestId, peers: PeerStatus) -> Result<(), SendRefusal> {
        let request = self.ledger.open().get(id);
        if let Some(request) = request.filter(|request| request.state == RequestState::Restoring) {
            return self.may_send_restoring(now, id, request, peers);
        }
        let attempt = request.and_then(Request::attempt_in_flight);
        let send_by = attempt.map_or(MonotonicTime::ZERO, |attempt| attempt.send_by);
        let is_current_attempt = attempt.is_some();
        let exceeds_quota =
            request.is_some_and(|request| self.ledger.quota_usage().forbids_sending(now, request));
        rules::may_send(&SendInputs { now, peers, is_current_attempt, exceeds_quota, send_by })
    }

    /// Reports that the attempt in flight was accepted: its connection is established and the client has its answer.
    pub fn on_established(&mut self, now: MonotonicTime, id: RequestId) {
        if let Some(attempt) = self.ledger.establish(now, id) {
            let (server, setup_time) = (attempt.server, attempt.setup_time);
            self.decisions.push(Event::Established { id, server, setup_time });
        }
    }

    /// Reports that the attempt in flight, or the connection that it established, has ended. Returns whether the
    /// request has ended with it.
    pub fn on_attempt_ended(&mut self, now: MonotonicTime, id: RequestId, outcome: Outcome) -> bool {
        let Some(ended) = self.ledger.end_attempt(now, id, outcome) else { return false };
        let (server, done) = (ended.server, ended.is_final);
        self.decisions.push(Event::AttemptEnded { id, server, outcome, done });
        done
    }

    /// Reports that the attempt in flight has ended and cannot be retried, since its frontend no longer has the bytes
    /// to send. Returns whether the frontend still has to send the final answer "failed".
    pub fn on_non_retryable_attempt_ended(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> bool {
        let Some(server) = self.ledger.fail_with_attempt(now, id, outcome) else { return false };
        self.decisions.push(Event::ClientDisconnected(id));
        self.decisions.push_last_attempt_ended(id, server, outcome);
        true
    }

    /// Reports that the client has disconnected. The frontend has already cancelled any attempt in flight.
    pub fn on_client_disconnected(&mut self, now: MonotonicTime, id: RequestId) {
        let Some(state) = self.ledger.disconnect_client(now, id) else { return };
        match state {
            RequestState::Restoring => self.restorations.remove(id),
            RequestState::AwaitingAttempt => self.decisions.push(Event::ClientDisconnected(id)),
            RequestState::InFlight(attempt) => {
                self.decisions.push(Event::ClientDisconnected(id));
                self.decisions.push_last_attempt_ended(id, attempt.server, Outcome::Cancelled);
            }
            RequestState::Established(server) => {
                self.decisions.push_last_attempt_ended(id, server, Outcome::Cancelled);
            }
        }
    }

    /// Queues any other event for the balancer: load reports, endpoint lists, timers.
    pub fn push_event(&mut self, event: Event) {
        self.decisions.push(event);
    }

    /// Closes an established connection that the node migrates, either during a drain or because its server has stopped
    /// responding. Returns the frontend that has to notify the client, or `None` if the connection is not established.
    pub fn close_for_migration(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        outcome: Outcome,
    ) -> Option<FrontendId> {
        let migrated = self.ledger.migrate(now, id, outcome)?;
        self.decisions.push_last_attempt_ended(id, migrated.server, outcome);
        Some(migrated.frontend)
    }

    /// Migrates the established connections that exceed the quotas, newest first.
    pub fn migrate_over_quota(&mut self, now: MonotonicTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for request_id in self.ledger.connections_over_quota(now) {
            if let Some(frontend) = self.close_for_migration(now, request_id, Outcome::Cancelled) {
                self.ledger.counters_mut().quota_migrated += 1;
                commands.push(Command::Migrate { frontend, request_id });
            }
        }
        commands
    }

    /// Fails the requests that arrived before `arrived_before` and have no answer yet. Called while the node drains or
    /// shuts down.
    pub fn fail_unanswered(&mut self, now: MonotonicTime, arrived_before: MonotonicTime) -> Vec<Command> {
        let is_due = |request: &Request| !request.is_established() && request.started_at < arrived_before;
        let mut commands = Vec::new();
        for request_id in self.ledger.open().ids_oldest_first(is_due) {
            let Some(ended) = self.ledger.fail_unanswered(now, request_id) else { continue };
            let frontend = ended.frontend;
            self.restorations.remove(request_id);
            self.decisions.push(Event::ClientDisconnected(request_id));
            if let RequestState::InFlight(attempt) = ended.state {
                commands.push(Command::CancelAttempt { frontend, request_id });
                self.decisions.push_last_attempt_ended(request_id, attempt.server, Outcome::Cancelled);
            }
            commands.push(Command::Fail { frontend, request_id });
        }
        commands
    }

    /// Whether [`RequestTable::decide`] has anything to process.
    pub fn has_pending_events(&self) -> bool {
        self.decisions.has_pending_events() || self.ledger.quota_usage().has_rejections()
    }

    /// Passes all pending events to the balancer and returns the resulting commands in execution order.
    pub fn decide(&mut self, now: MonotonicTime) -> Vec<Command> {
        let mut commands = self.answer_quota_rejections(now);
        let mut actions = Vec::new();
        while self.decisions.has_pending_events() {
            self.decisions.handle_pending(now, &mut actions);
            for action in actions.drain(..) {
                commands.extend(self.apply(now, action));
            }
        }
        commands
    }

    fn answer_quota_rejections(&mut self, now: MonotonicTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for QuotaRejection { request_id, retry_after } in self.ledger.quota_usage_mut().take_rejections() {
            if let Some(frontend) = self.ledger.reject_over_quota(now, request_id) {
                commands.push(Command::Reject { frontend, request_id, retry_after });
            }
        }
        commands
    }

    /// Applies an action of the balancer. Returns `None` if the action is out of date or needs no command.
    fn apply(&mut self, now: MonotonicTime, action: Action) -> Option<Command> {
        match action {
            Action::StartAttempt { id, server, timeout, send_by } => {
                self.start_attempt(now, id, AttemptPlan { server, timeout, send_by })
            }
            Action::CancelAttempt { id, .. } => {
                let frontend = self.ledger.open().get(id)?.frontend;
                self.on_attempt_ended(now, id, Outcome::Cancelled);
                Some(Command::CancelAttempt { frontend, request_id: id })
            }
            Action::Reject { id, retry_after } => {
                let frontend = self.ledger.reject(now, id)?;
                Some(Command::Reject { frontend, request_id: id, retry_after })
            }
            Action::Fail(id) => {
                let frontend = self.ledger.fail(now, id)?;
                Some(Command::Fail { frontend, request_id: id })
            }
            Action::Migrate(id) => {
                let frontend = self.ledger.open().get(id)?.frontend;
                self.close_for_migration(now, id, Outcome::Cancelled);
                Some(Command::Migrate { frontend, request_id: id })
            }
            Action::SetTimer { after, token } => Some(Command::SetTimer { after, token }),
            Action::HealthCheck(server) => Some(Command::HealthCheck { server }),
            Action::Subscribe => Some(Command::Subscribe),
            Action::Log(notice) => Some(Command::Log(notice)),
        }
    }

    fn start_attempt(&mut self, now: MonotonicTime, id: RequestId, plan: AttemptPlan) -> Option<Command> {
        let server = plan.server;
        match self.ledger.start_attempt(now, id, plan) {
            Ok(started) => {
                let (frontend, timeout) = (started.frontend, started.timeout);
                Some(Command::StartAttempt { frontend, request_id: id, server, timeout })
            }
            Err(AttemptRefusal::NotAwaitingAttempt) => {
                self.decisions.push_last_attempt_ended(id, server, Outcome::NotSent);
                None
            }
            Err(AttemptRefusal::OverQuota) => {
                let outcome = Outcome::Rejected;
                self.decisions.push(Event::AttemptEnded { id, server, outcome, done: false });
                None
            }
        }
    }

    /// The frontend of a request if its attempt with this number is still in flight. Used by the attempt's time-out.
    pub fn frontend_of_attempt(&self, id: RequestId, number: u32) -> Option<FrontendId> {
        let request = self.ledger.open().get(id)?;
        let is_in_flight = request.attempt_in_flight().is_some_and(|attempt| attempt.number == number);
        is_in_flight.then_some(request.frontend)
    }

    /// The number of a request's latest attempt, or zero if it has had none. Used to set the attempt's time-out.
    pub fn attempt_number(&self, id: RequestId) -> u32 {
        self.ledger.open().get(id).map_or(0, |request| request.attempts)
    }

    /// The ids of the requests with an established connection, oldest first.
    pub fn established(&self) -> Vec<RequestId> {
        self.ledger.open().ids_oldest_first(Request::is_established)
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.ledger.open().is_empty()
    }

    /// The counters since the start of the process.
    pub fn counters(&self) -> &Counters {
        self.ledger.counters()
    }

    /// Mutable access to the counters, for events that the node and its frontends count themselves.
    pub fn counters_mut(&mut self) -> &mut Counters {
        self.ledger.counters_mut()
    }

    /// Enables quotas: from now on, requests are counted against them.
    pub fn enable_quotas(&mut self, admission: QuotaAdmission) {
        self.ledger.quota_usage_mut().enable(admission);
    }

    /// The quota admission of this node, if the fleet has quotas.
    pub fn quotas(&self) -> Option<&QuotaAdmission> {
        self.ledger.quota_usage().admission()
    }

    /// Mutable access to the quota admission, for the exchange of leases.
    pub fn quotas_mut(&mut self) -> Option<&mut QuotaAdmission> {
        self.ledger.quota_usage_mut().admission_mut()
    }

    /// Enables flow records for the flows that end from now on.
    pub fn enable_flow_records(&mut self) {
        self.ledger.records_mut().enable_flows();
    }

    /// Removes and returns the collected flow records, oldest first.
    pub fn take_flow_records(&mut self) -> Vec<FlowRecord> {
        self.ledger.records_mut().take_flows()
    }

    /// Enables attempt records for the steps of attempts from now on.
    pub fn enable_attempt_records(&mut self) {
        self.ledger.records_mut().enable_attempts();
    }

    /// Removes and returns the collected attempt records, oldest first.
    pub fn take_attempt_records(&mut self) -> Vec<AttemptRecord> {
        self.ledger.records_mut().take_attempts()
    }

    /// Counts and logs the violation of a protocol rule. A violation is always a bug in this program.
    pub fn record_violation(&mut self, violation: Violation, context: ViolationContext<'_>) {
        self.violations.record(violation, context);
    }

    /// The number of rule violations so far.
    pub fn violation_count(&self) -> u64 {
        self.violations.count()
    }
}

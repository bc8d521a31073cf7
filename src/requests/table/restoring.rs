//! The part of the request table for sessions from before this process started, which are restored at their servers.

use super::RequestTable;
use crate::frontend_id::FrontendId;
use crate::model::{Arrival, Event, Outcome, RequestId, ServerId};
use crate::requests::open_requests::Request;
use crate::requests::records::FlowResult;
use crate::requests::restorations::RestoreInputs;
use crate::requests::transition::AttemptTimeouts;
use crate::rules::{self, PeerStatus, RetryRefusal, SendInputs, SendRefusal};
use sparbank_time::MonotonicTime;
use std::time::Duration;

impl RequestTable {
    /// Adds a session that was established before this process started. Its frontend restores it at its previous
    /// server, without server selection, and reports each attempt. Returns the id assigned to it.
    pub fn on_restoration(
        &mut self,
        now: MonotonicTime,
        frontend: FrontendId,
        mut arrival: Arrival,
    ) -> RequestId {
        let id = self.ledger.insert_restoring(now, frontend, &mut arrival);
        self.restorations.insert(id);
        id
    }

    /// Starts an attempt to restore a session.
    ///
    /// # Errors
    /// Why the session gets no further attempt. The frontend then gives the final answer.
    pub fn start_restore_attempt(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
    ) -> Result<AttemptTimeouts, RetryRefusal> {
        let request = self.ledger.open().get(id).ok_or(RetryRefusal::AttemptsUsed)?;
        let inputs = restore_inputs(now, request);
        let timeouts = self.restorations.start_attempt(id, inputs)?;
        self.ledger.counters_mut().restore_attempts += 1;
        Ok(timeouts)
    }

    /// Reports that the request line of an attempt to restore a session is written to the server.
    pub fn on_restore_attempt_sent(&mut self, now: MonotonicTime, id: RequestId, server: ServerId) {
        self.restorations.on_sent(now, id, server);
    }

    /// Reports that an attempt to restore a session has ended, and returns the backoff before the next one. `server` is
    /// `None` if the endpoint list does not contain the session's server.
    ///
    /// # Errors
    /// Why the session gets no further attempt. The frontend then gives the final answer.
    pub fn on_restore_attempt_ended(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        server: Option<ServerId>,
        outcome: Outcome,
    ) -> Result<Duration, RetryRefusal> {
        let request = self.ledger.open().get(id).ok_or(RetryRefusal::AttemptsUsed)?;
        let inputs = restore_inputs(now, request);
        self.restorations.on_attempt_ended(id, server, outcome, inputs)
    }

    /// Reports that a server has accepted a session that was being restored.
    pub fn on_restored(&mut self, id: RequestId, arrival: Arrival, server: ServerId) {
        self.restorations.remove(id);
        if self.ledger.restore(id, server) {
            self.decisions.push(Event::Resumed(Arrival { id, ..arrival }, server));
        }
    }

    /// Whether a client whose session is not restored may send its request again without a risk of running it twice.
    pub fn may_reject_restoration(&self, id: RequestId) -> bool {
        let request = self.ledger.open().get(id);
        request.is_some_and(|request| self.restorations.may_reject(id, request.class))
    }

    /// Closes a session that is not restored. Its frontend sends the final answer.
    pub fn abandon_restoration(&mut self, now: MonotonicTime, id: RequestId, result: FlowResult) {
        self.restorations.remove(id);
        self.ledger.abandon_restoration(now, id, result);
    }

    /// A session being restored returns to its previous server, whatever the server's lifecycle state. It counts against the
    /// quotas once it is established.
    pub(super) fn may_send_restoring(
        &self,
        now: MonotonicTime,
        id: RequestId,
        request: &Request,
        peers: PeerStatus,
    ) -> Result<(), SendRefusal> {
        let inputs = restore_inputs(now, request);
        let send_by = self.restorations.send_by(id, inputs);
        let peers = PeerStatus { server_ready: true, ..peers };
        let inputs = SendInputs { now, peers, is_current_attempt: true, exceeds_quota: false, send_by };
        rules::may_send(&inputs)
    }
}

fn restore_inputs(now: MonotonicTime, request: &Request) -> RestoreInputs {
    RestoreInputs { now, deadline: request.deadline, class: request.class }
}

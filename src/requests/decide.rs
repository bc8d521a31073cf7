//! Decisions: passes the gathered events to the balancer and turns its actions into commands.

use super::command::Command;
use super::open_requests::{Attempt, RequestState};
use super::records::FlowResult;
use super::table::{QuotaRejection, RequestTable};
use crate::frontend_id::FrontendId;
use crate::model::{Action, Event, Outcome, RequestId, ServerId};
use sparbank_time::MonotonicTime;
use std::time::Duration;

/// An attempt as the balancer wants it.
struct AttemptPlan {
    server: ServerId,
    timeout: Duration,
    send_by: MonotonicTime,
}

impl RequestTable {
    /// Passes all pending events to the balancer and returns the commands that follow, in order.
    pub fn decide(&mut self, now: MonotonicTime) -> Vec<Command> {
        let mut commands = self.answer_quota_rejections(now);
        let mut actions = Vec::new();
        while !self.pending_events.is_empty() {
            for event in std::mem::take(&mut self.pending_events) {
                self.balancer.handle(now, event, &mut actions);
            }
            for action in actions.drain(..) {
                commands.extend(self.apply(now, action));
            }
        }
        commands
    }

    fn answer_quota_rejections(&mut self, now: MonotonicTime) -> Vec<Command> {
        let mut commands = Vec::new();
        for rejection in std::mem::take(&mut self.quota_rejections) {
            let QuotaRejection { request_id, retry_after } = rejection;
            if let Some(frontend) = self.close_unanswered(now, request_id, FlowResult::Rejected) {
                self.counters.rejected += 1;
                self.counters.rejected_unsent += 1;
                self.counters.quota_rejected += 1;
                commands.push(Command::Reject { frontend, request_id, retry_after });
            }
        }
        commands
    }

    fn apply(&mut self, now: MonotonicTime, action: Action) -> Option<Command> {
        match action {
            Action::StartAttempt { id, server, timeout, send_by } => {
                self.start_attempt(now, id, AttemptPlan { server, timeout, send_by })
            }
            Action::CancelAttempt { id, .. } => {
                let frontend = self.open.get(id)?.frontend;
                self.on_attempt_ended(now, id, Outcome::Cancelled);
                Some(Command::CancelAttempt { frontend, request_id: id })
            }
            Action::Reject { id, retry_after } => self.reject(now, id, retry_after),
            Action::Fail(id) => {
                let frontend = self.close_unanswered(now, id, FlowResult::Failed)?;
                self.counters.failed += 1;
                Some(Command::Fail { frontend, request_id: id })
            }
            Action::Migrate(id) => {
                let frontend = self.open.get(id)?.frontend;
                self.close_for_migration(now, id, Outcome::Cancelled);
                Some(Command::Migrate { frontend, request_id: id })
            }
            Action::SetTimer { after, token } => Some(Command::SetTimer { after, token }),
            Action::HealthCheck(server) => Some(Command::HealthCheck { server }),
            Action::Subscribe => Some(Command::Subscribe),
            Action::Log(text) => Some(Command::Log(text)),
        }
    }

    fn start_attempt(&mut self, now: MonotonicTime, id: RequestId, plan: AttemptPlan) -> Option<Command> {
        let AttemptPlan { server, timeout, send_by } = plan;
        let waiting = self.open.get_mut(id).filter(|request| request.state == RequestState::NoAttempt);
        let Some(request) = waiting else {
            self.push_last_attempt_ended(id, server, Outcome::NotSent);
            return None;
        };
        let is_retry = request.attempts > 0;
        if let Some(quotas) = self.quotas.as_mut().filter(|_| is_retry) {
            if quotas.admit_retry(now, request.class).is_err() {
                self.counters.quota_rejected += 1;
                let outcome = Outcome::Rejected;
                self.pending_events.push(Event::AttemptEnded { id, server, outcome, done: false });
                return None;
            }
        }
        request.attempts += 1;
        let attempt = Attempt { server, sent_at: now, number: request.attempts, send_by };
        request.state = RequestState::InFlight(attempt);
        self.counters.sent += 1;
        let timeout = timeout.min(request.deadline.saturating_duration_since(now));
        Some(Command::StartAttempt { frontend: request.frontend, request_id: id, server, timeout })
    }

    fn reject(&mut self, now: MonotonicTime, id: RequestId, retry_after: Duration) -> Option<Command> {
        let is_unsent = self.open.get(id).is_some_and(|request| request.attempts == 0);
        let frontend = self.close_unanswered(now, id, FlowResult::Rejected)?;
        self.counters.rejected += 1;
        self.counters.rejected_unsent += u64::from(is_unsent);
        Some(Command::Reject { frontend, request_id: id, retry_after })
    }

    /// Closes a request that has no attempt in flight and no answer yet.
    fn close_unanswered(
        &mut self,
        now: MonotonicTime,
        id: RequestId,
        result: FlowResult,
    ) -> Option<FrontendId> {
        let request = self.open.get(id)?;
        if request.state != RequestState::NoAttempt {
            return None;
        }
        let frontend = request.frontend;
        self.close(now, id, None, result);
        Some(frontend)
    }
}

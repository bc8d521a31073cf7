//! The balancer and the queue of events that it has not processed yet.

use crate::model::{Action, Event, Outcome, RequestId, ServerId, Settings, SettingsError};
use crate::policy::Balancer;
use sparbank_time::MonotonicTime;

/// Queues events for the balancer, which processes them in batches.
pub struct DecisionQueue {
    balancer: Balancer,
    pending_events: Vec<Event>,
}

impl DecisionQueue {
    /// Creates an empty queue. The seed determines the balancer's random draws.
    ///
    /// # Errors
    /// The first setting that is invalid.
    pub fn new(seed: u64, settings: Settings) -> Result<DecisionQueue, SettingsError> {
        Ok(DecisionQueue { balancer: Balancer::new(seed, settings)?, pending_events: Vec::new() })
    }

    /// The balancer, for operations that are not events.
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// Mutable access to the balancer, for operations that are not events.
    pub fn balancer_mut(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Queues an event for the next [`DecisionQueue::handle_pending`].
    pub fn push(&mut self, event: Event) {
        self.pending_events.push(event);
    }

    /// Queues the end of a request's last attempt: no retry follows.
    pub fn push_last_attempt_ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome) {
        self.push(Event::AttemptEnded { id, server, outcome, done: true });
    }

    /// Whether events are pending.
    pub fn has_pending_events(&self) -> bool {
        !self.pending_events.is_empty()
    }

    /// Passes the pending events to the balancer and appends its actions to `actions`.
    pub fn handle_pending(&mut self, now: MonotonicTime, actions: &mut Vec<Action>) {
        for event in std::mem::take(&mut self.pending_events) {
            self.balancer.handle(now, event, actions);
        }
    }
}

//! The balancer, and the events that it has not seen yet.

use crate::model::{Action, Event, Outcome, RequestId, ServerId, Settings, SettingsError};
use crate::policy::Balancer;
use sparbank_time::MonotonicTime;

/// Gathers events for the balancer, which handles them in one go.
pub struct DecisionQueue {
    balancer: Balancer,
    pending_events: Vec<Event>,
}

impl DecisionQueue {
    /// An empty queue. The seed determines the balancer's random draws.
    ///
    /// # Errors
    /// The field of the settings that cannot be right.
    pub fn new(seed: u64, settings: Settings) -> Result<DecisionQueue, SettingsError> {
        Ok(DecisionQueue { balancer: Balancer::new(seed, settings)?, pending_events: Vec::new() })
    }

    /// The balancer, for what is no event.
    pub fn balancer(&self) -> &Balancer {
        &self.balancer
    }

    /// The balancer, for what is no event.
    pub fn balancer_mut(&mut self) -> &mut Balancer {
        &mut self.balancer
    }

    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.pending_events.push(event);
    }

    /// Adds the end of a request's last attempt: no further attempt follows.
    pub fn push_last_attempt_ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome) {
        self.push(Event::AttemptEnded { id, server, outcome, done: true });
    }

    /// Whether events are pending.
    pub fn has_pending_events(&self) -> bool {
        !self.pending_events.is_empty()
    }

    /// Lets the balancer handle the pending events, and appends its actions.
    pub fn handle_pending(&mut self, now: MonotonicTime, actions: &mut Vec<Action>) {
        for event in std::mem::take(&mut self.pending_events) {
            self.balancer.handle(now, event, actions);
        }
    }
}

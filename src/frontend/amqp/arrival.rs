//! What a client's message or attach says about its request.

use crate::frontend::{FrontendContext, ANSWER_MARGIN};
use crate::hash::fnv1a;
use crate::model::{Arrival, RequestId};
use std::time::Duration;

/// What a client's message or attach says about its request.
#[derive(Debug)]
pub struct RequestAttributes {
    /// The request's class.
    pub class: usize,
    /// How long the client waits for an answer.
    pub time_limit: Duration,
    /// The property `key`, the idempotency key: a hexadecimal number, or any text.
    pub key: Option<String>,
    /// The property `group`.
    pub group: Option<String>,
    /// The property `again`: the client had such a connection before.
    pub is_reconnect: bool,
}

impl RequestAttributes {
    /// The request as the request table takes it.
    pub fn into_arrival(self) -> Arrival {
        let parse_key = |key: String| u64::from_str_radix(&key, 16).unwrap_or_else(|_| fnv1a(&key));
        Arrival {
            id: RequestId(0),
            class: self.class,
            time_left: self.time_limit.saturating_sub(ANSWER_MARGIN),
            cost: None,
            key: self.key.map(parse_key),
            group: self.group.map(|group| fnv1a(&group)),
            reconnect: self.is_reconnect,
            client_retry: false,
            rerouted: false,
        }
    }
}

/// The time limit of the requests of a class that state none.
pub fn default_time_limit(ctx: &FrontendContext, class: usize) -> Duration {
    ctx.classes.get(class).map_or(Duration::ZERO, |class| class.hard_limit)
}

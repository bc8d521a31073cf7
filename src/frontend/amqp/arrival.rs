//! The attributes of a request, taken from a client's message or attach.

use crate::frontend::{FrontendContext, ANSWER_MARGIN};
use crate::hash::fnv1a;
use crate::model::{Arrival, RequestId};
use std::time::Duration;

/// The attributes of a request, taken from a client's message or attach.
#[derive(Debug)]
pub struct RequestAttributes {
    /// The index of the request's class.
    pub class: usize,
    /// How long the client waits for an answer.
    pub time_limit: Duration,
    /// The idempotency key, from the property `key`: a hexadecimal number, or any other text, which is hashed.
    pub key: Option<String>,
    /// The group, from the property `group`.
    pub group: Option<String>,
    /// Whether the client reconnects, from the property `again`.
    pub is_reconnect: bool,
}

impl RequestAttributes {
    /// Converts the attributes to an arrival for the request table.
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

/// The time limit of requests that do not specify one: the hard limit of their class.
pub fn default_time_limit(ctx: &FrontendContext, class: usize) -> Duration {
    ctx.classes.get(class).map_or(Duration::ZERO, |class| class.hard_limit)
}

//! Calculates the credit of clients' sending links.

use crate::frontend::amqp::config::AmqpConfig;
use crate::frontend::amqp::fast_map::FastHashMap;

/// The number of sending links of each subscriber, which share the subscriber's credit.
#[derive(Default)]
pub struct SubscriberLinks {
    counts: FastHashMap<String, u32>,
}

impl SubscriberLinks {
    /// Counts a link that was attached.
    pub fn add(&mut self, subscriber: &str) {
        *self.counts.entry(subscriber.to_string()).or_default() += 1;
    }

    /// Stops counting `links` links that were detached.
    pub fn remove(&mut self, subscriber: &str, links: u32) {
        let Some(count) = self.counts.get_mut(subscriber) else { return };
        *count = count.saturating_sub(links);
        if *count == 0 {
            self.counts.remove(subscriber);
        }
    }

    /// The credit that a link of this subscriber should have while `buffered_bytes` octets are buffered: an equal share
    /// of the subscriber's credit, reduced while memory is short.
    pub fn target_credit(&self, subscriber: &str, config: &AmqpConfig, buffered_bytes: usize) -> u32 {
        let links = self.counts.get(subscriber).copied().unwrap_or(1).max(1);
        let equal_share = (config.subscriber_credit / links).clamp(1, config.credit);
        reduce_credit(equal_share, buffered_bytes, config.max_buffered_bytes)
    }
}

/// The credit of a link while `buffered_bytes` of at most `max_bytes` octets are buffered. It falls linearly from the
/// full `credit` at one half of `max_bytes` to 0 at nine tenths.
fn reduce_credit(credit: u32, buffered_bytes: usize, max_bytes: usize) -> u32 {
    let start = max_bytes / 2;
    let end = max_bytes / 10 * 9;
    if buffered_bytes <= start {
        return credit;
    }
    let left = end.saturating_sub(buffered_bytes) as u64;
    let range = end.saturating_sub(start).max(1) as u64;
    (u64::from(credit) * left / range) as u32
}

#[cfg(test)]
mod tests;

//! Selects the connections to migrate from a server: those with the lowest value relative to their load.

use crate::model::{RequestId, WeightBasis};
use crate::random::unit_interval;
use sparbank_time::DurationExt;
use std::time::Duration;

/// Used in place of an unknown load: the smallest load that is not zero.
const MIN_COST: Duration = Duration::from_nanos(1);

/// A connection that may be migrated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// The request that established the connection.
    pub id: RequestId,
    /// The connection's priority weight relative to its load; see [`connection_value`].
    pub value: f64,
    /// Orders connections of equal value.
    pub tie_breaker: u64,
}

/// Returns the priority weight of a connection relative to its load. `cost` is the load as work time per second, zero
/// if unknown. A weight that applies to a unit of work is already relative to the load.
pub fn connection_value(priority_weight: f64, cost: Duration, basis: WeightBasis) -> f64 {
    match basis {
        WeightBasis::Work => priority_weight,
        WeightBasis::Request => priority_weight / cost.max(MIN_COST).as_nanos_f64(),
    }
}

/// Selects a fraction of the connections for migration, in order of increasing value. Their number is rounded up or
/// down at random, by the uniform random number `random`.
pub fn least_valuable(
    mut connections: Vec<Connection>,
    fraction: f64,
    random: u64,
) -> impl Iterator<Item = RequestId> {
    connections.sort_by(|a, b| a.value.total_cmp(&b.value).then(a.tie_breaker.cmp(&b.tie_breaker)));
    let count = (fraction * connections.len() as f64 + unit_interval(random)) as usize;
    connections.into_iter().take(count).map(|connection| connection.id)
}

#[cfg(test)]
mod tests;

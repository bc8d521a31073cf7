//! The choice of connections to migrate from a server: those of the least value for their load.

use crate::model::{RequestId, WeightBasis};
use crate::random::unit_interval;
use sparbank_time::DurationExt;
use std::time::Duration;

/// An unknown load counts as this one, the smallest that is not zero.
const MIN_COST: Duration = Duration::from_nanos(1);

/// A connection that may be migrated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Connection {
    /// The request that established it.
    pub id: RequestId,
    /// Its priority weight for the load that it brings; see [`connection_value`].
    pub value: f64,
    /// Decides between equal values.
    pub rank: u64,
}

/// The value of a connection for its load of `cost` of work per second, zero if unknown. A weight that counts by work
/// is that value.
pub fn connection_value(priority_weight: f64, cost: Duration, basis: WeightBasis) -> f64 {
    match basis {
        WeightBasis::Work => priority_weight,
        WeightBasis::Request => priority_weight / cost.max(MIN_COST).as_nanos_f64(),
    }
}

/// The connections to migrate: this fraction of all, those of the least value first. `roll`, a uniform random number,
/// decides how the number is rounded.
pub fn least_valuable(
    mut connections: Vec<Connection>,
    fraction: f64,
    roll: u64,
) -> impl Iterator<Item = RequestId> {
    connections.sort_by(|a, b| a.value.total_cmp(&b.value).then(a.rank.cmp(&b.rank)));
    let count = (fraction * connections.len() as f64 + unit_interval(roll)) as usize;
    connections.into_iter().take(count).map(|connection| connection.id)
}

#[cfg(test)]
mod tests;

//! Division of a quota by demand with weighted max-min fairness.

/// Larger numbers of units are clamped to this value, so that the product of units and weight fits in 64 bits. The
/// largest total of a plan is below it.
const MAX_UNITS: u64 = 1 << 42;
/// Larger weights are clamped to this value.
const MAX_WEIGHT: u64 = 1 << 20;

/// The demand of one claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Demand {
    /// The units that the claimant requests.
    pub(crate) wanted: u64,
    /// The claimant's weight relative to the others, at least one.
    pub(crate) weight: u64,
}

impl Demand {
    fn effective_weight(self) -> u64 {
        self.weight.clamp(1, MAX_WEIGHT)
    }

    /// The claimant's demand divided by its weight, scaled by [`MAX_WEIGHT`].
    fn relative_demand(self) -> u64 {
        (self.wanted.min(MAX_UNITS) * MAX_WEIGHT) / self.effective_weight()
    }
}

/// Divides a total with weighted max-min fairness: no claimant gets less than it requests while another gets more in
/// proportion to its weight. Units that exceed all demand are divided by weight as well, so that claimants have spare
/// units when their demand grows. The shares are in the order of the demands and add up to at most the total.
pub(crate) fn divide_by_demand(total: u64, demands: &[Demand]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    // Claimants with the least demand relative to their weight come first, so that the others share the units that
    // these leave unused.
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_unstable_by_key(|&claimant| (demands[claimant].relative_demand(), claimant));
    let total_weight: u64 = demands.iter().map(|demand| demand.effective_weight()).sum();
    let mut remaining = total.min(MAX_UNITS);
    let mut remaining_weight = total_weight;
    for claimant in order {
        let weight = demands[claimant].effective_weight();
        let share = (remaining * weight / remaining_weight).min(demands[claimant].wanted);
        shares[claimant] = share;
        remaining -= share;
        remaining_weight -= weight;
    }
    if remaining > 0 {
        for (share, demand) in shares.iter_mut().zip(demands) {
            *share += remaining * demand.effective_weight() / total_weight;
        }
    }
    shares
}

#[cfg(test)]
mod tests;

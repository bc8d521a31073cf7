//! Division of a quota by demand: weighted max-min fairness.

/// The largest number of units that is divided; larger ones count as this, so that the product of units and weight
/// fits in 64 bits. The largest total of a plan is below it.
const MAX_UNITS: u64 = 1 << 42;
/// The largest weight; larger ones count as this.
const MAX_WEIGHT: u64 = 1 << 20;

/// The demand of one claimant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Demand {
    /// The units that the claimant wants.
    pub(crate) wanted: u64,
    /// The claimant's weight against the others, at least one.
    pub(crate) weight: u64,
}

impl Demand {
    fn effective_weight(self) -> u64 {
        self.weight.clamp(1, MAX_WEIGHT)
    }

    /// The claimant's demand in proportion to its weight.
    fn relative_demand(self) -> u64 {
        (self.wanted.min(MAX_UNITS) * MAX_WEIGHT) / self.effective_weight()
    }
}

/// Divides a total by weighted max-min fairness: no claimant gets less than it wants while another gets more in
/// proportion to its weight. The units that nobody wants are divided by weight too, so that a claimant whose demand
/// grows next has some at hand. The shares are in the order of the demands and add up to at most the total.
pub(crate) fn divide_by_demand(total: u64, demands: &[Demand]) -> Vec<u64> {
    let mut shares = vec![0; demands.len()];
    // The claimants with the least demand come first: what they do not want is left for the others.
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

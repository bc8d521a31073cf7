//! The descriptor limit: what is reserved and what stays free.

use super::reserve::DescriptorReserve;

/// Descriptors that no attempt takes: for the list's watch and the one after it, and for what is open beside the
/// sockets counted here (the standard streams, epoll, the other ends of the signals' pipes).
const MIN_FREE_DESCRIPTORS: usize = 14;
/// Descriptors run short when fewer than this and one in [`SHORTAGE_LIMIT_DIVISOR`] of the limit are free.
const SHORTAGE_DESCRIPTORS: usize = 16;
const SHORTAGE_LIMIT_DIVISOR: usize = 16;

/// How many descriptors the process may have, and how many of them are reserved.
pub(super) struct DescriptorBudget {
    limit: usize,
    reserve: DescriptorReserve,
}

impl DescriptorBudget {
    /// A budget without a reserve.
    pub(super) fn new(limit: usize) -> DescriptorBudget {
        DescriptorBudget { limit, reserve: DescriptorReserve::default() }
    }

    /// Changes how many descriptors the process may have.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The reserved descriptors.
    pub(super) fn reserve(&self) -> &DescriptorReserve {
        &self.reserve
    }

    /// The same, to change them.
    pub(super) fn reserve_mut(&mut self) -> &mut DescriptorReserve {
        &mut self.reserve
    }

    /// Whether descriptors run short where this many are open.
    pub(super) fn is_short(&self, open: usize) -> bool {
        let margin = self.limit / SHORTAGE_LIMIT_DIVISOR + SHORTAGE_DESCRIPTORS;
        self.reserve.committed(open) + margin > self.limit
    }

    /// Whether one more attempt may have a descriptor where this many are open.
    pub(super) fn has_one_for_attempt(&self, open: usize) -> bool {
        self.reserve.committed(open) + MIN_FREE_DESCRIPTORS < self.limit
    }
}

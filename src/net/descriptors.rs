//! The descriptor limit: how many descriptors are reserved, and how many are kept free.

use super::reserve::DescriptorReserve;

/// Descriptors that attempts may not use. They are kept for the watch of the endpoint list and the watch that
/// replaces it, and for open files that the socket store does not count (the standard streams, epoll, the
/// other ends of the signal pipes).
const MIN_FREE_DESCRIPTORS: usize = 14;
/// Descriptors are short when fewer than this number plus the limit divided by [`SHORTAGE_LIMIT_DIVISOR`] are
/// free.
const SHORTAGE_DESCRIPTORS: usize = 16;
const SHORTAGE_LIMIT_DIVISOR: usize = 16;

/// The number of descriptors that the process may open, and the reserve.
pub(super) struct DescriptorBudget {
    limit: usize,
    reserve: DescriptorReserve,
}

impl DescriptorBudget {
    /// Creates a budget without a reserve.
    pub(super) fn new(limit: usize) -> DescriptorBudget {
        DescriptorBudget { limit, reserve: DescriptorReserve::default() }
    }

    /// Changes how many descriptors the process may open.
    pub(super) fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    pub(super) fn reserve(&self) -> &DescriptorReserve {
        &self.reserve
    }

    pub(super) fn reserve_mut(&mut self) -> &mut DescriptorReserve {
        &mut self.reserve
    }

    /// Whether descriptors are short when `open` descriptors are open.
    pub(super) fn is_short(&self, open: usize) -> bool {
        let margin = self.limit / SHORTAGE_LIMIT_DIVISOR + SHORTAGE_DESCRIPTORS;
        self.reserve.committed(open) + margin > self.limit
    }

    /// Whether a descriptor is available for one more attempt when `open` descriptors are open.
    pub(super) fn has_descriptor_for_attempt(&self, open: usize) -> bool {
        self.reserve.committed(open) + MIN_FREE_DESCRIPTORS < self.limit
    }
}

//! Decides when a grantor may reclaim allotments, the only part of granting that needs a clock.

use crate::lease_table::LeaseTable;
use crate::protocol::{HolderId, LeaseExpiry, LeaseGrant, LogEntry};
use sparbank_time::MonotonicTime;
use std::collections::BTreeMap;

/// A lease table, and the time on the grantor's own clock at which it applied the newest request of each holder. The
/// leading grantor proposes the expiries that [`Grantor::expired_leases`] returns; all grantors apply the committed
/// log entries.
///
/// A holder sends its request before any grantor applies it, so a lease measured from when the request was applied
/// ends after the lease that the holder measures. This holds for every grantor, including one that applied the
/// request long after the others. A new leader therefore needs no state from the previous one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grantor {
    lease_table: LeaseTable,
    applied: BTreeMap<HolderId, AppliedRequest>,
}

/// The newest applied request of a holder, timed by this grantor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AppliedRequest {
    applied_at: MonotonicTime,
    /// Whether the rates have been reclaimed since.
    rates_reclaimed: bool,
}

impl AppliedRequest {
    fn new(applied_at: MonotonicTime) -> AppliedRequest {
        AppliedRequest { applied_at, rates_reclaimed: false }
    }
}

impl Grantor {
    /// Creates a grantor that starts now, with an empty lease table or one copied from another grantor.
    pub fn new(lease_table: LeaseTable, now: MonotonicTime) -> Grantor {
        let applied = lease_table.holders().map(|holder| (holder, AppliedRequest::new(now))).collect();
        Grantor { lease_table, applied }
    }

    /// The leases as of the requests applied so far.
    pub fn lease_table(&self) -> &LeaseTable {
        &self.lease_table
    }

    /// Applies a log entry and returns the grants for its requests.
    pub fn apply(&mut self, now: MonotonicTime, entry: &LogEntry) -> Vec<LeaseGrant> {
        let sequence_before = |holder| (holder, self.lease_table.sequence(holder));
        let before: Vec<_> = entry.requests.iter().map(|request| sequence_before(request.holder)).collect();
        let grants = self.lease_table.apply(entry);
        for (holder, sequence) in before {
            if self.lease_table.sequence(holder) != sequence {
                self.applied.insert(holder, AppliedRequest::new(now));
            }
        }
        for expiry in entry.expiries.iter().filter(|expiry| !expiry.includes_levels) {
            if self.lease_table.sequence(expiry.holder) == Some(expiry.sequence) {
                self.applied.entry(expiry.holder).and_modify(|applied| applied.rates_reclaimed = true);
            }
        }
        self.applied.retain(|holder, _| self.lease_table.sequence(*holder).is_some());
        grants
    }

    /// The leases that have expired and whose allotments can be reclaimed.
    pub fn expired_leases(&self, now: MonotonicTime) -> Vec<LeaseExpiry> {
        let plan = self.lease_table.plan();
        let rates_after = plan.lease_expired_after();
        let levels_after = plan.connections_cleared_after();
        let expiry = |(&holder, applied): (&HolderId, &AppliedRequest)| {
            let age = now.saturating_duration_since(applied.applied_at);
            let includes_levels = age >= levels_after;
            let rates_expired = age >= rates_after && !applied.rates_reclaimed;
            let sequence = self.lease_table.sequence(holder)?;
            (includes_levels || rates_expired).then_some(LeaseExpiry { holder, sequence, includes_levels })
        };
        self.applied.iter().filter_map(expiry).collect()
    }
}

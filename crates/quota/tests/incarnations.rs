//! Tests of a member whose wall clock steps back. The incarnation is the start time of the process, so a process can
//! have a lower incarnation than its predecessor.

mod support {
    pub mod plan;
}

use sparbank_quota::{
    HolderId, LeaseExpiry, LeaseGrant, LeaseRequest, LeaseTable, LogEntry, QuotaPlan, Resource,
};
use support::plan::{members, quota};

const TOTAL: u64 = 10;

fn lease_table() -> LeaseTable {
    LeaseTable::new(QuotaPlan {
        members: members(2),
        grantors: vec!["n0".into()],
        lease_ms: 300,
        clear_ms: 0,
        drift_ppm: 0,
        quotas: vec![quota("connections", Resource::Connections, TOTAL)],
    })
}

/// Requests the whole total for an incarnation of the member and returns the grant. The lease of the `expired`
/// incarnation, if any, is reclaimed in the same log entry.
fn request_total(
    table: &mut LeaseTable,
    incarnation: u64,
    sequence: u64,
    expired: Option<u64>,
) -> LeaseGrant {
    let holder = HolderId { member: 1, incarnation };
    let request = LeaseRequest {
        holder,
        sequence,
        layout: table.plan().layout_hash(),
        retained: vec![0],
        wanted: vec![TOTAL],
        shutting_down: false,
    };
    let expiry = |incarnation| LeaseExpiry {
        holder: HolderId { member: 1, incarnation },
        sequence: 1,
        includes_levels: true,
    };
    let expiries = expired.map(expiry).into_iter().collect();
    let mut grants = table.apply(&LogEntry { expiries, requests: vec![request] });
    grants.pop().expect("a grant")
}

/// If the wall clock of a member steps back between two starts, the newer process has the lower incarnation. It must
/// be fenced only until the lease of the older process has expired.
#[test]
fn member_whose_clock_stepped_back_is_granted_units_once_its_earlier_lease_has_expired() {
    let mut table = lease_table();
    assert!(!request_total(&mut table, 5_000, 1, None).fenced);
    assert!(request_total(&mut table, 1_000, 1, None).fenced, "the earlier lease may still be used");
    let grant = request_total(&mut table, 1_000, 2, Some(5_000));
    assert_eq!((grant.fenced, grant.allotments), (false, vec![TOTAL]));
}

/// A process that was stopped until its lease expired, and continues after a newer one has started, must stay fenced.
#[test]
fn older_incarnation_stays_fenced_while_a_newer_one_has_a_lease() {
    let mut table = lease_table();
    request_total(&mut table, 1_000, 1, None);
    assert!(!request_total(&mut table, 5_000, 1, Some(1_000)).fenced);
    assert!(request_total(&mut table, 1_000, 2, None).fenced);
    assert!(!request_total(&mut table, 5_000, 2, None).fenced);
}

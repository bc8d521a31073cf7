//! Incarnations of one member whose clock steps: a start time may be lower than that of the process before.

mod support {
    pub mod plan;
}

use sparbank_quota::{
    HolderId, LeaseExpiry, LeaseGrant, LeaseRequest, LeaseTable, LogEntry, QuotaPlan, Resource,
};
use support::plan::{members, quota};

const TOTAL: u64 = 10;

fn table() -> LeaseTable {
    LeaseTable::new(QuotaPlan {
        members: members(2),
        grantors: vec!["n0".into()],
        lease_ms: 300,
        clear_ms: 0,
        drift_ppm: 0,
        quotas: vec![quota("standing", Resource::Connections, TOTAL)],
    })
}

/// A member's incarnation requests all there is; yields its grant.
fn request(table: &mut LeaseTable, incarnation: u64, sequence: u64, expired: Option<u64>) -> LeaseGrant {
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

/// The wall clock went back between two starts of a member: the newer process, whose incarnation is lower, is fenced only
/// as long as the older one may still use its lease.
#[test]
fn a_member_whose_clock_stepped_back_is_served_once_its_earlier_lease_is_over() {
    let mut table = table();
    assert!(!request(&mut table, 5_000, 1, None).fenced);
    assert!(request(&mut table, 1_000, 1, None).fenced, "the earlier lease may still be used");
    let grant = request(&mut table, 1_000, 2, Some(5_000));
    assert_eq!((grant.fenced, grant.allotments), (false, vec![TOTAL]));
}

/// A process that was stopped past its lease and goes on beside a newer one stays fenced.
#[test]
fn an_older_incarnation_beside_a_newer_one_stays_fenced() {
    let mut table = table();
    request(&mut table, 1_000, 1, None);
    assert!(!request(&mut table, 5_000, 1, Some(1_000)).fenced);
    assert!(request(&mut table, 1_000, 2, None).fenced);
    assert!(!request(&mut table, 5_000, 2, None).fenced);
}

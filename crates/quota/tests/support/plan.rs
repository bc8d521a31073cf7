//! Builders for the members and quotas of test plans.

use sparbank_quota::{Member, Quota, Resource};

/// The members `n0`, `n1` and so on.
pub fn members(count: u16) -> Vec<Member> {
    let member = |i: u16| Member { name: format!("n{i}"), address: ([127, 0, 0, 1], 9000 + i).into() };
    (0..count).map(member).collect()
}

/// A quota without burst or floor that applies to all requests.
pub fn quota(name: &str, resource: Resource, total: u64) -> Quota {
    Quota {
        name: name.to_string(),
        resource,
        total,
        burst: 0,
        floor_percent: 0,
        subscriber: None,
        class: None,
    }
}

//! Validation of a quota plan: the limits of each field, and an error that names the invalid field.

use super::{Quota, QuotaPlan};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use thiserror::Error;

// The memory and time that a division takes grow with the product of members and quotas.
const MAX_MEMBERS: usize = 4096;
const MAX_QUOTAS: usize = 1024;
const MAX_TOTAL: u64 = 1_000_000_000;
const LEASE_RANGE_MS: RangeInclusive<u64> = 300..=60_000;
const MAX_CLEAR_MS: u64 = 120_000;
/// A drift of one tenth; real clocks drift apart by less than a thousandth.
const MAX_DRIFT_PPM: u64 = 100_000;
const MAX_FLOOR_PERCENT: u64 = 90;

/// An invalid field of a plan.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{field}: {problem}")]
pub struct PlanError {
    /// The path of the field, as in `budgets[2].burst`.
    pub field: String,
    /// The rule that the value of the field violates.
    pub problem: PlanProblem,
}

/// A rule that the value of a field violates.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlanProblem {
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// An earlier element of the same list has the same value.
    #[error("is a duplicate")]
    Duplicate,
    /// A list is empty or has more than `max` elements.
    #[error("must have 1 to {max} elements")]
    LengthOutOfRange {
        /// The largest number of elements that is allowed.
        max: usize,
    },
    /// The number of grantors is not one, three or five.
    #[error("must have one, three or five elements")]
    GrantorCount,
    /// A grantor is not a member.
    #[error("no member is named {name:?}")]
    UnknownMember {
        /// The name in the list of grantors that is no member's name.
        name: String,
    },
    /// The lease is shorter or longer than allowed.
    #[error("must be {} to {}", LEASE_RANGE_MS.start(), LEASE_RANGE_MS.end())]
    LeaseOutOfRange,
    /// The value is larger than allowed.
    #[error("must be at most {max}")]
    TooLarge {
        /// The largest value that is allowed.
        max: u64,
    },
    /// The total is zero or larger than allowed.
    #[error("must be 1 to {MAX_TOTAL}")]
    TotalOutOfRange,
    /// A level has a burst.
    #[error("must be 0 for connections")]
    BurstOfLevel,
    /// The burst of a rate is less than one event per member, or larger than the largest total.
    #[error("must be at least {members}, one per member")]
    BurstOutOfRange {
        /// The number of members.
        members: usize,
    },
}

fn ensure(condition: bool, field: impl Into<String>, problem: PlanProblem) -> Result<(), PlanError> {
    if condition {
        Ok(())
    } else {
        Err(PlanError { field: field.into(), problem })
    }
}

impl QuotaPlan {
    /// Checks all fields.
    ///
    /// # Errors
    ///
    /// The first invalid field. Members, grantors, durations and quotas are checked in this order.
    pub fn validate(&self) -> Result<(), PlanError> {
        self.validate_members()?;
        self.validate_grantors()?;
        self.validate_durations()?;
        self.validate_quotas()
    }

    fn validate_members(&self) -> Result<(), PlanError> {
        let length = PlanProblem::LengthOutOfRange { max: MAX_MEMBERS };
        ensure((1..=MAX_MEMBERS).contains(&self.members.len()), "members", length)?;
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (i, member) in self.members.iter().enumerate() {
            let name_field = || format!("members[{i}].name");
            ensure(!member.name.is_empty(), name_field(), PlanProblem::Empty)?;
            ensure(names.insert(&member.name), name_field(), PlanProblem::Duplicate)?;
            let address_is_new = addresses.insert(member.address);
            ensure(address_is_new, format!("members[{i}].address"), PlanProblem::Duplicate)?;
        }
        Ok(())
    }

    fn validate_grantors(&self) -> Result<(), PlanError> {
        ensure(matches!(self.grantors.len(), 1 | 3 | 5), "grantors", PlanProblem::GrantorCount)?;
        let members: BTreeSet<&String> = self.members.iter().map(|member| &member.name).collect();
        let mut names = BTreeSet::new();
        for (i, name) in self.grantors.iter().enumerate() {
            let field = || format!("grantors[{i}]");
            let unknown = PlanProblem::UnknownMember { name: name.clone() };
            ensure(members.contains(name), field(), unknown)?;
            ensure(names.insert(name), field(), PlanProblem::Duplicate)?;
        }
        Ok(())
    }

    fn validate_durations(&self) -> Result<(), PlanError> {
        ensure(LEASE_RANGE_MS.contains(&self.lease_ms), "lease_ms", PlanProblem::LeaseOutOfRange)?;
        let clear_too_large = PlanProblem::TooLarge { max: MAX_CLEAR_MS };
        ensure(self.clear_ms <= MAX_CLEAR_MS, "clear_ms", clear_too_large)?;
        let drift_too_large = PlanProblem::TooLarge { max: MAX_DRIFT_PPM };
        ensure(self.drift_ppm <= MAX_DRIFT_PPM, "drift_ppm", drift_too_large)
    }

    fn validate_quotas(&self) -> Result<(), PlanError> {
        let length = PlanProblem::LengthOutOfRange { max: MAX_QUOTAS };
        ensure((1..=MAX_QUOTAS).contains(&self.quotas.len()), "budgets", length)?;
        let mut names = BTreeSet::new();
        for (i, quota) in self.quotas.iter().enumerate() {
            let field = |name: &str| format!("budgets[{i}].{name}");
            ensure(!quota.name.is_empty(), field("name"), PlanProblem::Empty)?;
            ensure(names.insert(&quota.name), field("name"), PlanProblem::Duplicate)?;
            let total_is_valid = (1..=MAX_TOTAL).contains(&quota.total);
            ensure(total_is_valid, field("total"), PlanProblem::TotalOutOfRange)?;
            let floor_too_large = PlanProblem::TooLarge { max: MAX_FLOOR_PERCENT };
            let floor_is_valid = quota.floor_percent <= MAX_FLOOR_PERCENT;
            ensure(floor_is_valid, field("floor_percent"), floor_too_large)?;
            self.validate_burst(quota, field("burst"))?;
        }
        Ok(())
    }

    fn validate_burst(&self, quota: &Quota, field: String) -> Result<(), PlanError> {
        if quota.resource.is_level() {
            return ensure(quota.burst == 0, field, PlanProblem::BurstOfLevel);
        }
        let members = self.members.len();
        let allowed = members as u64..=MAX_TOTAL;
        ensure(allowed.contains(&quota.burst), field, PlanProblem::BurstOutOfRange { members })
    }
}

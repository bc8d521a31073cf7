//! The quota file: reading it, and finding this node among its members.

use sparbank_quota::{PlanError, QuotaPlan, Resource};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A grantor reserves a socket for each member; at least as many have to be left for everything else.
const SOCKETS_PER_MEMBER: usize = 2;

/// A valid plan, and the place of this node in it.
#[derive(Debug)]
pub struct QuotaMembership {
    /// The plan of the fleet.
    pub plan: QuotaPlan,
    /// The index of this node among the members.
    pub member: usize,
}

/// A quota file that cannot be used. It is displayed as one line that names the file and the field.
#[derive(Debug, Error)]
#[error("{}: {problem}", path.display())]
pub struct QuotaFileError {
    path: PathBuf,
    #[source]
    problem: QuotaFileProblem,
}

#[derive(Debug, Error)]
enum QuotaFileProblem {
    #[error("{0}")]
    Unreadable(#[from] io::Error),
    /// Not JSON, or a field of another type or name; the message names the field.
    #[error("{0}")]
    Undecodable(#[source] Box<dyn Error + Send + Sync>),
    #[error("field {0}")]
    Invalid(#[from] PlanError),
    /// Valid, but not supported by `serve` so far.
    #[error("field {0}: is not served yet")]
    Unsupported(UnsupportedField),
    #[error("field members: none is named {name:?}, as this node is")]
    NotAMember { name: String },
    #[error(
        "field members: a grantor of {members} needs limits.sockets of {} at least, not {sockets}",
        SOCKETS_PER_MEMBER * members
    )]
    TooFewSockets { members: usize, sockets: usize },
}

/// A field, or its value, that a plan may have but `serve` does not support so far.
#[derive(Debug, Error)]
enum UnsupportedField {
    #[error("grantors: more than one")]
    SeveralGrantors,
    #[error("budgets[{quota}].subscriber")]
    Subscriber { quota: usize },
    #[error("budgets[{quota}].limits: lists")]
    DiscoveryCalls { quota: usize },
}

/// Reads and validates a quota file.
///
/// # Errors
///
/// The file cannot be read or decoded, or a field is invalid.
pub fn read_plan(path: &Path) -> Result<QuotaPlan, QuotaFileError> {
    decode_plan(path).map_err(|problem| QuotaFileError { path: path.to_path_buf(), problem })
}

fn decode_plan(path: &Path) -> Result<QuotaPlan, QuotaFileProblem> {
    let text = std::fs::read_to_string(path)?;
    let plan: QuotaPlan =
        crate::json::parse(&text).map_err(|error| QuotaFileProblem::Undecodable(error.into()))?;
    plan.validate()?;
    Ok(plan)
}

/// Reads the plan for a node of this name with this many sockets, and finds its member. A plan that `serve` does not
/// support so far is an error, so that nothing of it is half applied.
///
/// # Errors
///
/// Those of [`read_plan`]; the plan is not supported, names no such member, or makes this node a grantor of more
/// members than its sockets suffice for.
pub fn load_membership(path: &Path, name: &str, sockets: usize) -> Result<QuotaMembership, QuotaFileError> {
    let plan = read_plan(path)?;
    let member = find_member(&plan, name, sockets)
        .map_err(|problem| QuotaFileError { path: path.to_path_buf(), problem })?;
    Ok(QuotaMembership { plan, member })
}

fn find_member(plan: &QuotaPlan, name: &str, sockets: usize) -> Result<usize, QuotaFileProblem> {
    if let Some(field) = unsupported_field(plan) {
        return Err(QuotaFileProblem::Unsupported(field));
    }
    let Some(member) = plan.members.iter().position(|member| member.name == name) else {
        return Err(QuotaFileProblem::NotAMember { name: name.to_string() });
    };
    let members = plan.members.len();
    let is_grantor = plan.grantors[0] == name;
    if is_grantor && SOCKETS_PER_MEMBER * members > sockets {
        return Err(QuotaFileProblem::TooFewSockets { members, sockets });
    }
    Ok(member)
}

fn unsupported_field(plan: &QuotaPlan) -> Option<UnsupportedField> {
    if plan.grantors.len() > 1 {
        return Some(UnsupportedField::SeveralGrantors);
    }
    for (index, quota) in plan.quotas.iter().enumerate() {
        if quota.subscriber.is_some() {
            return Some(UnsupportedField::Subscriber { quota: index });
        }
        if quota.resource == Resource::DiscoveryCalls {
            return Some(UnsupportedField::DiscoveryCalls { quota: index });
        }
    }
    None
}

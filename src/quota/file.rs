//! Reads the quota file and finds this node among its members.

use sparbank_quota::{PlanError, QuotaPlan, Resource};
use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A grantor reserves one socket for each member, and must have at least as many left for everything else.
const SOCKETS_PER_MEMBER: usize = 2;

/// A valid plan and this node's position in it.
#[derive(Debug)]
pub struct QuotaMembership {
    /// The fleet's quota plan.
    pub plan: QuotaPlan,
    /// The index of this node in the plan's members.
    pub member: usize,
}

/// An invalid or unreadable quota file. Displays as one line that names the file and the field.
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
    /// The file is not JSON, or a field has an unknown name or the wrong type; the message names the field.
    #[error("{0}")]
    Malformed(#[source] Box<dyn Error + Send + Sync>),
    #[error("field {0}")]
    Invalid(#[from] PlanError),
    /// The plan is valid, but `serve` does not support the field yet.
    #[error("field {0}: is not supported yet")]
    Unsupported(UnsupportedField),
    #[error("field members: none is named {name:?}, the name of this node")]
    NotAMember { name: String },
    #[error(
        "field members: a grantor for {members} members needs limits.sockets of at least {}, got {sockets}",
        SOCKETS_PER_MEMBER * members
    )]
    TooFewSockets { members: usize, sockets: usize },
}

/// A field, or a value of it, that is valid in a plan but not yet supported by `serve`.
#[derive(Debug, Error)]
enum UnsupportedField {
    #[error("grantors: more than one")]
    MultipleGrantors,
    #[error("budgets[{quota}].subscriber")]
    Subscriber { quota: usize },
    #[error("budgets[{quota}].limits: lists")]
    DiscoveryCalls { quota: usize },
}

/// Reads and validates a quota file.
///
/// # Errors
///
/// If the file cannot be read or parsed, or a field is invalid.
pub fn read_plan(path: &Path) -> Result<QuotaPlan, QuotaFileError> {
    parse_plan_file(path).map_err(|problem| QuotaFileError { path: path.to_path_buf(), problem })
}

fn parse_plan_file(path: &Path) -> Result<QuotaPlan, QuotaFileProblem> {
    let text = std::fs::read_to_string(path)?;
    let plan: QuotaPlan =
        crate::json::parse(&text).map_err(|error| QuotaFileProblem::Malformed(error.into()))?;
    plan.validate()?;
    Ok(plan)
}

/// Reads the plan and finds the member for the node with this name. `sockets` is the limit on the node's sockets. A
/// plan with fields that `serve` does not support yet is an error, so that no plan is applied in part.
///
/// # Errors
///
/// Those of [`read_plan`]. Also if the plan is not supported, has no member with this name, or makes this node the
/// grantor of more members than it has sockets for.
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
        return Some(UnsupportedField::MultipleGrantors);
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

//! The quota file: reading it, and finding this node among its members.

use sparbank_quota::{PlanError, QuotaPlan, Resource};
use std::error::Error;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

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
#[derive(Debug)]
pub struct QuotaFileError {
    path: PathBuf,
    problem: QuotaFileProblem,
}

#[derive(Debug)]
enum QuotaFileProblem {
    Unreadable(io::Error),
    /// Not JSON, or a field of another type or name; the message names the field.
    Undecodable(Box<dyn Error + Send + Sync>),
    Invalid(PlanError),
    /// Valid, but not supported by `serve` so far.
    Unsupported(UnsupportedField),
    NotAMember {
        name: String,
    },
    TooFewSockets {
        members: usize,
        sockets: usize,
    },
}

/// What a plan may say but `serve` does not support so far.
#[derive(Debug)]
enum UnsupportedField {
    SeveralGrantors,
    Subscriber { quota: usize },
    DiscoveryCalls { quota: usize },
}

impl fmt::Display for UnsupportedField {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnsupportedField::SeveralGrantors => write!(f, "grantors: more than one"),
            UnsupportedField::Subscriber { quota } => write!(f, "budgets[{quota}].subscriber"),
            UnsupportedField::DiscoveryCalls { quota } => write!(f, "budgets[{quota}].limits: lists"),
        }
    }
}

impl fmt::Display for QuotaFileProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            QuotaFileProblem::Unreadable(error) => write!(f, "{error}"),
            QuotaFileProblem::Undecodable(error) => write!(f, "{error}"),
            QuotaFileProblem::Invalid(error) => write!(f, "field {error}"),
            QuotaFileProblem::Unsupported(field) => write!(f, "field {field}: is not served yet"),
            QuotaFileProblem::NotAMember { name } => {
                write!(f, "field members: none is named {name:?}, as this node is")
            }
            QuotaFileProblem::TooFewSockets { members, sockets } => {
                let needed = SOCKETS_PER_MEMBER * members;
                write!(
                    f,
                    "field members: a grantor of {members} needs limits.sockets of {needed} at least, not {sockets}"
                )
            }
        }
    }
}

impl fmt::Display for QuotaFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path.display(), self.problem)
    }
}

impl Error for QuotaFileError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match &self.problem {
            QuotaFileProblem::Unreadable(error) => Some(error),
            QuotaFileProblem::Undecodable(error) => Some(error.as_ref()),
            QuotaFileProblem::Invalid(error) => Some(error),
            QuotaFileProblem::Unsupported(_)
            | QuotaFileProblem::NotAMember { .. }
            | QuotaFileProblem::TooFewSockets { .. } => None,
        }
    }
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
    let text = std::fs::read_to_string(path).map_err(QuotaFileProblem::Unreadable)?;
    let plan: QuotaPlan =
        crate::json::parse(&text).map_err(|error| QuotaFileProblem::Undecodable(error.into()))?;
    plan.validate().map_err(QuotaFileProblem::Invalid)?;
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

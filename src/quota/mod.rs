//! Fleet-wide quotas at this node: the quota file (`--fleet`, see `docs/QUOTAS.md`), the admission of requests, and the
//! transport of the lease protocol.

mod admission;
mod file;
pub mod transport;

pub use admission::QuotaAdmission;
pub use file::{load_membership, read_plan, QuotaFileError, QuotaMembership};

//! Fleet-wide quotas, divided among the nodes of a fleet by time-limited leases.
//!
//! A quota bounds what all nodes together may use: established connections (a *level*) or events per second (a
//! *rate*). Each node has an *allotment* of every quota, on a lease. The bound holds by construction:
//!
//! - the grantors' [`LeaseTable`] hands out only units that no holder can still be using;
//! - a [`LeaseHolder`] lowers its allotments before it reports them, raises them only on the grant for its newest
//!   request, and counts its lease from the time it sent that request;
//! - a [`Grantor`] reclaims an allotment only when that lease has expired on the holder's clock too;
//! - the floor of each member is set aside once and never granted to anybody.
//!
//! The lease table has no clock: it is a state machine that several grantors can replicate through a log. Nothing
//! in this crate does I/O; the caller passes the time in, as a
//! [`MonotonicTime`](sparbank_time::MonotonicTime) of its own clock: times of two nodes are never compared.

mod admission;
mod division;
mod grantor;
mod lease_holder;
mod lease_table;
mod plan;
mod protocol;
mod quota_usage;

pub use admission::{AdmissionController, AttemptKind, QuotaScope};
pub use grantor::Grantor;
pub use lease_holder::{LeaseHolder, Rejection};
pub use lease_table::LeaseTable;
pub use plan::{Member, PlanError, PlanProblem, Quota, QuotaPlan, Resource};
pub use protocol::{HolderId, LeaseExpiry, LeaseGrant, LeaseRequest, LogEntry};
pub use quota_usage::QuotaStatus;

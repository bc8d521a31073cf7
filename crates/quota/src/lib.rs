//! Fleet-wide quotas, divided among the nodes of a fleet by time-limited leases.
//!
//! A quota limits the combined use of all nodes: established connections (a *level*) or events per second (a
//! *rate*). Each node holds a leased *allotment* of every quota. The limit is never exceeded because:
//!
//! - the [`LeaseTable`] of the grantors grants only units that no other holder can still be using;
//! - a [`LeaseHolder`] lowers its allotments before it reports them, raises them only on the grant for its newest
//!   request, and measures its lease from the time at which it sent that request;
//! - a [`Grantor`] reclaims an allotment only after the lease has expired on the holder's clock as well;
//! - the floor of each member is reserved and is never part of a grant.
//!
//! The lease table has no clock: it is a deterministic state machine that several grantors can replicate through a
//! log. This crate does no I/O. The caller passes in the time of its own clock as a
//! [`MonotonicTime`](sparbank_time::MonotonicTime); times of different nodes are never compared.

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

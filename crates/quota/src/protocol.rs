//! The messages between lease holders and grantors, and the entries of the grantors' log.
//!
//! The order and the types of the fields are the wire format (postcard): renaming a field is safe, reordering is not.

use serde::{Deserialize, Serialize};

/// One incarnation of the node of a member: a restarted or duplicated process is another holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct HolderId {
    /// The index of the member in the plan.
    pub member: u16,
    /// Distinguishes the incarnations of a member; a later one has the greater number.
    pub incarnation: u64,
}

/// A request for a new lease. Until its sender receives the grant for this very request, it uses no more than it
/// retains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// The sender.
    pub holder: HolderId,
    /// The requests of a holder are numbered from one; an older request that arrives late has no effect.
    pub sequence: u64,
    /// [`QuotaPlan::layout_hash`](crate::QuotaPlan::layout_hash) of the sender's plan.
    pub layout: u64,
    /// The units that the sender retains of each quota: it has already lowered its allotments to them.
    pub retained: Vec<u64>,
    /// The units that the sender wants of each quota, beside its floor.
    pub wanted: Vec<u64>,
    /// The sender is shutting down: once this request is applied it has no allotment.
    pub shutting_down: bool,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct LeaseGrant {
    /// The receiver.
    pub holder: HolderId,
    /// The sequence number of the request that is granted.
    pub sequence: u64,
    /// The units of each quota that the receiver may use until its lease expires.
    pub allotments: Vec<u64>,
    /// The units of each quota that the receiver should come down to as soon as it can.
    pub targets: Vec<u64>,
    /// A later incarnation of the member has sent a request: the receiver gets no more.
    pub fenced: bool,
}

/// A grantor's statement that the lease of a holder has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LeaseExpiry {
    /// The holder whose allotments are reclaimed.
    pub holder: HolderId,
    /// The newest request that the grantor knew of: if a newer one was applied, the expiry has no effect.
    pub sequence: u64,
    /// Whether the levels are reclaimed too, because the connections counted in them are gone.
    pub includes_levels: bool,
}

/// One entry of the grantors' log, applied at once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LogEntry {
    /// The leases that have expired; they are applied before the requests.
    pub expiries: Vec<LeaseExpiry>,
    /// The lease requests, each to be answered with a grant.
    pub requests: Vec<LeaseRequest>,
}

//! The messages between lease holders and grantors, and the entries of the grantors' log.
//!
//! The order and types of the fields define the wire format (postcard): fields may be renamed but not reordered.

use serde::{Deserialize, Serialize};

/// Identifies one incarnation of a member's node: a restarted or duplicated process is a different holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct HolderId {
    /// The index of the member in the plan.
    pub member: u16,
    /// Distinguishes the incarnations of a member; later incarnations have greater numbers.
    pub incarnation: u64,
}

/// A request for a new lease. Until the sender receives the grant for this request, it uses no more than the units it
/// retains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct LeaseRequest {
    /// The holder that sent the request.
    pub holder: HolderId,
    /// The number of this request, counted from one for each holder. A request that arrives after a newer one has no
    /// effect.
    pub sequence: u64,
    /// [`QuotaPlan::layout_hash`](crate::QuotaPlan::layout_hash) of the sender's plan.
    pub layout: u64,
    /// The units of each quota that the sender retains; it has already lowered its allotments to these values.
    pub retained: Vec<u64>,
    /// The units of each quota that the sender requests in addition to its floor.
    pub wanted: Vec<u64>,
    /// The sender is shutting down; its lease is removed when this request is applied.
    pub shutting_down: bool,
}

/// The reply to a [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
pub struct LeaseGrant {
    /// The holder whose lease this is; it sent the request.
    pub holder: HolderId,
    /// The sequence number of the request that this grant answers.
    pub sequence: u64,
    /// The units of each quota that the receiver may use, in addition to its floor, until its lease expires.
    pub allotments: Vec<u64>,
    /// The units of each quota to which the receiver should reduce its allotment as soon as it can.
    pub targets: Vec<u64>,
    /// A later incarnation of the member has sent a request, so the receiver gets no further units.
    pub fenced: bool,
}

/// The expiry of a holder's lease, as determined by the leading grantor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LeaseExpiry {
    /// The holder whose allotments are reclaimed.
    pub holder: HolderId,
    /// The number of the newest request that the grantor knew of. The expiry has no effect if a newer one has been
    /// applied.
    pub sequence: u64,
    /// Whether the levels are reclaimed too, because the connections counted against them have ended.
    pub includes_levels: bool,
}

/// One entry of the grantors' log, applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct LogEntry {
    /// The expired leases; they are reclaimed before the requests are applied.
    pub expiries: Vec<LeaseExpiry>,
    /// The lease requests; each accepted one is answered with a grant.
    pub requests: Vec<LeaseRequest>,
}

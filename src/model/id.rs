//! Identifiers that the node assigns.

/// A client request, numbered by the node. Never reused. Below 2^62.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A server, numbered by the node from zero in the order in which it first appeared in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

impl ServerId {
    /// The server's position in tables that are indexed by server.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

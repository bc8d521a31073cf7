//! Identifiers assigned by the node.

/// The id of a client request, assigned by the node. Ids are below 2^62 and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// The id of a server. The node numbers servers from zero, in the order in which they first appear in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

impl ServerId {
    /// Returns the server's index in tables with one entry per server.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

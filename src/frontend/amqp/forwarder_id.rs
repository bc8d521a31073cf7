//! The identifiers of forwarders. Clients' and servers' links name their forwarder by it.

use std::fmt;

/// Identifies a forwarder; not used again while the node runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ForwarderId(u64);

impl ForwarderId {
    /// The id that follows this one.
    pub fn next(self) -> ForwarderId {
        ForwarderId(self.0 + 1)
    }
}

impl fmt::Display for ForwarderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

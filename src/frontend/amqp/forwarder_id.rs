//! Identifiers of forwarders. The links of clients and servers refer to their forwarder by its id.

use std::fmt;

/// Identifies a forwarder. An id is not reused while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ForwarderId(u64);

impl ForwarderId {
    /// Returns the id after this one.
    pub fn next(self) -> ForwarderId {
        ForwarderId(self.0 + 1)
    }
}

impl fmt::Display for ForwarderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

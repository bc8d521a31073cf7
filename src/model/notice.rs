//! What the balancer reports to the node's operators.

use std::fmt;

/// A change of the balancer's state that operators should know of. Displays as the text of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Discovery can no longer be reached, or the watch ended: the last endpoint list stays in force.
    EndpointListStale,
    /// Connections are established slowly or not at all: reconnects and retries are paced from now on.
    PacingStarted,
    /// Connections are established fast again: reconnects and retries are no longer paced.
    PacingEnded,
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Notice::EndpointListStale => "endpoint list may be stale, keeping the last one",
            Notice::PacingStarted => {
                "connection establishment fails or is slow, pacing reconnects and retries"
            }
            Notice::PacingEnded => "connection establishment has recovered, pacing ended",
        })
    }
}

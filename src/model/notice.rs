//! Notices: state changes that the balancer reports to the operators of the node.

use std::fmt;

/// A change of the balancer's state that is relevant to operators. Its `Display` text is the message of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Discovery is unreachable or the watch ended: the last endpoint list remains valid.
    EndpointListStale,
    /// Connection establishment is slow or failing: reconnects and retries are paced from now on.
    PacingStarted,
    /// Connection establishment is fast again: reconnects and retries are no longer paced.
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

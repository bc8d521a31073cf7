//! Rules that were broken. They are counted, and logged with the ids that help to find the cause.

/// A rule that this node has broken. Every violation is a bug in this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A client's connection was closed after its request had been read and before it was answered.
    #[error("closed-unanswered")]
    ClosedUnanswered,
    /// A client got a second final answer.
    #[error("answered-twice")]
    AnsweredTwice,
    /// An established session was ended without `MOVE` while its client and its server were still connected.
    #[error("cut-off")]
    CutOff,
    /// An attempt was to be made with a message whose start was no longer buffered.
    #[error("retried-without-start")]
    RetriedWithoutStart,
    /// The process ended with open requests or connections.
    #[error("open-at-exit")]
    OpenAtExit,
}

/// The context of a violation, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationContext<'a> {
    /// A violation that concerns a request.
    Request {
        /// The id that the node assigned to the request; zero if there is none yet.
        request: u64,
        /// The id that the client gave the request.
        id: &'a str,
    },
    /// A violation at the end of the process.
    Exit {
        /// Number of connections that are still established.
        open: usize,
    },
}

/// Counts and logs the violations of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationLog {
    count: u64,
}

impl ViolationLog {
    /// Counts a violation and logs it.
    pub fn record(&mut self, violation: Violation, context: ViolationContext<'_>) {
        self.count += 1;
        match context {
            ViolationContext::Request { request, id } => {
                tracing::error!(rule = %violation, request, %id, "invariant violated");
            }
            ViolationContext::Exit { open } => {
                tracing::error!(rule = %violation, open, "invariant violated");
            }
        }
    }

    /// The number of violations so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}

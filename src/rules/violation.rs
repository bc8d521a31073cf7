//! Rules that were broken: counted, and logged with the ids that lead to the cause.

/// A rule that this node has broken. Each is a fault of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// A client's connection was closed with its request read and not answered.
    #[error("closed-unanswered")]
    ClosedUnanswered,
    /// A client got a second final answer.
    #[error("answered-twice")]
    AnsweredTwice,
    /// An established session was ended without `MOVE` while its client and its server were connected.
    #[error("cut-off")]
    CutOff,
    /// The process ended with requests or connections open.
    #[error("open-at-exit")]
    OpenAtExit,
}

/// What a violation is about, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViolationContext<'a> {
    /// One request.
    Request {
        /// The node's id of the request; zero if it has none yet.
        request: u64,
        /// The client's id of the request.
        id: &'a str,
    },
    /// The end of the process.
    Exit {
        /// Connections that are established still.
        open: usize,
    },
}

/// The violations of this process.
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

    /// Violations so far.
    pub fn count(&self) -> u64 {
        self.count
    }
}
